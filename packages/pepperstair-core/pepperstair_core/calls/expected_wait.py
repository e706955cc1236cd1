"""The expected wait of a call at a target, as one daemon sees it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final, Protocol

from msgspec import Struct

from ..members import TargetState
from .target_group import GroupStatistics, TargetKey
from .target_health import TargetHealth

if TYPE_CHECKING:
    from ..routing import Endpoint

# A target is used like any other while its failure rate is at most the mean failure
# rate of all targets times `TOLERATED_FAILURE_FACTOR`, plus `TOLERATED_FAILURE_RATE`.
# The tolerance is needed because a rate measured over ten calls varies by a third of
# its value or more.
TOLERATED_FAILURE_FACTOR: Final = 1.5
TOLERATED_FAILURE_RATE: Final = 0.05
# By how much failures above the tolerated rate lengthen the expected wait: the wait is
# multiplied by 1 plus `FAILURE_FACTOR` times the excess rate, and `FAILURE_WAIT` times
# the excess rate is added. A target whose failure rate exceeds the tolerated rate by a
# tenth of its calls is used like a target that has about half the speed and about half
# of its slots occupied.
FAILURE_FACTOR: Final = 8.0
FAILURE_WAIT: Final = 4.0


class Load(Struct, frozen=True):
    """The load of a target as last reported by the daemon on its VM."""

    n_in_flight: int
    n_queued: int


LoadOf = Callable[["Endpoint"], "Load | None"]


class WaitOf(Protocol):
    """A function that returns the expected wait at an endpoint.

    The unit is the answer time of the fastest target.
    """

    def __call__(self, endpoint: Endpoint, *, is_speed_counted: bool = True) -> float:
        """Return the expected wait at an endpoint.

        If `is_speed_counted` is False, all targets are treated as equally fast.
        """


def make_wait_of(
    health_of: Mapping[TargetKey, TargetHealth],
    statistics: GroupStatistics,
    load_of: LoadOf,
    now_ms: float,
) -> WaitOf:
    """Return a function from an endpoint to its expected wait.

    The unit is the answer time of the fastest target. A wait of up to 1 means that the
    target has a free slot. This daemon's own calls are counted exactly. The load
    report, which may be a second old, adds the calls of other daemons and never lowers
    this daemon's count. The recorded latency makes the queue of a slow target count for
    more.
    """
    fastest_ms = statistics.fastest_ms
    tolerated_rate = (
        TOLERATED_FAILURE_FACTOR * statistics.failure_rate + TOLERATED_FAILURE_RATE
    )

    def wait_of(endpoint: Endpoint, *, is_speed_counted: bool = True) -> float:
        health = health_of[endpoint.key]
        load = load_of(endpoint)
        n_waiting = health.n_in_flight
        if load is not None:
            n_waiting = max(n_waiting, load.n_in_flight) + load.n_queued
        latency_ms = max(health.latency_ms(now_ms), health.oldest_age_ms(now_ms))
        is_cold = endpoint.target.state is TargetState.COLD
        share = health.slow_start_share(is_cold, now_ms)
        slowness = 1.0
        if fastest_ms and is_speed_counted:
            slowness = max(1.0, latency_ms / fastest_ms)
        n_slots = endpoint.target.n_slots * share
        limit_per_s = health.valid_limit_per_s(now_ms)
        if limit_per_s is not None:
            n_at_limit = _n_slots_at_limit(limit_per_s, health.latency_ms(now_ms))
            n_slots = min(n_slots, n_at_limit)
        wait = slowness * (n_waiting + 1) / n_slots
        excess_rate = health.failure_rate(now_ms) - tolerated_rate
        if excess_rate <= 0.0:
            return wait
        return wait * (1 + FAILURE_FACTOR * excess_rate) + FAILURE_WAIT * excess_rate

    return wait_of


def _n_slots_at_limit(limit_per_s: float, latency_ms: float) -> float:
    """Return how many calls a target runs at the same time at its rate limit.

    By Little's law this is the rate times the latency; the result is at least one. If
    all its slots counted, a limited target would look idle and attract calls that are
    then refused.
    """
    return max(1.0, limit_per_s * latency_ms / 1000)


__all__ = ["Load", "LoadOf", "TargetKey", "WaitOf", "make_wait_of"]
