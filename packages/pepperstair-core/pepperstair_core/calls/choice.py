"""Which target a call goes to.

Two random candidates are compared by expected wait (Mitzenmacher, "The power
of two choices in randomized load balancing", 2001): over the least loaded of
all, which every daemon with the same late reports would pick at once.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import TYPE_CHECKING, Final

from .call_ends import CallEnd, CrossZoneCause, Ejection, EndKind
from .expected_wait import Load, LoadOf, WaitOf, make_wait_of
from .route_latencies import RouteLatencies
from .target_group import Candidates, TargetGroup, TargetKey
from .target_health import TargetHealth

if TYPE_CHECKING:
    from ..routing import Endpoint

AVOIDED_MS: Final = 1_000
# A full target says so with its load, which is up to date with each answer.
FULL_AVOIDED_MS: Final = 50
# How much shorter the wait in another zone must be, in answer times, beside
# what the bytes of an answer cost on the way: 100 KB count as one answer time.
ZONE_MARGIN: Final = 0.25
ZONE_MARGIN_PER_BYTE: Final = 1e-5
# With more room than one free slot asks for, a call need not wait at all.
ROOM_WAIT: Final = 1.0
# How much fuller, in shares of its slots, a target of the own zone must be than one
# elsewhere that has no free slot either.
FULL_ZONE_MARGIN: Final = 1.0
# A target is quick enough for a route if its mean answer takes this share of the
# time within which one is wanted; what is left is for those that take longer.
QUICK_SHARE: Final = 0.6
# The age of a call that may stand in a queue says little of its target.
QUEUED_AGE_WEIGHT: Final = 0.25
FORGOTTEN_AFTER_MS: Final = 60_000
N_REMEMBERED_MAX: Final = 2_000
# A daemon that starts learns of all targets within some seconds: they announce
# themselves every 1.5 s and reach it through one or two others.
JOINING_MS: Final = 5_000
# Some dozens of services have one group each, and a new one when members change.
N_GROUPS_MAX: Final = 64


class TargetChooser:
    """Chooses targets and learns from how the calls to them ended.

    Times are in milliseconds of one clock that never goes back; `rng` makes
    every choice repeatable. For `joining_ms` from the first choice on, targets that
    it learns of are taken for warm. `n_cross_zone` counts the calls that went to other
    zones, by what kept them from the targets of their own.
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
        # Those that may be ejected or to be avoided: few beside all targets.
        self._set_aside: dict[TargetKey, TargetHealth] = {}
        self._norms = RouteLatencies()

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
        """Return the endpoint for one call, or None where none is left.

        The call counts as in flight on it until `end` is called. Urgent calls
        hardly wait for a slot, so that the time since their start is the time
        that the target itself takes; with an `objective_ms` that wait is short, so
        that a long time tells something too. `n_answer_bytes` is about what the answer
        will bring across zones; with `is_free_slot_required` none but a target with a
        free slot will do.
        """
        group = self._group(endpoints, now_ms)
        if not any(item.key not in excluded for item in endpoints):
            return None
        chosen = self._probe(group, excluded, now_ms)
        if chosen is None:
            ejected, avoided = self._left_out(group, now_ms)
            candidates = group.candidates((excluded, ejected, avoided))
            wait_of = make_wait_of(self._health, group.norms(now_ms), load_of, now_ms)
            is_quick = self._make_is_quick(route, objective_ms, now_ms)
            chosen = self._pick(group, candidates, wait_of, is_quick, n_answer_bytes)
            if is_free_slot_required and wait_of(chosen) > ROOM_WAIT:
                return None
        self._health[chosen.key].begin(
            now_ms, self._age_weight(route, is_urgent, objective_ms > 0)
        )
        return chosen

    def _make_is_quick(
        self, route: str, objective_ms: float, now_ms: float
    ) -> Callable[[Endpoint], bool]:
        """Return the function that says which targets answer a route in good time."""
        allowed_ms = QUICK_SHARE * objective_ms * self._norms.scale(route)

        def is_quick(endpoint: Endpoint) -> bool:
            health = self._health[endpoint.key]
            slowest_ms = max(health.latency_ms(now_ms), health.oldest_age_ms(now_ms))
            return slowest_ms <= allowed_ms

        return is_quick

    def _age_weight(self, route: str, is_urgent: bool, is_wait_bounded: bool) -> float:
        """Return what turns the age of a call into a latency that compares."""
        if not is_urgent and not is_wait_bounded:
            return 0.0
        scale = self._norms.scale(route)
        return scale if is_urgent else scale * QUEUED_AGE_WEIGHT

    def typical_ms(self, route: str) -> float:
        """Return how long calls of a route usually take, 0 where none was seen."""
        return self._norms.typical_ms(route)

    def clear_ejection(self, vm: str) -> None:
        """Use the targets of a VM again that were ejected."""
        for (known_vm, _), health in self._health.items():
            if known_vm == vm:
                health.clear_ejection()

    def record_answer(self, endpoint: Endpoint, start_ms: float) -> None:
        """Take the head of the answer to a call that was chosen at `start_ms`."""
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
        """Take the end of a call; return the ejection that follows from it."""
        health = self._health.get(endpoint.key)
        if health is None:
            return None
        health.n_in_flight = max(0, health.n_in_flight - 1)
        health.record_answer(end.start_ms)
        if end.kind is EndKind.GOOD:
            self._norms.record_outcome(end.route, False)
            health.succeed(now_ms)
            self._norms.record_latency(end.route, end.latency_ms)
            health.record_latency(end.latency_ms * self._norms.scale(end.route), now_ms)
        elif end.kind is EndKind.REFUSED:
            # A target that refuses at once has nothing in flight and so looks
            # idle: without this it would draw all calls and refuse them all.
            avoided_ms = min(end.retry_after_ms or AVOIDED_MS, AVOIDED_MS)
            health.avoided_until_ms = now_ms + avoided_ms
            self._set_aside[endpoint.key] = health
            health.is_probed = False
        elif end.kind is EndKind.ABANDONED:
            health.is_probed = False
        else:
            self._norms.record_outcome(end.route, True)
            health.fail(now_ms)
            if end.kind is EndKind.UNREACHABLE:
                # Every call to a VM that can't be reached would be lost until
                # the usual number of errors has been seen.
                health.n_errors = max(health.n_errors, endpoint.policy.ejection_errors)
            # A quick failure says nothing of speed, a timeout does.
            latency_ms = end.latency_ms * self._norms.scale(end.route)
            if latency_ms > health.latency_ms(now_ms):
                health.record_latency(latency_ms, now_ms)
            n_errors_min = endpoint.policy.ejection_errors
            if end.kind is not EndKind.UNREACHABLE:
                n_errors_min = self._norms.n_errors_to_eject(n_errors_min, end.route)
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
        self._set_aside[endpoint.key] = health
        return Ejection(endpoint.key, health.n_errors, period_ms)

    def _may_eject(self, endpoint: Endpoint, endpoints: Sequence[Endpoint]) -> bool:
        """Hold a floor under the targets that stay in use.

        A fault on this daemon's own side makes every target look broken; with
        all of them ejected the service would be gone though nothing is wrong.
        """
        n_ejected = sum(1 for item in endpoints if self._is_ejected(item.key))
        return n_ejected < _n_ejected_max(endpoints, endpoint)

    def _is_ejected(self, key: TargetKey) -> bool:
        health = self._set_aside.get(key)
        return health is not None and health.is_ejected

    def _probe(
        self, group: TargetGroup, excluded: Collection[TargetKey], now_ms: float
    ) -> Endpoint | None:
        """Return a target whose ejection is over, for one call to try it."""
        for key, health in self._set_aside.items():
            if key in excluded or key not in group.by_key:
                continue
            if health.is_due_for_probe(now_ms):
                health.is_probed = True
                return group.by_key[key]
        return None

    def _left_out(
        self, group: TargetGroup, now_ms: float
    ) -> tuple[Collection[TargetKey], Collection[TargetKey]]:
        """Return which targets are ejected, down to the floor, and just refused.

        Targets that left since can have made the ejected ones too large a
        share; those whose time ends first are then used again.
        """
        if not self._set_aside:
            return (), ()
        self._take_back(now_ms)
        aside = [
            (health.ejected_until_ms, key, health)
            for key, health in self._set_aside.items()
            if key in group.by_key
        ]
        avoided = {key for _, key, health in aside if health.avoided_until_ms > now_ms}
        ejected = sorted(item[:2] for item in aside if item[2].is_ejected)
        if not ejected:
            return (), avoided
        first = group.by_key[ejected[0][1]]
        n_back = max(0, len(ejected) - _n_ejected_max(group.endpoints, first))
        return {key for _, key in ejected[n_back:]}, avoided

    def _take_back(self, now_ms: float) -> None:
        """Forget that targets were set aside that are in full use again."""
        over = [
            key
            for key, health in self._set_aside.items()
            if not health.is_ejected and health.avoided_until_ms <= now_ms
        ]
        for key in over:
            del self._set_aside[key]

    def _pick(
        self,
        group: TargetGroup,
        candidates: Candidates,
        wait_of: WaitOf,
        is_quick: Callable[[Endpoint], bool],
        n_answer_bytes: float,
    ) -> Endpoint:
        """Return the better of two, from the own zone while it has room.

        Bytes between zones are slow and paid for, and where no slot is free there
        either, a call gains nothing by them unless its own zone is much fuller; a
        large answer never does. A target of the own zone that is slower than
        others still serves its callers in time while it is quick enough for them:
        left at a third of its slots, it would stand idle while every second call
        crosses zones.
        """
        near, far = candidates
        if not near:
            is_there = bool(group.near)
            self.n_cross_zone[
                CrossZoneCause.EXCLUDED if is_there else CrossZoneCause.NO_TARGET
            ] += 1
            return self._better_of_two(far, wait_of)
        if not far:
            return self._better_of_two(near, wait_of)
        best = self._better_of_two(near, wait_of)
        near_wait = wait_of(best)
        if near_wait <= ROOM_WAIT:
            return best
        is_full = wait_of(best, is_speed_counted=False) > ROOM_WAIT
        if not is_full and is_quick(best):
            return best
        other = self._better_of_two(far, wait_of)
        far_wait = wait_of(other)
        margin = n_answer_bytes * ZONE_MARGIN_PER_BYTE
        if far_wait > ROOM_WAIT:
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
        """Return the group of these very endpoints, made anew where they are others."""
        # Each group holds its endpoints, so that no others can have their identity.
        group = self._groups.get(id(endpoints))
        if group is not None:
            return group
        self._meet(endpoints, now_ms)
        if len(self._groups) >= N_GROUPS_MAX:
            self._groups.clear()
        group = TargetGroup(endpoints, self._health, self._availability_zone)
        self._groups[id(endpoints)] = group
        return group

    def _meet(self, endpoints: Sequence[Endpoint], now_ms: float) -> None:
        """Begin to remember targets that are new.

        Where none of a service's targets is known, or this daemon has just started,
        this daemon is the new one and they are taken as warm. After a restart of the
        whole fleet targets become known one by one: were all but the first started
        slowly, it alone would get nearly all calls for ten seconds and queue them,
        while the slots of the others stay free.
        """
        known = self._health
        missing = [item.key for item in endpoints if item.key not in known]
        if self._joined_ms is None:
            self._joined_ms = now_ms
        is_joining = now_ms - self._joined_ms < self._joining_ms
        is_new = len(missing) < len(endpoints) and not is_joining
        for key in missing:
            known[key] = TargetHealth(now_ms, is_new=is_new)
        for endpoint in endpoints:
            known[endpoint.key].seen_ms = now_ms
        if len(known) > N_REMEMBERED_MAX:
            self._forget(now_ms)

    def _forget(self, now_ms: float) -> None:
        """Drop targets that have not been offered for a while.

        Targets come and go for ever; remembering each would fill the memory.
        """
        self._health = {
            key: health
            for key, health in self._health.items()
            if health.n_in_flight or now_ms - health.seen_ms < FORGOTTEN_AFTER_MS
        }
        self._groups.clear()
        for key in [key for key in self._set_aside if key not in self._health]:
            del self._set_aside[key]


def _is_much_fuller(near: Endpoint, far: Endpoint, wait_of: WaitOf) -> bool:
    near_fill = wait_of(near, is_speed_counted=False)
    return near_fill > FULL_ZONE_MARGIN + wait_of(far, is_speed_counted=False)


def _n_ejected_max(endpoints: Sequence[Endpoint], of: Endpoint) -> int:
    allowed = len(endpoints) * of.policy.ejected_percent_max // 100
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
