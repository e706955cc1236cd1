"""A retry budget that all daemons share without communication."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from msgspec import Struct

# Share of the retry budget that the daemons use. The remainder is a margin, because the
# windows of the daemons are not aligned and the successor of a crashed daemon does not
# know what its predecessor has used.
USED_SHARE: Final = 0.75
# Share of a daemon's part of the retry budget that calls of each priority may use. The
# remainder is reserved for more urgent calls; without the reserve, retries after a
# burst of refusals of less urgent calls would use up the budget.
SHARE_OF_PRIORITY: Final = {"urgent": 1.0, "normal": 0.9, "deferrable": 0.7}
_N_BUCKETS: Final = 20


class BudgetTerms(Struct, frozen=True):
    """The limit on the retries to a service, over all daemons.

    Within any `window_ms`, at most `ratio` of the requests to the service plus `n_min`
    are retried.
    """

    ratio: float
    n_min: int
    window_ms: int


class FleetRetryBudget:
    """One daemon's part of the retry budget of a service.

    Unlimited retries multiply the load on a service when it is least able to handle
    it, and independent budgets would add up with the number of daemons. A retry of a
    call that no target has seen adds no load and is free. `terms` is evaluated for
    each call, as operators may change them.

    >>> terms = BudgetTerms(0.0, 8, 10_000)
    >>> budget = FleetRetryBudget(lambda: terms, lambda: 0.0, lambda: 3)
    >>> budget.take("urgent"), budget.take("urgent"), budget.take("urgent")
    (True, True, False)
    """

    def __init__(
        self,
        terms: Callable[[], BudgetTerms],
        now_ms: Callable[[], float],
        n_daemons: Callable[[], int],
    ) -> None:
        self._terms = terms
        self._now_ms = now_ms
        self._n_daemons = n_daemons
        self._n_calls = _Window()
        self._n_retries = _Window()

    def add_call(self, percent: int) -> None:
        """Count a call; `percent` is ignored because `terms` defines the limit."""
        self._n_calls.add(self._now_ms(), self._terms().window_ms)

    def take(self, priority: str, has_arrived: bool = True) -> bool:
        """Use up one retry and return whether one was available."""
        if not has_arrived:
            return True
        now_ms = self._now_ms()
        terms = self._terms()
        window_ms = terms.window_ms
        allowed = terms.ratio * self._n_calls.sum(now_ms, window_ms)
        allowed += terms.n_min / max(1, self._n_daemons())
        allowed *= USED_SHARE * SHARE_OF_PRIORITY[priority]
        if self._n_retries.sum(now_ms, window_ms) + 1 > allowed:
            return False
        self._n_retries.add(now_ms, window_ms)
        return True


class _Window:
    """A count over a sliding window, kept in `_N_BUCKETS` buckets."""

    __slots__ = ("_buckets", "_n_total")

    def __init__(self) -> None:
        self._buckets: deque[list[float]] = deque()
        self._n_total = 0

    def add(self, now_ms: float, window_ms: int) -> None:
        """Count one event."""
        self._expire(now_ms, window_ms)
        bucket_ms = window_ms / _N_BUCKETS
        if not self._buckets or now_ms - self._buckets[-1][0] >= bucket_ms:
            self._buckets.append([now_ms, 0])
        self._buckets[-1][1] += 1
        self._n_total += 1

    def sum(self, now_ms: float, window_ms: int) -> int:
        """Return the count of the window that ends now."""
        self._expire(now_ms, window_ms)
        return self._n_total

    def _expire(self, now_ms: float, window_ms: int) -> None:
        kept_ms = window_ms + window_ms / _N_BUCKETS
        while self._buckets and now_ms - self._buckets[0][0] > kept_ms:
            self._n_total -= self._buckets.popleft()[1]


__all__ = ["USED_SHARE", "BudgetTerms", "FleetRetryBudget"]
