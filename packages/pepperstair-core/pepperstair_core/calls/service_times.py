"""Service times of one target and the latest useful starts that follow from them."""

from __future__ import annotations

from typing import Final

from ..intent import PRIORITIES
from .fair_queue import WaitingCall

INITIAL_SERVICE_MS: Final = 10.0
SERVICE_WEIGHT: Final = 0.1
# Number of mean deviations added to the mean service time to estimate the service time
# of a call, as in the TCP retransmission timeout (Jacobson 1988).
N_DEVIATIONS: Final = 3
# For a call whose answer is wanted within a given time, the service time is estimated
# as the mean of the route plus `N_USEFUL_DEVIATIONS` mean deviations. The deviations
# lengthen the estimate up to at most `USEFUL_WORK_SHARE` of the wanted time. Under
# overload each call starts as late as allowed: with the mean alone as the estimate,
# about half of the answers would come too late.
N_USEFUL_DEVIATIONS: Final = 1.0
USEFUL_WORK_SHARE: Final = 0.7
# A call is short if it takes less than this share of the time that the target's longest
# calls take. Refusing a short call does not free enough time for one of the longest
# calls to be answered in time.
SHORT_SHARE: Final = 0.25
# Factor by which the longest service time decays with each call: it halves within 700
# calls.
LONGEST_KEPT_SHARE: Final = 0.999
N_ROUTES_MAX: Final = 1_000


class ServiceTimes:
    """The times for which calls hold a slot, by priority and route, in milliseconds.

    >>> times = ServiceTimes()
    >>> times.record("normal", "map", 90.0)
    >>> times.longest_ms
    90.0
    """

    def __init__(self) -> None:
        self.mean_ms = INITIAL_SERVICE_MS
        self.longest_ms = 0.0
        self._mean_ms_of = dict.fromkeys(PRIORITIES, INITIAL_SERVICE_MS)
        self._deviation_ms_of = dict.fromkeys(PRIORITIES, 0.0)
        self._mean_ms_by_route: dict[str, float] = {}
        self._deviation_ms_by_route: dict[str, float] = {}

    def record(self, priority: str, route: str, service_ms: float) -> None:
        """Record how long a call held its slot."""
        self.mean_ms += SERVICE_WEIGHT * (service_ms - self.mean_ms)
        change_ms = service_ms - self._mean_ms_of[priority]
        self._mean_ms_of[priority] += SERVICE_WEIGHT * change_ms
        deviation_ms = self._deviation_ms_of[priority]
        self._deviation_ms_of[priority] += SERVICE_WEIGHT * (
            abs(change_ms) - deviation_ms
        )
        self._record_route(route, service_ms)

    @property
    def short_ms(self) -> float:
        """Return the service time below which calls are short.

        They are short if they typically take less than `SHORT_SHARE` of the time of the
        longest calls.
        """
        return SHORT_SHARE * self.longest_ms

    def mean_ms_of(self, route: str) -> float:
        """Return the mean service time of a route, or of all calls if unknown."""
        return self._mean_ms_by_route.get(route, self.mean_ms)

    def typical_ms(self, route: str, priority: str) -> float:
        """Return the mean service time of a route, or of its priority if unknown."""
        known_ms = self._mean_ms_by_route.get(route)
        return self._mean_ms_of[priority] if known_ms is None else known_ms

    def is_short(self, route: str, priority: str) -> bool:
        """Return whether the calls of a route are much shorter than the longest."""
        return self.typical_ms(route, priority) < SHORT_SHARE * self.longest_ms

    def latest_useful_start_ms(self, call: WaitingCall) -> float:
        """Return the latest start that probably gives an answer in the wanted time."""
        service_ms = self.typical_ms(call.route, call.priority)
        deviation_ms = self._deviation_ms_by_route.get(call.route, 0.0)
        longest_ms = service_ms + N_USEFUL_DEVIATIONS * deviation_ms
        allowed_ms = USEFUL_WORK_SHARE * (call.wanted_ms - call.arrived_ms)
        return call.wanted_ms - max(service_ms, min(longest_ms, allowed_ms))

    def latest_start_ms(self, call: WaitingCall) -> float:
        """Return the latest start that is expected to meet the call's deadline.

        If the call started later, it would be answered too late and would hold a slot
        that another call still needs. The service time is estimated as the mean plus
        `N_DEVIATIONS` mean deviations. Under overload every call starts as late as
        allowed: with the mean alone as the estimate, each call that takes longer than
        the mean would be wasted work, and goodput would fall as load rises. There is
        one estimate for each priority, as one target may serve both bookings and
        large files. The estimate is limited to between a quarter and half of the
        call's total time.
        """
        total_ms = call.deadline_ms - call.arrived_ms
        estimate_ms = (
            self._mean_ms_of[call.priority]
            + N_DEVIATIONS * self._deviation_ms_of[call.priority]
        )
        return call.deadline_ms - min(total_ms / 2, max(total_ms / 4, estimate_ms))

    def _record_route(self, route: str, service_ms: float) -> None:
        known = self._mean_ms_by_route
        if len(known) >= N_ROUTES_MAX and route not in known:
            # Each version of the intent may replace routes, so entries of removed
            # routes accumulate. All entries can be dropped because the means of the
            # current routes are soon measured again.
            known.clear()
            self._deviation_ms_by_route.clear()
        mean_ms = known.get(route, service_ms)
        self.longest_ms = max(mean_ms, LONGEST_KEPT_SHARE * self.longest_ms)
        change_ms = service_ms - mean_ms
        known[route] = mean_ms + SERVICE_WEIGHT * change_ms
        deviation_ms = self._deviation_ms_by_route.get(route, 0.0)
        deviation_ms += SERVICE_WEIGHT * (abs(change_ms) - deviation_ms)
        self._deviation_ms_by_route[route] = deviation_ms


__all__ = ["ServiceTimes"]
