"""Which target a call goes to.

Two random candidates are compared by expected wait (Mitzenmacher, "The power
of two choices in randomized load balancing", 2001): over the least loaded of
all, which every daemon with the same late reports would pick at once.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from random import Random
from typing import TYPE_CHECKING, Final

from .expected_wait import Load, LoadOf, TargetKey, make_wait_of
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
# Answers are timed against what is usual for their route, which follows slowly.
USUAL_WEIGHT: Final = 0.05
# The age of a call that may stand in a queue says little of its target.
QUEUED_AGE_WEIGHT: Final = 0.25
N_ROUTES_MAX: Final = 1_000
FORGOTTEN_AFTER_MS: Final = 60_000
N_REMEMBERED_MAX: Final = 2_000


class EndKind(Enum):
    """How a call ended, as far as the choice of targets is concerned."""

    GOOD = auto()
    ERROR = auto()
    UNREACHABLE = auto()
    REFUSED = auto()
    ABANDONED = auto()


@dataclass(frozen=True, slots=True)
class CallEnd:
    """The end of a call that was chosen a target for at `start_ms`.

    `latency_ms` is the time to the head of its answer, without the wait for a
    slot; `retry_after_ms` is what a refusal asks for, 0 for nothing.
    """

    kind: EndKind
    start_ms: float
    latency_ms: float = 0.0
    retry_after_ms: int = 0
    route: str = ""


@dataclass(frozen=True, slots=True)
class Ejection:
    """A target that was left out, with the figures of the decision."""

    key: TargetKey
    n_errors: int
    period_ms: float


class TargetChooser:
    """Chooses targets and learns from how the calls to them ended.

    Times are in milliseconds of one clock that never goes back; `rng` makes
    every choice repeatable.
    """

    def __init__(self, availability_zone: str, rng: Random) -> None:
        self._availability_zone = availability_zone
        self._rng = rng
        self._health: dict[TargetKey, TargetHealth] = {}
        self._usual_ms: dict[str, float] = {}
        self._usual_overall_ms = 0.0

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
        is_wait_bounded: bool = False,
        is_room_wanted: bool = False,
    ) -> Endpoint | None:
        """Return the endpoint for one call, or None where none is left.

        The call counts as in flight on it until `end` is called. Urgent calls
        hardly wait for a slot, so that the time since their start is the time
        that the target itself takes; with `is_wait_bounded` that wait is short, so
        that a long time tells something too. `n_answer_bytes` is about what the answer
        will bring across zones; with `is_room_wanted` none but a target with a
        free slot will do.
        """
        known = self._known(endpoints, now_ms)
        usable = endpoints
        if excluded:
            usable = [item for item in endpoints if item.key not in excluded]
        if not usable:
            return None
        chosen = self._probe(usable, now_ms)
        if chosen is None:
            healthy = self._healthy(usable, endpoints, now_ms)
            wait_of = make_wait_of(known, healthy, load_of, now_ms)
            chosen = self._pick(healthy, wait_of, n_answer_bytes)
            if is_room_wanted and wait_of(chosen) > ROOM_WAIT:
                return None
        known[chosen.key].begin(
            now_ms, self._age_weight(route, is_urgent, is_wait_bounded)
        )
        return chosen

    def _age_weight(self, route: str, is_urgent: bool, is_wait_bounded: bool) -> float:
        """Return what turns the age of a call into a latency that compares."""
        if not is_urgent and not is_wait_bounded:
            return 0.0
        scale = self._scale(route)
        return scale if is_urgent else scale * QUEUED_AGE_WEIGHT

    def _scale(self, route: str) -> float:
        """Return what makes latencies of a route compare with those of others.

        A target that has just served a large archive is no slower than one that
        served a short look-up.
        """
        usual_ms = self._usual_ms.get(route)
        return 1.0 if usual_ms is None else self._usual_overall_ms / usual_ms

    def _note_usual(self, route: str, latency_ms: float) -> None:
        """Take a good answer's latency into what is usual."""
        if latency_ms <= 0.0:
            return
        if len(self._usual_ms) >= N_ROUTES_MAX and route not in self._usual_ms:
            self._usual_ms.clear()
        usual_ms = self._usual_ms.get(route, latency_ms)
        self._usual_ms[route] = usual_ms + USUAL_WEIGHT * (latency_ms - usual_ms)
        overall_ms = self._usual_overall_ms or latency_ms
        change_ms = latency_ms - overall_ms
        self._usual_overall_ms = overall_ms + USUAL_WEIGHT * change_ms

    def forgive(self, vm: str) -> None:
        """Use the targets of a VM again that were ejected."""
        for (known_vm, _), health in self._health.items():
            if known_vm == vm:
                health.forgive()

    def see_answer(self, endpoint: Endpoint, start_ms: float) -> None:
        """Take the head of the answer to a call that was chosen at `start_ms`."""
        health = self._health.get(endpoint.key)
        if health is not None:
            health.see_answer(start_ms)

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
        health.see_answer(end.start_ms)
        if end.kind is EndKind.GOOD:
            health.succeed(now_ms)
            self._note_usual(end.route, end.latency_ms)
            health.see_latency(end.latency_ms * self._scale(end.route), now_ms)
        elif end.kind is EndKind.REFUSED:
            # A target that refuses at once has nothing in flight and so looks
            # idle: without this it would draw all calls and refuse them all.
            avoided_ms = min(end.retry_after_ms or AVOIDED_MS, AVOIDED_MS)
            health.avoided_until_ms = now_ms + avoided_ms
            health.is_probed = False
        elif end.kind is EndKind.ABANDONED:
            health.is_probed = False
        else:
            health.fail(now_ms)
            if end.kind is EndKind.UNREACHABLE:
                # Every call to a VM that can't be reached would be lost until
                # the usual number of errors has been seen.
                health.n_errors = max(health.n_errors, endpoint.policy.ejection_errors)
            # A quick failure says nothing of speed, a timeout does.
            latency_ms = end.latency_ms * self._scale(end.route)
            if latency_ms > health.latency_ms(now_ms):
                health.see_latency(latency_ms, now_ms)
            return self._eject_if_due(endpoint, endpoints, health, now_ms)
        return None

    def _eject_if_due(
        self,
        endpoint: Endpoint,
        endpoints: Sequence[Endpoint],
        health: TargetHealth,
        now_ms: float,
    ) -> Ejection | None:
        is_failed_probe = health.is_ejected and health.is_probed
        if health.n_errors < endpoint.policy.ejection_errors and not is_failed_probe:
            return None
        if health.is_ejected and not is_failed_probe:
            return None
        if not health.is_ejected and not self._may_eject(endpoint, endpoints):
            return None
        period_ms = health.eject(now_ms, self._rng)
        return Ejection(endpoint.key, health.n_errors, period_ms)

    def _may_eject(self, endpoint: Endpoint, endpoints: Sequence[Endpoint]) -> bool:
        """Hold a floor under the targets that stay in use.

        A fault on this daemon's own side makes every target look broken; with
        all of them ejected the service would be gone though nothing is wrong.
        """
        n_ejected = sum(1 for _ in self._iter_ejected(endpoints))
        return n_ejected < _n_ejected_max(endpoints, endpoint)

    def _iter_ejected(self, endpoints: Sequence[Endpoint]) -> Iterator[Endpoint]:
        for endpoint in endpoints:
            health = self._health.get(endpoint.key)
            if health is not None and health.is_ejected:
                yield endpoint

    def _probe(self, usable: Sequence[Endpoint], now_ms: float) -> Endpoint | None:
        """Return a target whose ejection is over, for one call to try it."""
        for endpoint in usable:
            health = self._health[endpoint.key]
            if health.is_due_for_probe(now_ms):
                health.is_probed = True
                return endpoint
        return None

    def _healthy(
        self, usable: Sequence[Endpoint], endpoints: Sequence[Endpoint], now_ms: float
    ) -> Sequence[Endpoint]:
        """Leave out what is ejected or just refused, down to the floor.

        Targets that left since can have made the ejected ones too large a
        share; those whose time ends first are then used again.
        """
        ejected = list(self._iter_ejected(endpoints))
        if ejected:
            ejected.sort(key=lambda endpoint: self._ejected_until_ms(endpoint))
            n_back = max(0, len(ejected) - _n_ejected_max(endpoints, ejected[0]))
            out = {endpoint.key for endpoint in ejected[n_back:]}
            usable = [item for item in usable if item.key not in out] or usable
        welcome = [
            endpoint
            for endpoint in usable
            if self._health[endpoint.key].avoided_until_ms <= now_ms
        ]
        return welcome or usable

    def _pick(
        self,
        healthy: Sequence[Endpoint],
        wait_of: Callable[[Endpoint], float],
        n_answer_bytes: float,
    ) -> Endpoint:
        """Return the better of two, from the own zone while it has room.

        Bytes between zones are slow and paid for; a large answer goes there
        only where a slot is free.
        """
        zone = self._availability_zone
        near = [item for item in healthy if item.availability_zone == zone]
        if not near or len(near) == len(healthy):
            return self._better_of_two(healthy, wait_of)
        best = self._better_of_two(near, wait_of)
        near_wait = wait_of(best)
        if near_wait <= ROOM_WAIT:
            return best
        far = [item for item in healthy if item.availability_zone != zone]
        other = self._better_of_two(far, wait_of)
        far_wait = wait_of(other)
        margin = n_answer_bytes * ZONE_MARGIN_PER_BYTE
        if margin > ZONE_MARGIN and far_wait > ROOM_WAIT:
            return best
        return other if far_wait + margin + ZONE_MARGIN < near_wait else best

    def _better_of_two(
        self, endpoints: Sequence[Endpoint], wait_of: Callable[[Endpoint], float]
    ) -> Endpoint:
        n_endpoints = len(endpoints)
        if n_endpoints == 1:
            return endpoints[0]
        first = int(self._rng.random() * n_endpoints)
        second = int(self._rng.random() * (n_endpoints - 1))
        second += second >= first
        one, other = endpoints[first], endpoints[second]
        return one if wait_of(one) <= wait_of(other) else other

    def _ejected_until_ms(self, endpoint: Endpoint) -> float:
        return self._health[endpoint.key].ejected_until_ms

    def _known(
        self, endpoints: Sequence[Endpoint], now_ms: float
    ) -> dict[TargetKey, TargetHealth]:
        """Return the state by target, with one for each that is new.

        Where none of a service's targets is known, this daemon is the new one
        and they are taken as warm.
        """
        known = self._health
        missing = [item.key for item in endpoints if item.key not in known]
        is_new = len(missing) < len(endpoints)
        for key in missing:
            known[key] = TargetHealth(now_ms, is_new=is_new)
        if len(known) > N_REMEMBERED_MAX:
            self._forget(now_ms)
        for endpoint in endpoints:
            known[endpoint.key].seen_ms = now_ms
        return known

    def _forget(self, now_ms: float) -> None:
        """Drop targets that have not been offered for a while.

        Targets come and go for ever; remembering each would fill the memory.
        """
        self._health = {
            key: health
            for key, health in self._health.items()
            if health.n_in_flight or now_ms - health.seen_ms < FORGOTTEN_AFTER_MS
        }


def _n_ejected_max(endpoints: Sequence[Endpoint], of: Endpoint) -> int:
    allowed = len(endpoints) * of.policy.ejected_percent_max // 100
    return min(allowed, len(endpoints) - 1)


__all__ = [
    "CallEnd",
    "EndKind",
    "Ejection",
    "Load",
    "LoadOf",
    "TargetChooser",
    "TargetKey",
]
