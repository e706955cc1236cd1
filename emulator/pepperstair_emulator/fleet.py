"""All targets, the daemons beside them and the clients of one run."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from pepperstair_core.calls import (
    AcceptanceRates,
    BudgetTerms,
    FleetRetryBudget,
    Load,
    TargetChooser,
)
from pepperstair_core.routing import Endpoint

from .attempts import EmulatedCall, Outcome
from .clock import VirtualClock
from .experiment import Experiment, RouteModel, ServiceModel
from .tally import Tally
from .targets import EmulatedTarget

REPORT_MS = 250.0
RETRY_WINDOW_MS = 10_000
# A client honours a time to come back up to this share of what it has left.
PATIENT_SHARE = 1 / 3
# How long clients wait after a failure that names no time, on average.
CLIENT_BACKOFF_MS = 100.0


class EmulatedDaemon:
    """What one daemon knows when it chooses a target for a call."""

    def __init__(self, fleet: Fleet, vm: str, zone: str, own_zone: str) -> None:
        self.vm = vm
        self.zone = zone
        self.chooser = TargetChooser(own_zone, fleet.rng)
        self.acceptance = AcceptanceRates()
        self.loads: dict[str, Load] = {}
        self._fleet = fleet
        self._budgets: dict[str, FleetRetryBudget] = {}

    def load_of(self, endpoint: Endpoint) -> Load | None:
        """Return the load of a target: exact beside it, else as last told.

        That was by an answer from there, or by the heartbeat since.
        """
        if endpoint.vm == self.vm:
            return self._fleet.targets[endpoint.vm].load
        return self.loads.get(endpoint.vm)

    def budget_of(self, service: str) -> FleetRetryBudget:
        """Return this daemon's part of a service's retry budget."""
        if service not in self._budgets:
            fleet = self._fleet
            experiment = fleet.experiment
            terms = BudgetTerms(
                experiment.retry_ratio, experiment.n_retries_min, RETRY_WINDOW_MS
            )
            self._budgets[service] = FleetRetryBudget(
                lambda: terms, lambda: fleet.clock.now_ms, lambda: len(fleet.daemons)
            )
        return self._budgets[service]


class Fleet:
    """Plays an experiment once.

    One daemon stands beside each target; a service's targets are in the zones in
    turn. Clients send to all daemons alike.
    """

    def __init__(
        self, experiment: Experiment, seed: int, are_zones_known: bool = True
    ) -> None:
        self.experiment = experiment
        self.clock = VirtualClock()
        self.rng = Random(seed)
        self.tally = Tally()
        self.routes = {route.name: route for route in experiment.routes}
        self.targets: dict[str, EmulatedTarget] = {}
        self.daemons: dict[str, EmulatedDaemon] = {}
        self._endpoints: dict[str, tuple[Endpoint, ...]] = {}
        for service in experiment.services:
            self._add_service(service, are_zones_known)

    def endpoints(self, service: str) -> tuple[Endpoint, ...]:
        """Return the targets of a service."""
        return self._endpoints[service]

    def run(self) -> Tally:
        """Play the load to its last answer."""
        end_ms = self.experiment.length_s * 1000
        for route in self.experiment.routes:
            self._schedule_client(route, 0.0, end_ms)
        for at_ms in range(0, int(end_ms) + 5_000, int(REPORT_MS)):
            self.clock.at(at_ms, self._report)
        self.clock.run()
        return self.tally

    def _add_service(self, service: ServiceModel, are_zones_known: bool) -> None:
        """Add the targets of a service, each with the daemon beside it."""
        experiment = self.experiment
        faults = tuple(
            fault for fault in experiment.faults if fault.service == service.name
        )
        endpoints = []
        for index in range(len(service.speeds)):
            zone = f"zone-{index % experiment.n_zones}"
            target = EmulatedTarget(service, index, zone, faults, self.clock, self.rng)
            own_zone = zone if are_zones_known else "none"
            self.targets[target.vm] = target
            self.daemons[target.vm] = EmulatedDaemon(self, target.vm, zone, own_zone)
            endpoints.append(target.endpoint)
        self._endpoints[service.name] = tuple(endpoints)

    def _schedule_client(
        self, route: RouteModel, from_ms: float, end_ms: float
    ) -> None:
        n_per_ms = route.per_s * self.experiment.load / 1000
        if n_per_ms <= 0.0:
            return
        at_ms = from_ms + self.rng.expovariate(n_per_ms)
        if at_ms < end_ms:
            self.clock.at(at_ms, lambda: self._send_first(route, at_ms, end_ms))

    def _send_first(self, route: RouteModel, at_ms: float, end_ms: float) -> None:
        self._schedule_client(route, at_ms, end_ms)
        self.tally.routes[route.name].n_asked += 1
        self._send(route, at_ms, route.n_retries)

    def _send(self, route: RouteModel, first_ms: float, n_left: int) -> None:
        daemon = self.rng.choice(list(self.daemons.values()))
        done = partial(self._take_client_answer, route, first_ms, n_left)
        given_up_ms = first_ms + route.patience_ms
        self.call(daemon, route, given_up_ms, first_ms, done)

    def call(
        self,
        daemon: EmulatedDaemon,
        route: RouteModel,
        given_up_ms: float,
        first_ms: float,
        done: Callable[[Outcome], None],
    ) -> None:
        """Send a request to a daemon, which is wanted since `first_ms`."""
        now_ms = self.clock.now_ms
        deadline_ms = min(given_up_ms, now_ms + route.timeout_ms)
        wanted_ms = max(now_ms, first_ms + route.objective_ms)
        EmulatedCall(self, daemon, route, deadline_ms, wanted_ms, done).begin()

    def _take_client_answer(
        self, route: RouteModel, first_ms: float, n_left: int, outcome: Outcome
    ) -> None:
        tally = self.tally.routes[route.name]
        now_ms = self.clock.now_ms
        if outcome.is_good:
            is_in_time = now_ms - first_ms <= route.objective_ms
            tally.n_in_time += is_in_time
            tally.n_late += not is_in_time
            return
        may_return = outcome.is_not_run or route.is_idempotent
        left_ms = first_ms + route.patience_ms - now_ms
        if may_return and n_left and left_ms > 0.0:
            delay_ms = self.rng.expovariate(1 / CLIENT_BACKOFF_MS)
            if outcome.retry_after_ms:
                delay_ms = min(outcome.retry_after_ms, left_ms * PATIENT_SHARE)
            again = partial(self._send, route, first_ms, n_left - 1)
            self.clock.after(delay_ms, again)
            return
        tally.n_refused += outcome.is_not_run
        tally.n_failed += not outcome.is_not_run

    def _report(self) -> None:
        loads = {vm: target.load for vm, target in self.targets.items()}
        for daemon in self.daemons.values():
            daemon.loads = dict(loads)


__all__ = ["EmulatedDaemon", "Fleet"]
