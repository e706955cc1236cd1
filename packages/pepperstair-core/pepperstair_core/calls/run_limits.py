"""Refusal of requests whose target could not get the answers that it needs for them.

A target makes calls to other services while it runs a request. Where these refuse its
calls, the request fails after it has run and, if it is not idempotent, fails for good.
While many runs of a route end like this, new requests of the route are refused before
they run, so that their senders may send them again. The admitted share increases
additively with runs that succeed and decreases multiplicatively with runs that fail,
and so follows what the called services take in.
"""

from __future__ import annotations

import math
from typing import Final

# Weight of the newest run in the share of lost runs.
LOST_WEIGHT: Final = 0.1
# Share of lost runs above which requests are refused.
LOST_SHARE_MAX: Final = 0.1
# The admitted share is never lower, as only runs show that calls are served again.
ADMITTED_SHARE_MIN: Final = 0.1
# A larger decrease or a smaller increase refuses requests that would have succeeded, as
# the share of lost runs hardly falls when fewer run beside other callers.
ADMITTED_DECREASE: Final = 0.9
ADMITTED_INCREASE: Final = 0.06
# Minimum time between two decreases: runs that were lost to one burst of refusals count
# once.
DECREASE_INTERVAL_MS: Final = 100.0
# Time without a lost run after which a route is forgotten.
FORGET_AFTER_MS: Final = 1_500.0
RETRY_AFTER_MIN_MS: Final = 100
RETRY_AFTER_MAX_MS: Final = 1_000
N_ROUTES_MAX: Final = 1_000


class _RouteRuns:
    """What was learnt of the runs of one route."""

    __slots__ = ("admitted_share", "credit", "decreased_ms", "lost_ms", "lost_share")

    def __init__(self) -> None:
        self.lost_share = 0.0
        self.admitted_share = 1.0
        self.credit = 1.0
        self.lost_ms = -math.inf
        self.decreased_ms = -math.inf


class RunLimits:
    """The shares of new requests that may run, by route, beside one target.

    Only a call of the target that was refused as not run makes a failed run a lost one.

    >>> limits = RunLimits()
    >>> for at_ms in range(0, 1000, 100):
    ...     limits.record_refused_call(at_ms + 5.0)
    ...     limits.record_run("book", at_ms, True, at_ms + 10.0)
    >>> [limits.admits("book", 1000.0) for _ in range(5)]
    [True, False, False, True, False]
    >>> limits.admits("book", 3000.0)
    True
    """

    def __init__(self) -> None:
        self.n_refused = 0
        self._runs_of: dict[str, _RouteRuns] = {}
        self._refused_call_ms = -math.inf

    def record_refused_call(self, now_ms: float) -> None:
        """Record that a call of the target itself was refused as not run."""
        self._refused_call_ms = now_ms

    def record_run(
        self, route: str, started_ms: float, has_failed: bool, now_ms: float
    ) -> None:
        """Record the end of a run and whether the target answered with a failure."""
        is_lost = has_failed and self._refused_call_ms >= started_ms
        runs = self._runs_of.get(route)
        if runs is None:
            if not is_lost:
                return
            if len(self._runs_of) >= N_ROUTES_MAX:
                self._runs_of.clear()
            runs = self._runs_of[route] = _RouteRuns()
        runs.lost_share += LOST_WEIGHT * (is_lost - runs.lost_share)
        if is_lost:
            runs.lost_ms = now_ms
            self._decrease(runs, now_ms)
        elif not has_failed:
            runs.admitted_share = min(1.0, runs.admitted_share + ADMITTED_INCREASE)

    def admits(self, route: str, now_ms: float) -> bool:
        """Return whether a new request may run; a refused one is counted."""
        runs = self._runs_of.get(route)
        if runs is None:
            return True
        if now_ms - runs.lost_ms >= FORGET_AFTER_MS:
            del self._runs_of[route]
            return True
        runs.credit = min(1.0, runs.credit + runs.admitted_share)
        if runs.credit >= 1.0:
            runs.credit -= 1.0
            return True
        self.n_refused += 1
        return False

    def retry_after_ms(self, route: str) -> int:
        """Return when the sender of a refused request should send it again."""
        runs = self._runs_of.get(route)
        share = runs.admitted_share if runs is not None else 1.0
        return min(RETRY_AFTER_MAX_MS, int(RETRY_AFTER_MIN_MS / share))

    def admitted_share(self, route: str) -> float:
        """Return the share of the new requests of a route that may run."""
        runs = self._runs_of.get(route)
        return runs.admitted_share if runs is not None else 1.0

    def _decrease(self, runs: _RouteRuns, now_ms: float) -> None:
        is_high = runs.lost_share > LOST_SHARE_MAX
        if is_high and now_ms - runs.decreased_ms >= DECREASE_INTERVAL_MS:
            runs.decreased_ms = now_ms
            reduced = runs.admitted_share * ADMITTED_DECREASE
            runs.admitted_share = max(ADMITTED_SHARE_MIN, reduced)


__all__ = ["RunLimits"]
