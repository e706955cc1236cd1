"""Typical latency and failure rate of each route, over all targets of one daemon."""

from __future__ import annotations

import math
from typing import Final

# Weight of the newest answer in the typical latency of its route. The typical latency
# has to change slowly because single answers are compared with it.
TYPICAL_WEIGHT: Final = 0.05
# Weight of the newest outcome in a route's failure rate. With this weight, the rate
# covers about the last fifty calls of the route, to all targets.
FAILURE_RATE_WEIGHT: Final = 0.02
# Consecutive errors eject a target only if a series of this length is improbable: its
# probability, computed from the route's failure rate over all targets, must be below
# `CHANCE_STREAK_PROBABILITY_MAX`. For this computation the failure rate is capped at
# `FAILURE_RATE_MAX`, at which 66 consecutive errors eject a target. So even if nearly
# all calls of the route fail, a target is ejected within seconds.
CHANCE_STREAK_PROBABILITY_MAX: Final = 0.001
FAILURE_RATE_MAX: Final = 0.9
N_ROUTES_MAX: Final = 1_000


class RouteLatencies:
    """The typical latency of answers and the failure rate of calls, by route."""

    def __init__(self) -> None:
        self._typical_ms: dict[str, float] = {}
        self._typical_overall_ms = 0.0
        self._failure_rates: dict[str, float] = {}

    def typical_ms(self, route: str) -> float:
        """Return the typical latency of a route's answers, 0 if none has been seen."""
        return self._typical_ms.get(route, 0.0)

    def scale(self, route: str) -> float:
        """Return the factor that makes latencies of different routes comparable.

        Without it, a target that has just served a large archive would seem slower than
        one that served a short look-up.
        """
        typical_ms = self._typical_ms.get(route)
        return 1.0 if typical_ms is None else self._typical_overall_ms / typical_ms

    def record_latency(self, route: str, latency_ms: float) -> None:
        """Update the typical latency of a route with the latency of a good answer."""
        if latency_ms <= 0.0:
            return
        if len(self._typical_ms) >= N_ROUTES_MAX and route not in self._typical_ms:
            self._typical_ms.clear()
        typical_ms = self._typical_ms.get(route, latency_ms)
        self._typical_ms[route] = typical_ms + TYPICAL_WEIGHT * (
            latency_ms - typical_ms
        )
        overall_ms = self._typical_overall_ms or latency_ms
        change_ms = latency_ms - overall_ms
        self._typical_overall_ms = overall_ms + TYPICAL_WEIGHT * change_ms

    def record_outcome(self, route: str, is_failed: bool) -> None:
        """Update the failure rate of a route with the outcome of a call."""
        known = self._failure_rates
        if len(known) >= N_ROUTES_MAX and route not in known:
            known.clear()
        rate = known.get(route, 0.0)
        known[route] = rate + FAILURE_RATE_WEIGHT * (is_failed - rate)

    def n_errors_to_eject(self, n_errors: int, route: str) -> int:
        """Return how many consecutive errors eject a target, at least `n_errors`.

        If a downstream service fails, all targets fail most calls and each soon has
        some consecutive errors. Ejecting them one after the other would leave the
        remaining targets with more calls than slots, although no target is at fault.
        """
        rate = self._failure_rates.get(route, 0.0)
        if rate <= 0.0:
            return n_errors
        n_beyond_chance = math.log(CHANCE_STREAK_PROBABILITY_MAX) / math.log(
            min(rate, FAILURE_RATE_MAX)
        )
        return max(n_errors, math.ceil(n_beyond_chance))


__all__ = ["RouteLatencies"]
