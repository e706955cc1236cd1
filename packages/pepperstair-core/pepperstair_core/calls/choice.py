"""Choice of the target of each call (load balancing).

Two random candidates are compared by expected wait (Mitzenmacher, "The power
of two choices in randomized load balancing", 2001). Choosing the least loaded of
all would send the calls of every daemon with the same stale reports to one target.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import TYPE_CHECKING, Final

from ..members import START_LABEL
from .call_ends import CallEnd, CrossZoneCause, Ejection, EndKind
from .expected_wait import Load, LoadOf, WaitOf, make_wait_of
from .route_latencies import RouteLatencies
from .target_group import Candidates, TargetGroup, TargetKey
from .target_health import TargetHealth

if TYPE_CHECKING:
    from ..routing import Endpoint

# Maximum time for which a target is avoided after it refused a call. A shorter
# retry-after time of the refusal takes precedence.
AVOIDED_MS: Final = 1_000
# Time for which a target is avoided after it refused a call because it was overloaded.
# This time is shorter than `AVOIDED_MS` because each answer updates the reported load
# of such a target.
FULL_AVOIDED_MS: Final = 50
# While this zone has usable targets, a call crosses zones only if the other zone
# shortens its expected wait by more than `ZONE_MARGIN` plus the transfer cost of the
# answer, which is `ZONE_MARGIN_PER_BYTE` for each byte. Waits, margin and cost are in
# units of the answer time of the fastest target; a transfer of 100 KB between zones
# costs one unit.
ZONE_MARGIN: Final = 0.25
ZONE_MARGIN_PER_BYTE: Final = 1e-5
# Maximum expected wait at which a target is considered to have a free slot, so that a
# call need not queue. The unit is the answer time of the fastest target.
FREE_SLOT_WAIT_MAX: Final = 1.0
# If no target has a free slot in this daemon's zone or in another, a call crosses zones
# only if the load per slot of the near target exceeds the load per slot of the far
# target by more than this margin.
FULL_ZONE_MARGIN: Final = 1.0
# A target is quick enough for a route if its mean latency is at most this share of the
# route's latency objective. The remainder is a margin for answers that take longer than
# the mean.
QUICK_SHARE: Final = 0.6
# Weight of the age of an unanswered call in the latency of its target if the call may
# be queued there. It is low because a queued call's age says little about the target's
# speed.
QUEUED_AGE_WEIGHT: Final = 0.25
EVICTED_AFTER_MS: Final = 60_000
N_TRACKED_MAX: Final = 2_000
# Time after which a daemon that has started is expected to know all targets. It is
# sufficient because targets are announced every 1.5 s, and one or two other daemons
# relay each announcement.
JOINING_MS: Final = 5_000
# Maximum number of cached target groups. There are dozens of services, and each has a
# group that is replaced by a new one whenever the service's endpoints change.
N_GROUPS_MAX: Final = 64


class TargetChooser:
    """Chooses targets by the outcome of earlier calls to them.

    Times are in milliseconds of one monotonic clock; `rng` makes every choice
    reproducible. For `joining_ms` after the first choice, newly discovered targets
    are treated as warm. `n_cross_zone` counts the calls that were sent to other zones,
    by the reason why no target of their own zone was used.
    """

    def __init__(
        self, availability_zone: str, rng: Random, joining_ms: float = 0.0
    ) -> None:
        self._joining_ms = joining_ms
        self._joined_ms: float | None = None
        self.n_cross_zone = dict.fromkeys(CrossZoneCause, 0)
        self._availability_zone = availability_zone
        self._rng = rng
        self._health: dict[TargetKey, TargetHealth] = {}
        self._groups: dict[int, TargetGroup] = {}
        # Targets that are ejected or to be avoided, a small share of all targets.
        self._restricted: dict[TargetKey, TargetHealth] = {}
        self._latencies = RouteLatencies()

    def choose(
        self,
        endpoints: Sequence[Endpoint],
        load_of: LoadOf,
        now_ms: float,
        excluded: Collection[TargetKey] = (),
        *,
        is_urgent: bool = False,
        route: str = "",
        n_answer_bytes: float = 0.0,
        objective_ms: float = 0.0,
        is_free_slot_required: bool = False,
    ) -> Endpoint | None:
        """Return the endpoint for one call, or None if there is none.

        The call counts as in flight on the endpoint until `end` is called. The age of
        a call in flight shows how slow its target is only if the call did not wait
        long for a slot. It is therefore used for urgent calls, which hardly wait, and
        for calls with an `objective_ms`, which wait only for a short time.
        `n_answer_bytes` is the expected size of the answer, which makes targets of
        other zones less preferred. With `is_free_slot_required`, the result is None
        if the chosen target has no free slot, unless the call is a probe of it.
        """
        group = self._group(endpoints, now_ms)
        if not any(item.key not in excluded for item in endpoints):
            return None
        chosen = self._probe(group, excluded, now_ms)
        if chosen is None:
            ejected, avoided = self._ejected_and_avoided(group, now_ms)
            candidates = group.candidates((excluded, ejected, avoided))
            wait_of = make_wait_of(
                self._health, group.statistics(now_ms), load_of, now_ms
            )
            is_quick = self._make_is_quick(route, objective_ms, now_ms)
            chosen = self._pick(group, candidates, wait_of, is_quick, n_answer_bytes)
            if is_free_slot_required and wait_of(chosen) > FREE_SLOT_WAIT_MAX:
                return None
        self._health[chosen.key].begin(
            now_ms, self._age_weight(route, is_urgent, objective_ms > 0)
        )
        return chosen

    def _make_is_quick(
        self, route: str, objective_ms: float, now_ms: float
    ) -> Callable[[Endpoint], bool]:
        """Return a predicate for targets that are quick enough for the objective."""
        allowed_ms = QUICK_SHARE * objective_ms * self._latencies.scale(route)

        def is_quick(endpoint: Endpoint) -> bool:
            health = self._health[endpoint.key]
            slowest_ms = max(health.latency_ms(now_ms), health.oldest_age_ms(now_ms))
            return slowest_ms <= allowed_ms

        return is_quick

    def _age_weight(self, route: str, is_urgent: bool, is_wait_bounded: bool) -> float:
        """Return the factor that converts the age of a call to a comparable latency."""
        if not is_urgent and not is_wait_bounded:
            return 0.0
        scale = self._latencies.scale(route)
        return scale if is_urgent else scale * QUEUED_AGE_WEIGHT

    def typical_ms(self, route: str) -> float:
        """Return the typical latency of a route's calls, 0 if none has been seen."""
        return self._latencies.typical_ms(route)

    def clear_ejection(self, vm: str) -> None:
        """End the ejection of all targets on a VM."""
        for (known_vm, _), health in self._health.items():
            if known_vm == vm:
                health.clear_ejection()

    def record_limit(
        self,
        endpoint: Endpoint,
        rate_per_s: float | None,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Record the rate limit that a target states in an answer, or None for none.

        `sent_ms` is when the call was sent.
        """
        health = self._health.get(endpoint.key)
        if health is not None:
            health.record_limit(rate_per_s, sent_ms, now_ms)

    def limit_of(self, endpoint: Endpoint) -> float | None:
        """Return the rate limit that a target stated last, or None."""
        health = self._health.get(endpoint.key)
        return None if health is None else health.rate_limit_per_s

    def record_answer(self, endpoint: Endpoint, start_ms: float) -> None:
        """Record the answer head of the call whose target was chosen at `start_ms`."""
        health = self._health.get(endpoint.key)
        if health is not None:
            health.record_answer(start_ms)

    def end(
        self,
        endpoint: Endpoint,
        endpoints: Sequence[Endpoint],
        end: CallEnd,
        now_ms: float,
    ) -> Ejection | None:
        """Record the end of a call and return the ejection that results, if any."""
        health = self._health.get(endpoint.key)
        if health is None:
            return None
        health.n_in_flight = max(0, health.n_in_flight - 1)
        health.record_answer(end.start_ms)
        if end.kind is EndKind.GOOD:
            self._latencies.record_outcome(end.route, False)
            health.succeed(now_ms)
            self._latencies.record_latency(end.route, end.latency_ms)
            health.record_latency(
                end.latency_ms * self._latencies.scale(end.route), now_ms
            )
        elif end.kind is EndKind.REFUSED:
            # A target that refuses at once has no calls in flight and so looks idle:
            # unless it is avoided, it would attract all calls and refuse them all.
            avoided_ms = min(end.retry_after_ms or AVOIDED_MS, AVOIDED_MS)
            health.avoided_until_ms = now_ms + avoided_ms
            self._restricted[endpoint.key] = health
            health.is_probed = False
        elif end.kind is EndKind.ABANDONED:
            health.is_probed = False
        else:
            self._latencies.record_outcome(end.route, True)
            health.fail(now_ms)
            if end.kind is EndKind.UNREACHABLE:
                # One failure is enough to eject a target whose VM is unreachable.
                # Otherwise every call to the VM would be lost until the usual number of
                # errors is reached.
                health.n_errors = max(health.n_errors, endpoint.policy.ejection_errors)
            # A failure is recorded as a latency only if it took longer than the
            # target's known latency, as a timeout does: a quick failure is no measure
            # of speed.
            latency_ms = end.latency_ms * self._latencies.scale(end.route)
            if latency_ms > health.latency_ms(now_ms):
                health.record_latency(latency_ms, now_ms)
            n_errors_min = endpoint.policy.ejection_errors
            if end.kind is not EndKind.UNREACHABLE:
                n_errors_min = self._latencies.n_errors_to_eject(
                    n_errors_min, end.route
                )
            if health.n_errors >= n_errors_min or health.is_failed_probe:
                return self._eject_if_due(endpoint, endpoints, health, now_ms)
        return None

    def _eject_if_due(
        self,
        endpoint: Endpoint,
        endpoints: Sequence[Endpoint],
        health: TargetHealth,
        now_ms: float,
    ) -> Ejection | None:
        if health.is_ejected and not health.is_failed_probe:
            return None
        if not health.is_ejected and not self._may_eject(endpoint, endpoints):
            return None
        period_ms = health.eject(now_ms, self._rng)
        self._restricted[endpoint.key] = health
        return Ejection(endpoint.key, health.n_errors, period_ms)

    def _may_eject(self, endpoint: Endpoint, endpoints: Sequence[Endpoint]) -> bool:
        """Return whether one more target of a service may be ejected.

        A fault on this daemon's own side makes every target look broken. If all were
        ejected, the service would be unavailable although its targets are healthy.
        """
        n_ejected = sum(1 for item in endpoints if self._is_ejected(item.key))
        return n_ejected < _n_ejected_max(endpoints, endpoint)

    def _is_ejected(self, key: TargetKey) -> bool:
        health = self._restricted.get(key)
        return health is not None and health.is_ejected

    def _probe(
        self, group: TargetGroup, excluded: Collection[TargetKey], now_ms: float
    ) -> Endpoint | None:
        """Return a target that is due for a probe by one call, or None."""
        for key, health in self._restricted.items():
            if key in excluded or key not in group.by_key:
                continue
            if health.is_due_for_probe(now_ms):
                health.is_probed = True
                return group.by_key[key]
        return None

    def _ejected_and_avoided(
        self, group: TargetGroup, now_ms: float
    ) -> tuple[Collection[TargetKey], Collection[TargetKey]]:
        """Return the ejected targets, within the allowed share, and the avoided ones.

        If other targets have departed since the ejections, the ejected targets may
        exceed the allowed share. The targets whose ejections end first are then used
        again.
        """
        if not self._restricted:
            return (), ()
        self._drop_restored(now_ms)
        restricted = [
            (health.ejected_until_ms, key, health)
            for key, health in self._restricted.items()
            if key in group.by_key
        ]
        avoided = {
            key for _, key, health in restricted if health.avoided_until_ms > now_ms
        }
        ejected = sorted(item[:2] for item in restricted if item[2].is_ejected)
        if not ejected:
            return (), avoided
        first = group.by_key[ejected[0][1]]
        n_reused = max(0, len(ejected) - _n_ejected_max(group.endpoints, first))
        return {key for _, key in ejected[n_reused:]}, avoided

    def _drop_restored(self, now_ms: float) -> None:
        """Drop the restrictions of targets that are neither ejected nor avoided."""
        restored = [
            key
            for key, health in self._restricted.items()
            if not health.is_ejected and health.avoided_until_ms <= now_ms
        ]
        for key in restored:
            del self._restricted[key]

    def _pick(
        self,
        group: TargetGroup,
        candidates: Candidates,
        wait_of: WaitOf,
        is_quick: Callable[[Endpoint], bool],
        n_answer_bytes: float,
    ) -> Endpoint:
        """Return the better of two targets, from this zone while it has free slots.

        Traffic between zones is slow and billed. If the other zone has no free slot
        either, a call gains by crossing only if this zone is much fuller, and a call
        with a large answer never gains by crossing. A target of this zone that is
        slower than others, but quick enough for the objective, still answers in time,
        so it is used while it has free slots. Without this rule calls would cross zones
        when only a third of the target's slots are in use: the target would be mostly
        idle while every second call crosses zones.
        """
        near, far = candidates
        if not near:
            has_near = bool(group.near)
            self.n_cross_zone[
                CrossZoneCause.EXCLUDED if has_near else CrossZoneCause.NO_TARGET
            ] += 1
            return self._better_of_two(far, wait_of)
        if not far:
            return self._better_of_two(near, wait_of)
        best = self._better_of_two(near, wait_of)
        near_wait = wait_of(best)
        if near_wait <= FREE_SLOT_WAIT_MAX:
            return best
        is_full = wait_of(best, is_speed_counted=False) > FREE_SLOT_WAIT_MAX
        if not is_full and is_quick(best):
            return best
        other = self._better_of_two(far, wait_of)
        far_wait = wait_of(other)
        margin = n_answer_bytes * ZONE_MARGIN_PER_BYTE
        if far_wait > FREE_SLOT_WAIT_MAX:
            is_large = margin > ZONE_MARGIN
            if is_large or not _is_much_fuller(best, other, wait_of):
                return best
        if far_wait + margin + ZONE_MARGIN >= near_wait:
            return best
        self.n_cross_zone[CrossZoneCause.FULL if is_full else CrossZoneCause.SLOW] += 1
        return other

    def _better_of_two(
        self, endpoints: Sequence[Endpoint], wait_of: WaitOf
    ) -> Endpoint:
        n_endpoints = len(endpoints)
        if n_endpoints == 1:
            return endpoints[0]
        first = int(self._rng.random() * n_endpoints)
        second = int(self._rng.random() * (n_endpoints - 1))
        second += second >= first
        one, other = endpoints[first], endpoints[second]
        return one if wait_of(one) <= wait_of(other) else other

    def _group(self, endpoints: Sequence[Endpoint], now_ms: float) -> TargetGroup:
        """Return the group of a sequence of endpoints; it is cached per object."""
        # Each cached group keeps a reference to its endpoints, so that their `id`,
        # which is the key of the group, is not reused for another sequence.
        group = self._groups.get(id(endpoints))
        if group is not None:
            return group
        self._track_new(endpoints, now_ms)
        if len(self._groups) >= N_GROUPS_MAX:
            self._groups.clear()
        group = TargetGroup(endpoints, self._health, self._availability_zone)
        self._groups[id(endpoints)] = group
        return group

    def _track_new(self, endpoints: Sequence[Endpoint], now_ms: float) -> None:
        """Start tracking the health of new targets.

        If none of a service's targets is known, or this daemon has just started, then
        this daemon is new and not the targets, which are treated as warm. After a
        restart of the whole fleet, targets are discovered one by one: if all but the
        first target had a slow start, the first would get nearly all calls for ten
        seconds and queue them, while the slots of the others stay free.
        """
        known = self._health
        if self._joined_ms is None:
            self._joined_ms = now_ms
        is_joining = now_ms - self._joined_ms < self._joining_ms
        self._forget_restarted(endpoints, now_ms, is_new=not is_joining)
        missing = [item for item in endpoints if item.key not in known]
        is_new = len(missing) < len(endpoints) and not is_joining
        for item in missing:
            start = item.target.label(START_LABEL)
            known[item.key] = TargetHealth(now_ms, is_new=is_new, start=start)
        for endpoint in endpoints:
            known[endpoint.key].seen_ms = now_ms
        if len(known) > N_TRACKED_MAX:
            self._evict_unseen(now_ms)

    def _forget_restarted(
        self, endpoints: Sequence[Endpoint], now_ms: float, *, is_new: bool
    ) -> None:
        """Replace the health of targets that have started again under their names.

        Errors, latencies, limits and calls in flight belong to the process that ended.
        """
        for item in endpoints:
            known = self._health.get(item.key)
            start = item.target.label(START_LABEL)
            if known is None or known.start == start:
                continue
            self._health[item.key] = TargetHealth(now_ms, is_new=is_new, start=start)
            self._restricted.pop(item.key, None)
            # The cached groups refer to the replaced health.
            self._groups.clear()

    def _evict_unseen(self, now_ms: float) -> None:
        """Evict targets that have not been among the endpoints for a while.

        Targets are replaced continually, so keeping every target that was ever seen
        would exhaust the memory.
        """
        self._health = {
            key: health
            for key, health in self._health.items()
            if health.n_in_flight or now_ms - health.seen_ms < EVICTED_AFTER_MS
        }
        self._groups.clear()
        for key in [key for key in self._restricted if key not in self._health]:
            del self._restricted[key]


def _is_much_fuller(near: Endpoint, far: Endpoint, wait_of: WaitOf) -> bool:
    near_fill = wait_of(near, is_speed_counted=False)
    return near_fill > FULL_ZONE_MARGIN + wait_of(far, is_speed_counted=False)


def _n_ejected_max(endpoints: Sequence[Endpoint], endpoint: Endpoint) -> int:
    allowed = len(endpoints) * endpoint.policy.ejected_percent_max // 100
    return min(allowed, len(endpoints) - 1)


__all__ = [
    "JOINING_MS",
    "CallEnd",
    "EndKind",
    "Ejection",
    "Load",
    "LoadOf",
    "TargetChooser",
    "TargetKey",
    "CrossZoneCause",
]
