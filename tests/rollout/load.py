"""Loads on rollouts in virtual time: callers, targets and evidence on its way.

One daemon judges what reaches it. The others learn of written phases some time later.
They judge the same evidence themselves, which reaches them at slightly other times, so
they come to a verdict up to `VERDICT_LAG_MS` after the judge.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from random import Random

from msgspec import Struct

from pepperstair_core.rollout import (
    ExposureBudget,
    Phase,
    Portion,
    Rollout,
    RolloutFleet,
    RolloutOrder,
    canary_targets,
    exposure_offset,
    step_targets,
)

from .records import TERMS

BATCH_MS = 250
TICK_MS = 50
# Time until evidence or a phase has reached another daemon.
SPREAD_MS = (50.0, 300.0)
WRITE_MS = 16.0
VERDICT_LAG_MS = 250.0
SERVICE_MS = 25.0
USUAL_BAD = 0.005
# Share of the usual load of an old target from which a target counts as loaded.
LOADED_SHARE = 0.6
LOAD_WINDOW_MS = 500.0

ROUTES = ("read", "write", "list", "status")
ROUTE_WEIGHTS = (0.4, 0.2, 0.2, 0.2)


class Scenario(Struct, frozen=True):
    """A version and what happens to it and around it.

    `bad_rate` and `slowness` are those of the new version: on `bad_route` alone, from
    `bad_from_ms` after its start, and only under load if `is_bad_under_load`. The
    first `n_bad_targets` of the new targets are bad, all of them if it is None; with
    a few alone, the version is good. `outage_ms` is when the share `outage_rate` of
    all requests fails, whatever version they run on.
    """

    name: str
    is_good: bool
    bad_rate: float = 0.0
    slowness: float = 1.0
    bad_from_ms: float = 0.0
    bad_route: str | None = None
    is_bad_under_load: bool = False
    n_bad_targets: int | None = None
    outage_ms: tuple[float, float] = (0.0, 0.0)
    outage_rate: float = 0.0
    burst_ms: tuple[float, float] = (0.0, 0.0)
    cold_ms: float = 0.0
    per_s: float = 100.0
    n_targets: int = 12
    n_callers: int = 64
    duration_ms: int = 12_000


class Result(Struct):
    """How a run ended."""

    phase: Phase = Phase.CANARY
    n_requests: int = 0
    n_exposed: int = 0
    verdict_ms: float | None = None
    completed_ms: float | None = None
    fiftieth_bad_ms: float | None = None
    last_new_ms: float | None = None

    @property
    def is_over_exposed(self) -> bool:
        """Return whether the new version got more than a bad one may get."""
        allowed = TERMS.exposure_share * self.n_requests + TERMS.n_exposed_extra
        return self.n_exposed > allowed


class Target:
    """A target with its own speed, on a VM of its own."""

    def __init__(self, vm: str, is_new: bool, index: int, rng: Random) -> None:
        self.vm = vm
        self.is_new = is_new
        self.index = index
        self.slowness = 1.0 / rng.uniform(0.5, 1.5)
        self._arrivals: deque[float] = deque()

    def is_loaded(self, now_ms: float, usual_per_s: float) -> bool:
        """Count an arrival and return whether the target is loaded."""
        self._arrivals.append(now_ms)
        while self._arrivals[0] < now_ms - LOAD_WINDOW_MS:
            self._arrivals.popleft()
        return len(self._arrivals) >= max(
            2.0, LOADED_SHARE * usual_per_s * LOAD_WINDOW_MS / 1_000
        )


class Run:
    """One order under a load."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        make_test: Callable[[float], object] | None = None,
    ) -> None:
        self.scenario = scenario
        self.rng = Random(f"{scenario.name}/{seed}")
        self.order = RolloutOrder("ledger", "v2", scenario.duration_ms, seed)
        self.result = Result()
        self.old = self._targets("old", is_new=False)
        self.new = self._targets("new", is_new=True)
        self.judge = self._rollout("judge")
        if make_test is not None:
            self.judge._test = make_test(0.0)
        self.daemons = {each.vm: self._rollout(each.vm) for each in self.old + self.new}
        self.fleet = RolloutFleet(
            frozenset(each.vm for each in self.old),
            3 * scenario.n_targets,
            3 * scenario.n_targets,
        )
        by_vm = {each.vm: each for each in self.new}
        keys = [(each.vm, "t") for each in self.new]
        chosen = canary_targets("ledger", keys, scenario.n_targets, 0.1)
        self.canaries = [by_vm[vm] for vm, _ in chosen]
        chosen = step_targets("ledger", keys, scenario.n_targets)
        self.step_targets = [by_vm[vm] for vm, _ in chosen]
        if scenario.n_bad_targets is None:
            self.bad_targets = self.new
        else:
            others = [each for each in self.new if each not in self.canaries]
            self.bad_targets = (self.canaries + others)[: scenario.n_bad_targets]
        self.budgets = [
            ExposureBudget(TERMS, exposure_offset(self.order, f"vm-{i}", 1))
            for i in range(scenario.n_callers)
        ]
        self.lags_ms = [self.rng.uniform(*SPREAD_MS) for _ in self.budgets]
        self.verdict_lags_ms = [
            self.rng.uniform(0, VERDICT_LAG_MS) for _ in self.budgets
        ]
        # What the judge decided, with the time from which others can know it.
        self.decided: list[tuple[float, Portion]] = [(0.0, Portion.CANARY)]
        self.finished: deque[tuple[float, Target, str, bool, float]] = deque()
        self.suspended_from_ms = math.inf
        self.in_flight_evidence: list[tuple[float, object]] = []
        self.n_bad_of_new = 0

    def _targets(self, name: str, is_new: bool) -> list[Target]:
        return [
            Target(f"{name}-{i}", is_new, i, self.rng)
            for i in range(self.scenario.n_targets)
        ]

    def _rollout(self, vm: str) -> Rollout:
        return Rollout(self.order, 0, 0.0, TERMS, vm, 1)

    def run(self) -> Result:
        """Run the order to its deadline and return how it ended."""
        arrivals = self._arrivals()
        next_ms = next(arrivals)
        for tick_ms in range(0, self.scenario.duration_ms + 1_000, TICK_MS):
            while next_ms < tick_ms:
                self._request(next_ms)
                next_ms = next(arrivals)
            self._deliver(float(tick_ms))
            self._decide(float(tick_ms))
        self.result.phase = self.judge.phase
        return self.result

    def _arrivals(self):
        """Yield the times of requests, a Poisson process with a burst."""
        now_ms = 0.0
        while True:
            begin_ms, end_ms = self.scenario.burst_ms
            factor = 3.0 if begin_ms <= now_ms < end_ms else 1.0
            now_ms += self.rng.expovariate(factor * self.scenario.per_s / 1_000)
            yield now_ms

    def _request(self, now_ms: float) -> None:
        caller = self.rng.randrange(len(self.budgets))
        target = self._choose(caller, now_ms)
        is_before_deadline = now_ms < self.scenario.duration_ms
        self.result.n_requests += is_before_deadline
        if target.is_new:
            self.result.n_exposed += is_before_deadline
            self.result.last_new_ms = now_ms
        route = self.rng.choices(ROUTES, ROUTE_WEIGHTS)[0]
        is_bad, service_ms = self._outcome(target, route, now_ms)
        is_cold = target.is_new and now_ms < self.scenario.cold_ms
        if target.is_new and is_bad:
            self.n_bad_of_new += 1
            if self.n_bad_of_new == 50:
                self.result.fiftieth_bad_ms = now_ms
        self.daemons[target.vm].record(
            route, target.is_new, is_bad, service_ms, is_cold
        )

    def _choose(self, caller: int, now_ms: float) -> Target:
        """Return the target that a caller chooses by what it knows."""
        budget = self.budgets[caller]
        budget.count()
        if now_ms - self.verdict_lags_ms[caller] >= self.suspended_from_ms:
            return self.rng.choice(self.old)
        portion = self._known_portion(now_ms - self.lags_ms[caller])
        if portion is Portion.ALL:
            return self.rng.choice(self.new)
        if budget.take(self.scenario.n_callers, portion):
            is_canary = portion is Portion.CANARY
            return self.rng.choice(self.canaries if is_canary else self.step_targets)
        return self.rng.choice(self.old)

    def _known_portion(self, heard_ms: float) -> Portion:
        """Return the last decision of the judge that a caller knows."""
        return next(
            (
                portion
                for from_ms, portion in reversed(self.decided)
                if from_ms <= heard_ms
            ),
            Portion.CANARY,
        )

    def _outcome(self, target: Target, route: str, now_ms: float) -> tuple[bool, float]:
        scenario = self.scenario
        bad_rate, slowness = USUAL_BAD, target.slowness
        usual_per_s = scenario.per_s / scenario.n_targets
        is_loaded = target.is_loaded(now_ms, usual_per_s)
        if target in self.bad_targets and (
            now_ms >= scenario.bad_from_ms
            and scenario.bad_route in (None, route)
            and (is_loaded or not scenario.is_bad_under_load)
        ):
            bad_rate = max(bad_rate, scenario.bad_rate)
            slowness *= scenario.slowness
        begin_ms, end_ms = scenario.outage_ms
        if begin_ms <= now_ms < end_ms:
            bad_rate = 1.0 - (1.0 - bad_rate) * (1.0 - scenario.outage_rate)
        if target.is_new and now_ms < scenario.cold_ms:
            slowness *= 5.0
        begin_ms, end_ms = scenario.burst_ms
        if begin_ms <= now_ms < end_ms:
            slowness *= 2.0
        service_ms = SERVICE_MS * slowness * self.rng.lognormvariate(0.0, 0.5)
        return self.rng.random() < bad_rate, service_ms

    def _deliver(self, now_ms: float) -> None:
        """Send batches of evidence and merge those that have arrived."""
        if now_ms % BATCH_MS == 0:
            for daemon in self.daemons.values():
                evidence = daemon.own_evidence()
                if evidence is not None:
                    arrival_ms = now_ms + self.rng.uniform(*SPREAD_MS)
                    self.in_flight_evidence.append((arrival_ms, evidence))
        waiting = []
        for arrival_ms, evidence in self.in_flight_evidence:
            if arrival_ms <= now_ms:
                self.judge.merge(evidence)
            else:
                waiting.append((arrival_ms, evidence))
        self.in_flight_evidence = waiting

    def _decide(self, now_ms: float) -> None:
        proposal = self.judge.proposal(now_ms, self.fleet)
        if proposal is not None:
            if proposal is Phase.ROLLED_BACK:
                self.result.verdict_ms = self.suspended_from_ms = now_ms
            self.judge.merge_phase(proposal)
            if proposal is Phase.COMPLETED:
                self.result.completed_ms = now_ms
        is_written = proposal is not None
        portion = self.judge.portion
        if portion is not Portion.NONE and portion is not self.decided[-1][1]:
            from_ms = now_ms + (WRITE_MS if is_written else 0.0)
            self.decided.append((from_ms, portion))
        if portion is Portion.ALL:
            for target in self.old:
                self.daemons[target.vm].set_old_running(0)


__all__ = ["Result", "Run", "Scenario"]
