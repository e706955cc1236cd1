"""How long a call is expected to wait at a target, as one daemon sees it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Final, Protocol

from msgspec import Struct

from ..members import TargetState
from .target_group import Norms, TargetKey
from .target_health import TargetHealth

if TYPE_CHECKING:
    from ..routing import Endpoint

# Up to which failure rate a target is used like any other, beside the mean of
# all: a rate over the last ten calls strays by a third of itself and more.
BLAMELESS_FACTOR: Final = 1.5
BLAMELESS_RATE: Final = 0.05
# How failures count against a target: one that fails a tenth of its calls more
# than that is used like one that is half as quick and half full.
FAILURE_FACTOR: Final = 8.0
FAILURE_WAIT: Final = 4.0


class Load(Struct, frozen=True):
    """What the daemon beside a target last reported of it."""

    n_in_flight: int
    n_queued: int


LoadOf = Callable[["Endpoint"], "Load | None"]


class WaitOf(Protocol):
    """Gives the expected wait at an endpoint, in answer times of the fastest one."""

    def __call__(self, endpoint: Endpoint, *, is_speed_counted: bool = True) -> float:
        """Return the wait, or with `is_speed_counted` off how full it is."""


def make_wait_of(
    known: Mapping[TargetKey, TargetHealth],
    norms: Norms,
    load_of: LoadOf,
    now_ms: float,
) -> WaitOf:
    """Return the function from endpoint to expected wait.

    It is counted in answer times of the fastest target; up to 1 a call finds a
    slot free. Own calls are counted exactly; the report, which may be a second
    old, adds those of other daemons and never lowers what is seen here. The
    latency that was seen makes a queue before a slow target count for more.
    """
    fastest_ms = norms.fastest_ms
    blameless_rate = BLAMELESS_FACTOR * norms.failure_rate + BLAMELESS_RATE

    def wait_of(endpoint: Endpoint, *, is_speed_counted: bool = True) -> float:
        health = known[endpoint.key]
        load = load_of(endpoint)
        n_waiting = health.n_in_flight
        if load is not None:
            n_waiting = max(n_waiting, load.n_in_flight) + load.n_queued
        latency_ms = max(health.latency_ms(now_ms), health.oldest_age_ms(now_ms))
        is_cold = endpoint.target.state is TargetState.COLD
        share = health.warmth(is_cold, now_ms)
        slowness = 1.0
        if fastest_ms and is_speed_counted:
            slowness = max(1.0, latency_ms / fastest_ms)
        wait = slowness * (n_waiting + 1) / (endpoint.target.n_slots * share)
        failing = health.failure_rate(now_ms) - blameless_rate
        if failing <= 0.0:
            return wait
        return wait * (1 + FAILURE_FACTOR * failing) + FAILURE_WAIT * failing

    return wait_of


__all__ = ["Load", "LoadOf", "TargetKey", "WaitOf", "make_wait_of"]
