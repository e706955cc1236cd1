"""All targets, daemons and clients of one run."""

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

LOAD_REPORT_INTERVAL_MS = 250.0
RETRY_WINDOW_MS = 10_000
# Maximum share of its remaining time that a client waits because of a retry-after time.
RETRY_AFTER_MAX_SHARE = 1 / 3
# Mean delay before a client retries after a failure that states no retry-after time.
CLIENT_BACKOFF_MEAN_MS = 100.0


class EmulatedDaemon:
    """State that one daemon uses to choose a target for a call."""

    def __init__(self, fleet: Fleet, vm: str, zone: str, own_zone: str) -> None:
        self.vm = vm
        self.zone = zone
        self.chooser = TargetChooser(own_zone, fleet.rng)
        self.acceptance = AcceptanceRates()
        self.loads: dict[str, Load] = {}
        self._fleet = fleet
        self._budgets: dict[str, FleetRetryBudget] = {}

    def load_of(self, endpoint: Endpoint) -> Load | None:
        """Return the load of a target.

        The load of the target on the daemon's own VM is current. The load of any other
        target is from its last answer or last heartbeat, whichever came later.
        """
        if endpoint.vm == self.vm:
            return self._fleet.targets[endpoint.vm].load
        return self.loads.get(endpoint.vm)

    def budget_of(self, service: str) -> FleetRetryBudget:
        """Return this daemon's share of a service's retry budget."""
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
    """Runs an experiment once with one seed.

    Each target has a daemon on its VM, and the targets of a service are assigned
    to the zones in turn. Clients choose a daemon at random for each request.
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
        """Run the load until the last answer and return the results."""
        end_ms = self.experiment.length_s * 1000
        for route in self.experiment.routes:
            self._schedule_next_request(route, 0.0, end_ms)
        for at_ms in range(0, int(end_ms) + 5_000, int(LOAD_REPORT_INTERVAL_MS)):
            self.clock.call_at(at_ms, self._report_loads)
        self.clock.run()
        return self.tally

    def _add_service(self, service: ServiceModel, are_zones_known: bool) -> None:
        """Add the targets of a service, each with the daemon on its VM."""
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

    def _schedule_next_request(
        self, route: RouteModel, from_ms: float, end_ms: float
    ) -> None:
        rate_per_ms = route.per_s * self.experiment.load / 1000
        if rate_per_ms <= 0.0:
            return
        at_ms = from_ms + self.rng.expovariate(rate_per_ms)
        if at_ms < end_ms:
            self.clock.call_at(
                at_ms, lambda: self._send_first_attempt(route, at_ms, end_ms)
            )

    def _send_first_attempt(
        self, route: RouteModel, at_ms: float, end_ms: float
    ) -> None:
        self._schedule_next_request(route, at_ms, end_ms)
        self.tally.routes[route.name].record_request(at_ms)
        self._send(route, at_ms, route.n_retries)

    def _send(
        self, route: RouteModel, first_sent_ms: float, n_retries_left: int
    ) -> None:
        daemon = self.rng.choice(list(self.daemons.values()))
        on_done = partial(
            self._handle_client_answer, route, first_sent_ms, n_retries_left
        )
        client_deadline_ms = first_sent_ms + route.patience_ms
        self.call(daemon, route, client_deadline_ms, first_sent_ms, on_done)

    def call(
        self,
        daemon: EmulatedDaemon,
        route: RouteModel,
        client_deadline_ms: float,
        first_sent_ms: float,
        on_done: Callable[[Outcome], None],
    ) -> None:
        """Send a request to a daemon.

        The latency objective of a retry is measured from `first_sent_ms` too, the time
        when the client first sent the request.
        """
        now_ms = self.clock.now_ms
        deadline_ms = min(client_deadline_ms, now_ms + route.timeout_ms)
        wanted_ms = max(now_ms, first_sent_ms + route.objective_ms)
        EmulatedCall(self, daemon, route, deadline_ms, wanted_ms, on_done).start()

    def _handle_client_answer(
        self,
        route: RouteModel,
        first_sent_ms: float,
        n_retries_left: int,
        outcome: Outcome,
    ) -> None:
        tally = self.tally.routes[route.name]
        now_ms = self.clock.now_ms
        if outcome.is_good:
            tally.record_answer(first_sent_ms, now_ms, route.objective_ms)
            return
        may_retry = outcome.is_not_run or route.is_idempotent
        remaining_ms = first_sent_ms + route.patience_ms - now_ms
        if may_retry and n_retries_left and remaining_ms > 0.0:
            delay_ms = self.rng.expovariate(1 / CLIENT_BACKOFF_MEAN_MS)
            if outcome.retry_after_ms:
                delay_ms = min(
                    outcome.retry_after_ms, remaining_ms * RETRY_AFTER_MAX_SHARE
                )
            retry = partial(self._send, route, first_sent_ms, n_retries_left - 1)
            self.clock.call_later(delay_ms, retry)
            return
        tally.n_refused += outcome.is_not_run
        tally.n_failed += not outcome.is_not_run

    def _report_loads(self) -> None:
        loads = {vm: target.load for vm, target in self.targets.items()}
        for daemon in self.daemons.values():
            daemon.loads = dict(loads)


__all__ = ["EmulatedDaemon", "Fleet"]
