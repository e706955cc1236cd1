"""The targets of one service and statistics over all of them.

A choice compares two targets. What it needs to know about all of them (which are in
this daemon's zone, the latency of the fastest one) changes rarely compared with the
rate of calls and is therefore cached.
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

# How long statistics are cached. Cached statistics are off by at most 4%, because the
# values of a target decay with a half-life of 5 s.
_STATISTICS_TTL_MS: Final = 250.0


class GroupStatistics(Struct, frozen=True):
    """Statistics over the targets of a service.

    `fastest_ms` is the latency of the fastest target, 0 if none is known;
    `failure_rate` is the mean share of recent calls that failed.
    """

    fastest_ms: float
    failure_rate: float


class TargetGroup:
    """The targets among which the calls to one service are distributed."""

    __slots__ = (
        "_health",
        "_statistics",
        "_statistics_expire_ms",
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
        self._statistics = GroupStatistics(0.0, 0.0)
        self._statistics_expire_ms = float("-inf")

    def statistics(self, now_ms: float) -> GroupStatistics:
        """Return the cached statistics over the targets that are not ejected."""
        if now_ms >= self._statistics_expire_ms:
            self._statistics = self._compute_statistics(now_ms)
            self._statistics_expire_ms = now_ms + _STATISTICS_TTL_MS
        return self._statistics

    def candidates(self, excluded_sets: Sequence[Collection[TargetKey]]) -> Candidates:
        """Return the targets of this zone and of other zones that are not excluded.

        The sets of excluded targets are applied in the given order, the most important
        one first. A set that would leave no target is skipped.
        """
        near: Sequence[Endpoint] = self.near
        far: Sequence[Endpoint] = self.far
        for keys in excluded_sets:
            if not keys:
                continue
            fewer_near = [item for item in near if item.key not in keys]
            fewer_far = [item for item in far if item.key not in keys]
            if fewer_near or fewer_far:
                near, far = fewer_near, fewer_far
        return near, far

    def _compute_statistics(self, now_ms: float) -> GroupStatistics:
        for health in self._health:
            health.seen_ms = now_ms
        used = [health for health in self._health if not health.is_ejected]
        latencies_ms = [health.latency_ms(now_ms) for health in used]
        # Each target is compared with the mean failure rate, because failures common to
        # all targets are not the fault of a single target.
        failure_rates = [health.failure_rate(now_ms) for health in used]
        return GroupStatistics(
            min(filter(None, latencies_ms), default=0.0),
            sum(failure_rates) / max(1, len(failure_rates)),
        )


__all__ = ["Candidates", "GroupStatistics", "TargetGroup", "TargetKey"]
