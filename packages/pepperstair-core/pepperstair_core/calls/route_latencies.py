"""What is usual for calls of a route, over all targets, as one daemon sees it."""

from __future__ import annotations

import math
from typing import Final

# Answers are timed against what is usual for their route, which follows slowly.
USUAL_WEIGHT: Final = 0.05
# How often calls of a route fail, at all targets: about the last fifty.
FAILING_WEIGHT: Final = 0.02
# A target is ejected for errors in a row that are less likely than this where it
# fails as often as all do. Up to the second figure they may fail: then 66 errors in
# a row are still seen for what they are within seconds.
UNLIKELY: Final = 0.001
HIGHEST_RATE: Final = 0.9
N_ROUTES_MAX: Final = 1_000


class RouteLatencies:
    """The usual time of an answer, and how often calls fail, by route."""

    def __init__(self) -> None:
        self._usual_ms: dict[str, float] = {}
        self._usual_overall_ms = 0.0
        self._failing: dict[str, float] = {}

    def typical_ms(self, route: str) -> float:
        """Return how long answers of a route usually take, 0 where none was seen."""
        return self._usual_ms.get(route, 0.0)

    def scale(self, route: str) -> float:
        """Return what makes latencies of a route compare with those of others.

        A target that has just served a large archive is no slower than one that
        served a short look-up.
        """
        typical_ms = self._usual_ms.get(route)
        return 1.0 if typical_ms is None else self._usual_overall_ms / typical_ms

    def record_latency(self, route: str, latency_ms: float) -> None:
        """Take a good answer's latency into what is usual."""
        if latency_ms <= 0.0:
            return
        if len(self._usual_ms) >= N_ROUTES_MAX and route not in self._usual_ms:
            self._usual_ms.clear()
        typical_ms = self._usual_ms.get(route, latency_ms)
        self._usual_ms[route] = typical_ms + USUAL_WEIGHT * (latency_ms - typical_ms)
        overall_ms = self._usual_overall_ms or latency_ms
        change_ms = latency_ms - overall_ms
        self._usual_overall_ms = overall_ms + USUAL_WEIGHT * change_ms

    def record_outcome(self, route: str, is_failed: bool) -> None:
        """Take the end of a call into how often calls of its route fail anywhere."""
        known = self._failing
        if len(known) >= N_ROUTES_MAX and route not in known:
            known.clear()
        rate = known.get(route, 0.0)
        known[route] = rate + FAILING_WEIGHT * (is_failed - rate)

    def n_errors_to_eject(self, n_errors: int, route: str) -> int:
        """Return how many errors in a row single a target out, at least `n_errors`.

        Where a service further down fails, all targets fail most calls, and each
        soon has some errors in a row. Ejected one after the other, they would leave
        the rest with more calls than slots, though none of them is at fault.
        """
        rate = self._failing.get(route, 0.0)
        if rate <= 0.0:
            return n_errors
        n_unlikely = math.log(UNLIKELY) / math.log(min(rate, HIGHEST_RATE))
        return max(n_errors, math.ceil(n_unlikely))


__all__ = ["RouteLatencies"]
