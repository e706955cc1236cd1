"""The targets of one service, and what a choice among them needs to know of all.

A choice compares two targets. What it needs of the others (which are near, how
quick the quickest one is) changes seldom beside the calls, so it is worked out for
many choices at once.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from typing import TYPE_CHECKING, Final

from msgspec import Struct

from .target_health import TargetHealth

if TYPE_CHECKING:
    from ..routing import Endpoint

TargetKey = tuple[str, str]
Candidates = tuple[Sequence["Endpoint"], Sequence["Endpoint"]]

# For how long figures over all targets hold, in ms. What was seen of a target
# counts half as much after 5 s, so that they are off by 4% at most by then.
_NORMS_HOLD_MS: Final = 250.0


class Norms(Struct, frozen=True):
    """What is usual among the targets of a service.

    `fastest_ms` is the latency of the quickest one, 0 if none is known;
    `failure_rate` the mean share of calls that failed of late.
    """

    fastest_ms: float
    failure_rate: float


class TargetGroup:
    """The targets among which calls of one service choose."""

    __slots__ = (
        "_health",
        "_norms",
        "_norms_end_ms",
        "by_key",
        "endpoints",
        "far",
        "near",
    )

    def __init__(
        self,
        endpoints: Sequence[Endpoint],
        health_of: Mapping[TargetKey, TargetHealth],
        availability_zone: str,
    ) -> None:
        zone = availability_zone
        self.endpoints = endpoints
        self.by_key = {item.key: item for item in endpoints}
        self.near = tuple(item for item in endpoints if item.availability_zone == zone)
        self.far = tuple(item for item in endpoints if item.availability_zone != zone)
        self._health = [health_of[key] for key in self.by_key]
        self._norms = Norms(0.0, 0.0)
        self._norms_end_ms = float("-inf")

    def norms(self, now_ms: float) -> Norms:
        """Return what is usual among the targets that are in use."""
        if now_ms >= self._norms_end_ms:
            self._norms = self._measure(now_ms)
            self._norms_end_ms = now_ms + _NORMS_HOLD_MS
        return self._norms

    def candidates(self, left_out: Sequence[Collection[TargetKey]]) -> Candidates:
        """Return the near and the far targets without those of some sets of keys.

        Sets come in order of weight: one that would leave no target is passed over.
        """
        near: Sequence[Endpoint] = self.near
        far: Sequence[Endpoint] = self.far
        for keys in left_out:
            if not keys:
                continue
            fewer_near = [item for item in near if item.key not in keys]
            fewer_far = [item for item in far if item.key not in keys]
            if fewer_near or fewer_far:
                near, far = fewer_near, fewer_far
        return near, far

    def _measure(self, now_ms: float) -> Norms:
        for health in self._health:
            health.seen_ms = now_ms
        used = [health for health in self._health if not health.is_ejected]
        latencies_ms = [health.latency_ms(now_ms) for health in used]
        # What fails everywhere alike is no fault of one target.
        failure_rates = [health.failure_rate(now_ms) for health in used]
        return Norms(
            min(filter(None, latencies_ms), default=0.0),
            sum(failure_rates) / max(1, len(failure_rates)),
        )


__all__ = ["Candidates", "Norms", "TargetGroup", "TargetKey"]
