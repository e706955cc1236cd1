"""What calls of a route are usually like, as far as one daemon has seen."""

from __future__ import annotations

from typing import Final

N_ROUTES_MAX: Final = 1_000
SIZE_WEIGHT: Final = 0.05
# The median follows by steps of this share of itself for each request.
MEDIAN_STEP: Final = 0.02
# A caller that says it waits less than this share of what is usual has used up
# the rest, or is another kind of caller; either way it is served after others.
RETURNED_SHARE: Final = 0.85


class AnswerSizes:
    """The mean size of a route's answers, in bytes.

    >>> sizes = AnswerSizes()
    >>> sizes.see("map", 90_000)
    >>> sizes.of("map"), sizes.of("award")
    (90000.0, 0.0)
    """

    def __init__(self) -> None:
        self._mean_bytes: dict[str, float] = {}

    def see(self, route: str, n_bytes: int) -> None:
        """Take the size of one answer."""
        known = self._mean_bytes
        if len(known) >= N_ROUTES_MAX and route not in known:
            known.clear()
        mean_bytes = known.get(route, float(n_bytes))
        known[route] = mean_bytes + SIZE_WEIGHT * (n_bytes - mean_bytes)

    def of(self, route: str) -> float:
        """Return the mean size, 0 where no answer was seen."""
        return self._mean_bytes.get(route, 0.0)


class Patience:
    """How long the callers of a route usually say that they wait.

    A caller that was refused and comes back states what is left of its time.
    Its answer can't be in time any more as often, and serving it like a new one
    would make a new one late too.

    >>> patience = Patience()
    >>> [patience.waited_ms("r", 800) for _ in range(3)]
    [0, 0, 0]
    >>> patience.waited_ms("r", 500) > 250
    True
    """

    def __init__(self) -> None:
        self._median_ms: dict[str, float] = {}

    def waited_ms(self, route: str, timeout_ms: int) -> int:
        """Take what a caller states and return how long it has waited before."""
        if not timeout_ms:
            return 0
        known = self._median_ms
        if len(known) >= N_ROUTES_MAX and route not in known:
            known.clear()
        median_ms = known.get(route, float(timeout_ms))
        step_ms = median_ms * MEDIAN_STEP
        change_ms = max(-step_ms, min(step_ms, timeout_ms - median_ms))
        known[route] = median_ms + change_ms
        if timeout_ms >= median_ms * RETURNED_SHARE:
            return 0
        return int(median_ms - timeout_ms)


__all__ = ["AnswerSizes", "Patience"]
