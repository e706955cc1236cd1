"""How long calls take at one target, and until when a start makes sense."""

from __future__ import annotations

from typing import Final

from ..intent import PRIORITIES
from .fair_queue import WaitingCall

FIRST_SERVICE_MS: Final = 10.0
SERVICE_WEIGHT: Final = 0.1
# As in the timeout of TCP (Jacobson 1988): the mean and some mean deviations.
N_DEVIATIONS: Final = 3
# How many mean deviations longer than the mean a call is taken to last where its
# answer is to be in time, and which share of the wanted time that may take up.
# Under overload each call starts as late as is allowed: with the mean alone, about
# half of the answers come too late.
N_USEFUL_DEVIATIONS: Final = 1.0
USEFUL_WORK_SHARE: Final = 0.7
# A call that takes less than this share of what the longest ones of its target take
# is a short one: in its place, not one of those could be served in time.
SHORT_SHARE: Final = 0.25
# What remains with each call of how long the longest ones take: half after 700.
LONGEST_KEPT_SHARE: Final = 0.999
N_ROUTES_MAX: Final = 1_000


class ServiceTimes:
    """The times that calls held a slot, by priority and by route, in milliseconds.

    >>> times = ServiceTimes()
    >>> times.record("normal", "map", 90.0)
    >>> times.longest_ms
    90.0
    """

    def __init__(self) -> None:
        self.mean_ms = FIRST_SERVICE_MS
        self.longest_ms = 0.0
        self._mean_ms_of = dict.fromkeys(PRIORITIES, FIRST_SERVICE_MS)
        self._deviation_ms_of = dict.fromkeys(PRIORITIES, 0.0)
        self._mean_ms_by_route: dict[str, float] = {}
        self._deviation_ms_by_route: dict[str, float] = {}

    def record(self, priority: str, route: str, service_ms: float) -> None:
        """Take how long a call held its slot."""
        self.mean_ms += SERVICE_WEIGHT * (service_ms - self.mean_ms)
        change_ms = service_ms - self._mean_ms_of[priority]
        self._mean_ms_of[priority] += SERVICE_WEIGHT * change_ms
        deviation_ms = self._deviation_ms_of[priority]
        self._deviation_ms_of[priority] += SERVICE_WEIGHT * (
            abs(change_ms) - deviation_ms
        )
        self._see_route(route, service_ms)

    def is_short(self, call: WaitingCall) -> bool:
        """Return whether a call takes a fraction of what others take."""
        return self._usual_ms(call) < SHORT_SHARE * self.longest_ms

    def latest_useful_start_ms(self, call: WaitingCall) -> float:
        """Return until when a start most likely leads to an answer in time."""
        service_ms = self._usual_ms(call)
        deviation_ms = self._deviation_ms_by_route.get(call.route, 0.0)
        longest_ms = service_ms + N_USEFUL_DEVIATIONS * deviation_ms
        allowed_ms = USEFUL_WORK_SHARE * (call.wanted_ms - call.arrived_ms)
        return call.wanted_ms - max(service_ms, min(longest_ms, allowed_ms))

    def latest_start_ms(self, call: WaitingCall) -> float:
        """Return until when it makes sense to run the call.

        Started later, it would be answered after its deadline, and its slot
        lost to a call that is still wanted. Under overload every call runs as
        late as this permits: with the mean alone, each one that takes longer
        than the mean is work for nobody, and goodput falls as load rises. The
        estimate is that of its own priority, as one target may serve bookings
        and large files; it counts for at least a quarter and at most half of
        the call's time.
        """
        total_ms = call.deadline_ms - call.arrived_ms
        estimate_ms = (
            self._mean_ms_of[call.priority]
            + N_DEVIATIONS * self._deviation_ms_of[call.priority]
        )
        return call.deadline_ms - min(total_ms / 2, max(total_ms / 4, estimate_ms))

    def _usual_ms(self, call: WaitingCall) -> float:
        fallback_ms = self._mean_ms_of[call.priority]
        return self._mean_ms_by_route.get(call.route, fallback_ms)

    def _see_route(self, route: str, service_ms: float) -> None:
        known = self._mean_ms_by_route
        if len(known) >= N_ROUTES_MAX and route not in known:
            # Routes come and go with each version; the mean is soon known again.
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
