"""A fleet in virtual time whose daemons leave out targets and take them back.

The registries, runners, announcements, exclusions, endpoint tables and the membership
are the product's own; heartbeats, calls and frames are delayed or lost at random.
Run by hand for more seeds: `python -m tests.exclusion_fleet 200`.
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from collections.abc import Callable
from typing import Final

import structlog
from msgspec.structs import replace

from pepperstair_core.calls import TargetExclusions
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.errors import PepperstairError
from pepperstair_core.labels import parse_selector
from pepperstair_core.members import Target, TargetState
from pepperstair_core.policies import DEFAULT_POLICY
from pepperstair_core.routing import Endpoint, EndpointTable
from pepperstair_http import HeaderNames
from pepperstair_targets import (
    Announcement,
    OrderedAnnouncements,
    TargetOptions,
    TargetRegistry,
    TargetRunner,
)
from tests.fake_network import TICK_MS, FakeNetwork
from tests.peers import call_head

HEARTBEAT_MS: Final = 870
LEASE_MS: Final = 4 * HEARTBEAT_MS
LEASE_CHECK_MS: Final = 250
# Time that an instance waits for the answer to a heartbeat.
HEARTBEAT_TIMEOUT_MS: Final = 1000
CALL_INTERVAL_MS: Final = 100
# Time after the last fault by which all targets are used again: the longest absence,
# and the repair of lost publications.
CALM_MS: Final = 60_000
FAULTS_MS: Final = 40_000
EVERY: Final = parse_selector("").unwrap()
PINNED: Final = TargetOptions(names=HeaderNames(expected_target=b"expected"))
FAULT_KINDS: Final = (
    "late",
    "refuse",
    "slow",
    "pause",
    "restart",
    "break",
    "drop",
    "cut",
)


class Vm:
    """The instance and the daemon of one VM, apart from its membership."""

    def __init__(self, fleet: ExclusionFleet, name: str, options: TargetOptions):
        self.fleet = fleet
        self.name = name
        self.options = options
        self.sequence = 0
        # Until when heartbeats are held up, calls slow, or the daemon paused.
        self.late_until_ms = self.slow_until_ms = self.paused_until_ms = 0.0
        # Until when the instance refuses requests as if another one had its address.
        self.refusing_until_ms = 0.0
        self.n_refused = 0
        self.start_daemon()

    def start_daemon(self) -> None:
        """Start a daemon process, which knows nothing of an earlier one."""
        fleet = self.fleet
        self.registry = TargetRegistry(LEASE_MS)
        self.runner = TargetRunner(
            self.registry,
            lambda: fleet.now_ms,
            lambda customer, target: DEFAULT_POLICY,
            DecisionLog(lambda: 0),
            self.options,
        )
        self.announcements = OrderedAnnouncements(
            self.registry, lambda: fleet.now_ms, lambda: fleet.now_ms, LEASE_MS
        )
        self.exclusions = TargetExclusions()
        self.table = EndpointTable()
        self.registry.on_changed = self.publish

    @property
    def membership(self):
        """Return the membership of the daemon."""
        return self.fleet.network.nodes[self.name].membership

    @property
    def target(self) -> Target:
        """Return the target as which the instance announces itself."""
        return Target(f"i-{self.name}", "127.0.0.1:1", (), 4, 9, TargetState.SERVING)

    @property
    def is_paused(self) -> bool:
        """Return whether the daemon does not run."""
        return self.fleet.now_ms < self.paused_until_ms

    def publish(self) -> None:
        """Publish the targets of this VM, as the daemon does."""
        self.runner.sync_with_registry()
        own = self.membership.directory.own()
        changed = replace(
            own, sequence=own.sequence + 1, targets=self.registry.targets()
        )
        self.fleet.network.execute(self.name, self.membership.publish(changed))
        self.rebuild()

    def rebuild(self) -> None:
        """Build the endpoints from the known members and the exclusions."""
        directory, now_ms = self.membership.directory, self.fleet.now_ms
        self.exclusions.update_members(directory.members(), now_ms)
        excluded = self.exclusions.excluded(directory.get, now_ms)
        self.table = EndpointTable(
            directory.members(), previous=self.table, excluded=excluded
        )

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the targets that this daemon sends calls to."""
        return self.table.endpoints(EVERY)

    def accept_heartbeat(self, sequence: int, due_ms: float) -> None:
        """Handle a heartbeat, unless its instance has stopped waiting for the answer.

        One that is only late on its way is accepted.
        """
        if self.is_paused:
            if self.paused_until_ms - due_ms < HEARTBEAT_TIMEOUT_MS:
                self.fleet.at(
                    self.paused_until_ms,
                    lambda: self.accept_heartbeat(sequence, due_ms),
                )
            return
        self.announcements.accept(Announcement(self.target, 1, sequence))

    def run_call(self, caller: Vm, endpoint: Endpoint, sent_ms: float) -> None:
        """Run a call of another daemon, or refuse it."""
        fleet = self.fleet
        if self.is_paused:
            fleet.at(
                self.paused_until_ms, lambda: self.run_call(caller, endpoint, sent_ms)
            )
            return
        head = replace(call_head(1), target=endpoint.target.name)
        try:
            target = self.runner._require_target(head, fleet.now_ms)
        except PepperstairError:
            self.refuse(caller, endpoint, sent_ms)
            return
        if fleet.now_ms < self.refusing_until_ms:
            self.refuse(caller, endpoint, sent_ms)
            return
        self.runner._renew_lease(self.runner._ensure_local_target(target))

    def refuse(self, caller: Vm, endpoint: Endpoint, sent_ms: float) -> None:
        """Send a refusal back to the daemon that sent the call."""
        self.n_refused += 1
        process = caller.exclusions

        def receive() -> None:
            member = caller.membership.directory.get(endpoint.vm)
            if member is None or caller.exclusions is not process:
                return
            if caller.exclusions.add_absent(
                endpoint.key, member, sent_ms, self.fleet.now_ms
            ):
                caller.rebuild()

        self.fleet.at(self.fleet.now_ms + self.fleet.delay_ms(self), receive)


