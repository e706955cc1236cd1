"""One call on its way through the product's decisions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

from pepperstair_core.calls import (
    FULL_AVOIDED_MS,
    Attempt,
    CallEnd,
    EndKind,
    GiveUp,
    Refused,
    decide_retry,
)
from pepperstair_core.errors import ErrorKind, Failure, RunStatus
from pepperstair_core.routing import Endpoint

from .experiment import RouteModel

if TYPE_CHECKING:
    from .fleet import EmulatedDaemon, Fleet
    from .targets import EmulatedTarget

# What a daemon says where a refusal names no time of its own.
RETRY_AFTER_DEFAULT_MS = 1_000
SAME_VM_MS = 0.1
SAME_ZONE_MS = 0.2
_REFUSALS = (ErrorKind.OVERLOADED, ErrorKind.TARGET_REFUSED, ErrorKind.NO_TARGET)


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a call ended for whoever sent it."""

    is_good: bool
    is_not_run: bool = False
    retry_after_ms: float = 0.0


class EmulatedCall:
    """A request at its first daemon, and its attempts at targets."""

    def __init__(
        self,
        fleet: Fleet,
        daemon: EmulatedDaemon,
        route: RouteModel,
        deadline_ms: float,
        wanted_ms: float,
        done: Callable[[Outcome], None],
    ) -> None:
        self._fleet = fleet
        self._daemon = daemon
        self._route = route
        self._deadline_ms = deadline_ms
        self._wanted_ms = wanted_ms
        self._done = done
        self._excluded: frozenset[tuple[str, str]] = frozenset()
        self._refused: Failure | None = None
        self._n_attempts = 0
        self._run = RunStatus.NO
        self._chosen: Endpoint | None = None
        self._chosen_ms = 0.0

    def begin(self) -> None:
        """Send the call to its first target."""
        self._daemon.budget_of(self._route.service).add_call(10)
        self._attempt()

    def _attempt(self) -> None:
        fleet, route, now_ms = self._fleet, self._route, self._fleet.clock.now_ms
        chosen = self._daemon.chooser.choose(
            fleet.endpoints(route.service),
            self._daemon.load_of,
            now_ms,
            self._excluded,
            is_urgent=route.priority == "urgent",
            route=route.name,
            objective_ms=route.objective_ms,
            is_free_slot_required=self._refused is not None,
        )
        if chosen is None:
            self._give_up(self._refused or Failure(ErrorKind.NO_TARGET))
            return
        self._n_attempts += 1
        self._chosen, self._chosen_ms = chosen, now_ms
        fleet.tally.n_calls += 1
        is_far = chosen.availability_zone != self._daemon.zone
        fleet.tally.n_calls_between_zones += is_far
        target = fleet.targets[chosen.vm]
        fleet.clock.after(self._hop_ms(chosen), lambda: self._arrive(target))

    def _hop_ms(self, chosen: Endpoint) -> float:
        if chosen.vm == self._daemon.vm:
            return SAME_VM_MS
        if chosen.availability_zone == self._daemon.zone:
            return SAME_ZONE_MS
        return self._fleet.experiment.zone_ms

    def _arrive(self, target: EmulatedTarget) -> None:
        def admitted(refused: Refused | None) -> None:
            if refused is None:
                self._run_at(target)
                return
            retry_after_ms = refused.retry_after_ms
            failure = Failure(ErrorKind.OVERLOADED, "", retry_after_ms, RunStatus.NO)
            self._answer_after_hop(failure)

        target.enter(self._route, self._deadline_ms, self._wanted_ms, admitted)

    def _run_at(self, target: EmulatedTarget) -> None:
        fleet, route = self._fleet, self._route
        started_ms = fleet.clock.now_ms
        if target.factor("away"):
            target.leave(route, None)
            self._answer_after_hop(Failure(ErrorKind.TARGET_UNREACHABLE))
            return
        if fleet.rng.random() < target.factor("shed"):
            target.leave(route, 1.0)
            self._answer_after_hop(Failure(ErrorKind.TARGET_REFUSED, run=RunStatus.NO))
            return

        def end(is_good: bool) -> None:
            target.leave(route, fleet.clock.now_ms - started_ms)
            fleet.tally.n_runs_failed += not is_good
            self._answer_after_hop(None if is_good else Failure(ErrorKind.INTERNAL))

        def work() -> None:
            left_ms = self._deadline_ms - fleet.clock.now_ms
            work_ms = target.work_ms(route)
            is_in_time = work_ms <= left_ms
            fleet.clock.after(min(work_ms, max(0.0, left_ms)), lambda: end(is_in_time))

        self._call_others(target, list(self._iter_inner()), work, lambda: end(False))

    def _iter_inner(self) -> list[RouteModel]:
        fleet = self._fleet
        return [
            fleet.routes[inner.route]
            for inner in self._route.inner
            if fleet.rng.random() < inner.share
            for _ in range(inner.n_times)
        ]

    def _call_others(
        self,
        target: EmulatedTarget,
        left: list[RouteModel],
        work: Callable[[], None],
        fail: Callable[[], None],
    ) -> None:
        """Make the calls of a run one after the other, then its own work."""
        if not left:
            work()
            return

        def done(outcome: Outcome) -> None:
            if outcome.is_good:
                self._call_others(target, left[1:], work, fail)
            else:
                fail()

        daemon = self._fleet.daemons[target.vm]
        now_ms = self._fleet.clock.now_ms
        self._fleet.call(daemon, left[0], self._deadline_ms, now_ms, done)

    def _answer_after_hop(self, failure: Failure | None) -> None:
        vm = self._chosen.vm
        load = self._fleet.targets[vm].load

        def arrive() -> None:
            self._daemon.loads[vm] = load
            self._take(failure)

        self._fleet.clock.after(self._hop_ms(self._chosen), arrive)

    def _take(self, failure: Failure | None) -> None:
        service = self._route.service
        latency_ms = self._fleet.clock.now_ms - self._chosen_ms
        if failure is None:
            self._daemon.acceptance.record(service, True)
            self._end(EndKind.GOOD, latency_ms)
            self._done(Outcome(is_good=True))
            return
        if failure.kind is ErrorKind.INTERNAL:
            # The target's own failure, passed on as it is where it may not run twice.
            self._end(EndKind.ERROR, latency_ms)
            self._done(Outcome(is_good=False))
            return
        avoided_ms = failure.retry_after_ms
        if failure.kind is ErrorKind.OVERLOADED:
            avoided_ms = FULL_AVOIDED_MS
        kind = EndKind.REFUSED if failure.kind in _REFUSALS else EndKind.ERROR
        self._end(kind, latency_ms, int(avoided_ms))
        if failure.kind is ErrorKind.TARGET_REFUSED:
            acceptance = self._daemon.acceptance
            acceptance.record(service, False)
            failure = replace(
                failure, retry_after_ms=acceptance.retry_after_ms(service)
            )
        self._retry(failure)

    def _end(self, kind: EndKind, latency_ms: float, avoided_ms: int = 0) -> None:
        self._daemon.chooser.end(
            self._chosen,
            self._fleet.endpoints(self._route.service),
            CallEnd(kind, self._chosen_ms, latency_ms, avoided_ms, self._route.name),
            self._fleet.clock.now_ms,
        )

    def _retry(self, failure: Failure) -> None:
        fleet, route = self._fleet, self._route
        attempt = Attempt(
            failure,
            route.priority,
            self._n_attempts,
            route.is_idempotent,
            True,
            self._deadline_ms - fleet.clock.now_ms,
            self._run,
            route.n_attempts,
            failure.kind is ErrorKind.TARGET_REFUSED,
        )
        self._run = attempt.run_status
        excluded = self._excluded | {self._chosen.key}
        if len(excluded) == len(fleet.endpoints(route.service)):
            self._give_up(failure)
            return
        budget = self._daemon.budget_of(route.service)
        decision = decide_retry(attempt, budget, fleet.rng)
        if isinstance(decision, GiveUp):
            self._give_up(failure)
            return
        is_full = failure.kind is ErrorKind.OVERLOADED
        self._refused = failure if is_full else None
        self._excluded = excluded
        fleet.tally.n_retries += 1
        fleet.clock.after(decision.delay_ms, self._attempt)

    def _give_up(self, failure: Failure) -> None:
        retry_after_ms = failure.retry_after_ms or RETRY_AFTER_DEFAULT_MS
        is_not_run = self._run is RunStatus.NO
        self._done(Outcome(False, is_not_run, retry_after_ms if is_not_run else 0.0))


__all__ = ["EmulatedCall", "Outcome"]
