"""One emulated call, with its attempts decided by the product's own code."""

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

# Retry-after time that a client is given if the refusal states none.
RETRY_AFTER_DEFAULT_MS = 1_000
SAME_VM_LATENCY_MS = 0.1
SAME_ZONE_LATENCY_MS = 0.2
_REFUSAL_KINDS = (ErrorKind.OVERLOADED, ErrorKind.TARGET_REFUSED, ErrorKind.NO_TARGET)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a call as its sender sees it.

    `is_not_run` is True only if the call is known not to have run at any target.
    """

    is_good: bool
    is_not_run: bool = False
    retry_after_ms: float = 0.0


class EmulatedCall:
    """A request at the daemon that received it, with its attempts at targets."""

    def __init__(
        self,
        fleet: Fleet,
        daemon: EmulatedDaemon,
        route: RouteModel,
        deadline_ms: float,
        wanted_ms: float,
        on_done: Callable[[Outcome], None],
    ) -> None:
        self._fleet = fleet
        self._daemon = daemon
        self._route = route
        self._deadline_ms = deadline_ms
        self._wanted_ms = wanted_ms
        self._on_done = on_done
        self._excluded: frozenset[tuple[str, str]] = frozenset()
        self._overload_failure: Failure | None = None
        self._n_attempts = 0
        self._run_status = RunStatus.NO
        self._chosen: Endpoint | None = None
        self._chosen_ms = 0.0

    def start(self) -> None:
        """Make the first attempt."""
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
            is_free_slot_required=self._overload_failure is not None,
        )
        if chosen is None:
            self._give_up(self._overload_failure or Failure(ErrorKind.NO_TARGET))
            return
        self._n_attempts += 1
        self._chosen, self._chosen_ms = chosen, now_ms
        fleet.tally.n_calls += 1
        is_cross_zone = chosen.availability_zone != self._daemon.zone
        fleet.tally.n_cross_zone_calls += is_cross_zone
        target = fleet.targets[chosen.vm]
        fleet.clock.call_later(self._hop_ms(chosen), lambda: self._arrive(target))

    def _hop_ms(self, chosen: Endpoint) -> float:
        if chosen.vm == self._daemon.vm:
            return SAME_VM_LATENCY_MS
        if chosen.availability_zone == self._daemon.zone:
            return SAME_ZONE_LATENCY_MS
        return self._fleet.experiment.zone_ms

    def _arrive(self, target: EmulatedTarget) -> None:
        route = self._route.name
        if not target.run_limits.admits(route, self._fleet.clock.now_ms):
            retry_after_ms = target.run_limits.retry_after_ms(route)
            failure = Failure(ErrorKind.OVERLOADED, "", retry_after_ms, RunStatus.NO)
            self._answer_after_hop(failure)
            return

        def on_verdict(refused: Refused | None) -> None:
            if refused is None:
                self._run_on(target)
                return
            retry_after_ms = refused.retry_after_ms
            failure = Failure(ErrorKind.OVERLOADED, "", retry_after_ms, RunStatus.NO)
            self._answer_after_hop(failure)

        target.request_slot(self._route, self._deadline_ms, self._wanted_ms, on_verdict)

    def _run_on(self, target: EmulatedTarget) -> None:
        fleet, route = self._fleet, self._route
        started_ms = fleet.clock.now_ms
        if target.factor("away"):
            target.release_slot(route, None)
            self._answer_after_hop(Failure(ErrorKind.TARGET_UNREACHABLE))
            return
        if fleet.rng.random() < target.factor("shed"):
            target.release_slot(route, 1.0)
            self._answer_after_hop(Failure(ErrorKind.TARGET_REFUSED, run=RunStatus.NO))
            return

        def end(is_good: bool) -> None:
            target.release_slot(route, fleet.clock.now_ms - started_ms)
            fleet.tally.n_runs_failed += not is_good
            now_ms = fleet.clock.now_ms
            target.run_limits.record_run(route.name, started_ms, not is_good, now_ms)
            self._answer_after_hop(None if is_good else Failure(ErrorKind.INTERNAL))

        def do_work() -> None:
            remaining_ms = self._deadline_ms - fleet.clock.now_ms
            work_ms = target.work_ms(route)
            is_in_time = work_ms <= remaining_ms
            fleet.clock.call_later(
                min(work_ms, max(0.0, remaining_ms)), lambda: end(is_in_time)
            )

        self._make_inner_calls(
            target, list(self._draw_inner_routes()), do_work, lambda: end(False)
        )

    def _draw_inner_routes(self) -> list[RouteModel]:
        fleet = self._fleet
        return [
            fleet.routes[inner.route]
            for inner in self._route.inner
            if fleet.rng.random() < inner.share
            for _ in range(inner.n_times)
        ]

    def _make_inner_calls(
        self,
        target: EmulatedTarget,
        remaining: list[RouteModel],
        do_work: Callable[[], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Make the calls of a run one after the other, then run `do_work`.

        The first failed call ends the run with `on_failure`.
        """
        if not remaining:
            do_work()
            return

        def on_done(outcome: Outcome) -> None:
            if outcome.is_good:
                self._make_inner_calls(target, remaining[1:], do_work, on_failure)
            else:
                if outcome.is_not_run and self._fleet.experiment.has_accounts:
                    target.run_limits.record_refused_call(self._fleet.clock.now_ms)
                on_failure()

        daemon = self._fleet.daemons[target.vm]
        now_ms = self._fleet.clock.now_ms
        self._fleet.call(daemon, remaining[0], self._deadline_ms, now_ms, on_done)

    def _answer_after_hop(self, failure: Failure | None) -> None:
        vm = self._chosen.vm
        load = self._fleet.targets[vm].load

        def arrive() -> None:
            self._daemon.loads[vm] = load
            self._handle_answer(failure)

        self._fleet.clock.call_later(self._hop_ms(self._chosen), arrive)

    def _handle_answer(self, failure: Failure | None) -> None:
        service = self._route.service
        latency_ms = self._fleet.clock.now_ms - self._chosen_ms
        if failure is None:
            self._daemon.acceptance.record(service, True)
            self._end(EndKind.GOOD, latency_ms)
            self._on_done(Outcome(is_good=True))
            return
        if failure.kind is ErrorKind.INTERNAL:
            # The target failed while running the call: the failure is returned without
            # another attempt, as the product does for a request that may not run twice.
            self._end(EndKind.ERROR, latency_ms)
            self._on_done(Outcome(is_good=False))
            return
        avoided_ms = failure.retry_after_ms
        if failure.kind is ErrorKind.OVERLOADED:
            avoided_ms = FULL_AVOIDED_MS
        kind = EndKind.REFUSED if failure.kind in _REFUSAL_KINDS else EndKind.ERROR
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
            self._run_status,
            route.n_attempts,
            failure.kind is ErrorKind.TARGET_REFUSED,
        )
        self._run_status = attempt.run_status
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
        self._overload_failure = failure if is_full else None
        self._excluded = excluded
        fleet.tally.n_retries += 1
        fleet.clock.call_later(decision.delay_ms, self._attempt)

    def _give_up(self, failure: Failure) -> None:
        retry_after_ms = failure.retry_after_ms or RETRY_AFTER_DEFAULT_MS
        is_not_run = self._run_status is RunStatus.NO
        self._on_done(Outcome(False, is_not_run, retry_after_ms if is_not_run else 0.0))


__all__ = ["EmulatedCall", "Outcome"]