class ExclusionFleet:
    """Some VMs with an instance each, and the events between them."""

    def __init__(self, seed: int, n_vms: int, options: TargetOptions = PINNED) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.network = FakeNetwork(
            seed, [f"zone-{index % 3}" for index in range(n_vms)], ("vm-000",)
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.vms = {name: Vm(self, name, options) for name in self.network.nodes}
        for vm in self.vms.values():
            self._every(HEARTBEAT_MS, lambda vm=vm: self._send_heartbeat(vm))
            self._every(LEASE_CHECK_MS, lambda vm=vm: self._check_leases(vm))
            self._every(CALL_INTERVAL_MS, lambda vm=vm: self._send_call(vm))

    def at(self, due_ms: float, event: Callable[[], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self._events, (due_ms, next(self._numbers), event))

    def run(self, duration_ms: float) -> None:
        """Advance the virtual time."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            tick_ms = self.network.now_ms + TICK_MS
            while self._events and self._events[0][0] < tick_ms:
                due_ms, _, event = heapq.heappop(self._events)
                self.now_ms = max(self.now_ms, due_ms)
                event()
            self.now_ms = tick_ms
            before = {name: self._ranks(name) for name in self.vms}
            self.network.run(TICK_MS)
            for name, vm in self.vms.items():
                if self._ranks(name) != before[name]:
                    vm.rebuild()

    def delay_ms(self, vm: Vm) -> float:
        """Return how long a call or its answer is on the way."""
        is_slow = self.now_ms < vm.slow_until_ms
        return self.rng.uniform(0.5, 2000.0 if is_slow else 5.0)

    def inject(self, kind: str) -> None:
        """Start a fault of a drawn length at a drawn VM."""
        vm = self.rng.choice(list(self.vms.values()))
        end_ms = self.now_ms + self.rng.uniform(100.0, 3 * LEASE_MS)
        if kind == "late":
            # Often about as late as the lease lasts.
            about_ms = self.rng.uniform(LEASE_MS - HEARTBEAT_MS, LEASE_MS + 300.0)
            vm.late_until_ms = self.rng.choice([end_ms, self.now_ms + about_ms])
        elif kind == "refuse":
            vm.refusing_until_ms = end_ms
        elif kind == "slow":
            vm.slow_until_ms = end_ms
        elif kind == "pause":
            self._pause(vm, end_ms)
        elif kind == "restart":
            self._restart(vm)
        elif kind == "break":
            self.network.close_streams(vm.name)
        elif kind == "drop":
            self.network.drop_probability = self.rng.choice([0.1, 0.3, 0.6])
        else:
            zone = self.network.nodes[vm.name].zone
            self.network.partitioned_zones = frozenset([zone])

    def end_faults(self) -> None:
        """End every fault that lasts."""
        self.network.drop_probability = 0.0
        self.network.partitioned_zones = frozenset()

    def missing(self) -> dict[str, list[str]]:
        """Return the targets that each daemon leaves out, by its VM."""
        names = {vm.target.name for vm in self.vms.values()}
        known = {
            name: {endpoint.target.name for endpoint in vm.endpoints()}
            for name, vm in self.vms.items()
        }
        return {name: sorted(names - known[name]) for name in known}

    def _ranks(self, name: str) -> list[tuple[int, int, int]]:
        return [m.rank for m in self.network.nodes[name].membership.directory.members()]

    def _every(self, interval_ms: float, event: Callable[[], None]) -> None:
        def repeat() -> None:
            event()
            self.at(self.now_ms + interval_ms, repeat)

        self.at(self.rng.uniform(0, interval_ms), repeat)

    def _send_heartbeat(self, vm: Vm) -> None:
        vm.sequence += 1
        sequence = vm.sequence
        due_ms = max(self.now_ms + self.rng.uniform(0.5, 30.0), vm.late_until_ms)
        self.at(due_ms, lambda: vm.accept_heartbeat(sequence, due_ms))

    def _check_leases(self, vm: Vm) -> None:
        if vm.is_paused:
            return
        vm.registry.expire(self.now_ms)
        if vm.exclusions.is_due(self.now_ms):
            vm.rebuild()

    def _send_call(self, caller: Vm) -> None:
        found = [item for item in caller.endpoints() if item.vm != caller.name]
        if caller.is_paused or not found:
            return
        endpoint = self.rng.choice(found)
        vm, sent_ms = self.vms[endpoint.vm], self.now_ms
        self.at(
            sent_ms + self.delay_ms(vm), lambda: vm.run_call(caller, endpoint, sent_ms)
        )

    def _pause(self, vm: Vm, end_ms: float) -> None:
        """Pause a daemon; its membership counts it as lost when its streams break."""
        vm.paused_until_ms = end_ms
        self.network.close_streams(vm.name)

        def resume() -> None:
            membership = self.network.nodes[vm.name].membership
            self.network.execute(vm.name, membership.resume(self.network.now_ms))

        self.at(end_ms, resume)

    def _restart(self, vm: Vm) -> None:
        node = self.network.nodes[vm.name]
        self.network.kill(vm.name)
        self.network.start(vm.name, node.zone)
        vm.start_daemon()
        vm.rebuild()


def play(
    seed: int,
    kinds: tuple[str, ...] = FAULT_KINDS,
    calm_ms: float = CALM_MS,
    options: TargetOptions = PINNED,
) -> dict[str, list[str]]:
    """Play drawn faults and return the targets that are still left out after them."""
    fleet = ExclusionFleet(seed, 3 + seed % 5, options)
    fleet.run(10_000)
    end_ms = fleet.now_ms + FAULTS_MS
    while fleet.now_ms < end_ms:
        fleet.inject(fleet.rng.choice(kinds))
        fleet.run(fleet.rng.uniform(100.0, 6_000.0))
        if fleet.rng.random() < 0.3:
            fleet.end_faults()
    fleet.end_faults()
    ends_ms = [vm.late_until_ms for vm in fleet.vms.values()]
    fleet.run(max(0.0, *(end_ms - fleet.now_ms for end_ms in ends_ms)) + calm_ms)
    return {name: names for name, names in fleet.missing().items() if names}


def main() -> None:
    """Play as many seeds as the argument says, and print those that fail."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    n_seeds = int(sys.argv[1])
    failed = {seed: missing for seed in range(n_seeds) if (missing := play(seed))}
    print(f"{n_seeds} seeds, {len(failed)} with targets left out: {failed}")


if __name__ == "__main__":
    main()
