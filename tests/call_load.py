"""A tiny discrete-event loop that puts a generated load on call decisions."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from pepperstair_core.calls import (
    Admission,
    Admitted,
    Attempt,
    CallEnd,
    EndKind,
    GiveUp,
    Load,
    TargetChooser,
    TokenRetryBudget,
    WaitingCall,
    decide_retry,
)
from pepperstair_core.errors import ErrorKind, Failure, RunStatus
from pepperstair_core.intent import Policy
from pepperstair_core.members import Target, TargetState
from pepperstair_core.routing import Endpoint

REPORT_MS = 1000.0
POLICY = Policy("p", "")


@dataclass(frozen=True)
class Call:
    """One generated call."""

    call_id: int
    at_ms: float
    customer: str
    priority: str
    service_ms: float
    timeout_ms: float
    is_idempotent: bool = True


@dataclass(frozen=True)
class Decisions:
    """What is compared: the chosen decisions, or naive ones in their place."""

    chooser: Any = TargetChooser
    admission: Any = Admission
    retry: Any = decide_retry


@dataclass
class Report:
    """What became of the calls of one run."""

    n_good: Counter = field(default_factory=Counter)
    wait_ms: Counter = field(default_factory=Counter)
    n_answers: Counter = field(default_factory=Counter)
    n_runs: Counter = field(default_factory=Counter)
    told_not_run: set = field(default_factory=set)
    n_retries: int = 0
    latencies_ms: dict = field(default_factory=dict)


def endpoint(index: int, zone: str = "z", n_slots: int = 12, state="serving"):
    """Return the endpoint of one target."""
    target = Target(f"t{index}", "127.0.0.1:1", (), n_slots, 99, TargetState(state))
    return Endpoint(f"vm{index}", zone, "127.0.0.1:2", target, POLICY)


def poisson_calls(
    rng: Random, n_per_s: float, until_ms: float, make: Callable[[int, float], Call]
) -> list[Call]:
    """Return calls that arrive independently of each other."""
    calls, at_ms = [], 0.0
    while (at_ms := at_ms + rng.expovariate(n_per_s / 1000)) < until_ms:
        calls.append(make(len(calls), at_ms))
    return calls


def merge_calls(*streams: list[Call]) -> list[Call]:
    """Return several streams of calls as one, numbered anew."""
    ordered = sorted(itertools.chain(*streams), key=lambda call: call.at_ms)
    return [replace(call, call_id=index) for index, call in enumerate(ordered)]


@dataclass(frozen=True)
class Faults:
    """What goes wrong: slowness by target, and errors by target and time."""

    slowness: Callable[[int], float] = lambda index: 1.0
    error: Callable[[int, float], ErrorKind | None] = lambda index, now_ms: None


class Simulation:
    """One daemon that sends calls to targets, with everything in virtual time."""

    def __init__(self, decisions: Decisions, n_targets: int, faults: Faults, seed=0):
        self.rng = Random(seed)
        self.retry = decisions.retry
        self.faults = faults
        self.endpoints = [endpoint(index) for index in range(n_targets)]
        self.index_of = {item.key: i for i, item in enumerate(self.endpoints)}
        self.chooser = decisions.chooser("z", self.rng)
        self.admissions = [decisions.admission(12) for _ in self.endpoints]
        self.loads = [Load(0, 0)] * n_targets
        self.budget = TokenRetryBudget()
        self.report = Report()
        self.now_ms = 0.0
        self._events, self._order = [], itertools.count()
        self._tickets, self._ticket_ids = {}, itertools.count()

    def run(self, calls: Iterable[Call]) -> Report:
        """Run every call to its answer."""
        for call in calls:
            self._at(call.at_ms, lambda call=call: self._begin(call))
        last_ms = max(event[0] for event in self._events)
        for index in range(int(last_ms / REPORT_MS) + 1):
            self._at(index * REPORT_MS, self._publish_loads)
        while self._events:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()
        return self.report

    def _at(self, at_ms, act):
        heapq.heappush(self._events, (at_ms, next(self._order), act))

    def _publish_loads(self):
        self.loads = [Load(a.n_in_flight, a.n_queued) for a in self.admissions]

    def _begin(self, call):
        self.budget.add_call(10)
        self._attempt(call, 1, frozenset(), RunStatus.NO)

    def _attempt(self, call, n_attempts, excluded, run):
        load_of = lambda item: self.loads[self.index_of[item.key]]
        chosen = self.chooser.choose(
            self.endpoints,
            load_of,
            self.now_ms,
            excluded,
            is_urgent=call.priority == "urgent",
        )
        if chosen is None:
            self._answer(call, run, is_good=False)
            return
        index = self.index_of[chosen.key]
        ticket = next(self._ticket_ids)
        self._tickets[ticket] = (call, n_attempts, excluded, run, self.now_ms, index)
        deadline_ms = call.at_ms + call.timeout_ms
        waiting = WaitingCall(
            ticket, call.customer, call.priority, self.now_ms, deadline_ms, 256
        )
        if self.faults.error(index, self.now_ms) is ErrorKind.TARGET_UNREACHABLE:
            failure = Failure(ErrorKind.TARGET_UNREACHABLE)
            self._fail(ticket, failure, EndKind.ERROR)
            return
        admission = self.admissions[index]
        self._apply(admission, admission.arrive(waiting, self.now_ms))

    def _apply(self, admission, verdicts):
        for verdict in verdicts:
            if isinstance(verdict, Admitted):
                self._start(admission, verdict.ticket)
            else:
                failure = Failure(ErrorKind.OVERLOADED, "", verdict.retry_after_ms)
                self._fail(verdict.ticket, failure, EndKind.REFUSED)
        expiry_ms = getattr(admission, "next_expiry_ms", None)
        if expiry_ms is not None:
            at_ms = max(self.now_ms, expiry_ms)
            self._at(at_ms, lambda: self._expire(admission))

    def _expire(self, admission):
        if verdicts := admission.expire(self.now_ms):
            self._apply(admission, verdicts)

    def _start(self, admission, ticket):
        call, *_, index = self._tickets[ticket]
        self.report.n_runs[call.call_id] += 1
        self.report.wait_ms[call.priority] += self.now_ms - call.at_ms
        service_ms = call.service_ms * self.faults.slowness(index)

        def end():
            verdicts = admission.finish(
                call.customer, call.priority, service_ms, self.now_ms
            )
            if self.faults.error(index, self.now_ms) is ErrorKind.TARGET_FAILED:
                self._fail(ticket, Failure(ErrorKind.TARGET_FAILED), EndKind.ERROR)
            else:
                self._end(ticket, EndKind.GOOD, service_ms)
                is_good = self.now_ms <= call.at_ms + call.timeout_ms
                self._answer(call, RunStatus.YES, is_good)
            self._apply(admission, verdicts)

        self._at(self.now_ms + service_ms, end)

    def _end(self, ticket, kind, service_ms=0.0, retry_after_ms=0):
        call, n_attempts, excluded, run, start_ms, index = self._tickets.pop(ticket)
        chosen = self.endpoints[index]
        end = CallEnd(kind, start_ms, service_ms, retry_after_ms)
        self.chooser.end(chosen, self.endpoints, end, self.now_ms)
        return call, n_attempts, excluded | {chosen.key}, run

    def _fail(self, ticket, failure, kind):
        call, n_attempts, excluded, run = self._end(
            ticket, kind, failure.retry_after_ms
        )
        left_ms = call.at_ms + call.timeout_ms - self.now_ms
        is_safe = call.is_idempotent
        attempt = Attempt(
            failure, call.priority, n_attempts, is_safe, True, left_ms, run
        )
        decision = self.retry(attempt, self.budget, self.rng)
        if isinstance(decision, GiveUp):
            self._answer(call, attempt.run_status, is_good=False)
            return
        self.report.n_retries += 1
        act = lambda: self._attempt(call, n_attempts + 1, excluded, attempt.run_status)
        self._at(self.now_ms + decision.delay_ms, act)

    def _answer(self, call, run, is_good):
        self.report.n_answers[call.call_id] += 1
        if run is RunStatus.NO:
            self.report.told_not_run.add(call.call_id)
        if is_good:
            self.report.n_good[call.priority] += 1
            latency_ms = self.now_ms - call.at_ms
            self.report.latencies_ms.setdefault(call.customer, []).append(latency_ms)
