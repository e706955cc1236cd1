"""A fleet in virtual time whose daemons exclude targets and take them back.

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

from pepperstair_http import HeaderNames
from pepperstair_targets import TargetOptions
from tests.exclusion_vm import HEARTBEAT_MS, LEASE_MS, Vm
from tests.fake_network import TICK_MS, FakeNetwork

LEASE_CHECK_MS: Final = 250
CALL_INTERVAL_MS: Final = 100
# Time after the last fault by which all targets are used again: the longest absence,
# and the repair of lost publications.
CALM_MS: Final = 60_000
FAULTS_MS: Final = 40_000
NAMED_TARGETS: Final = TargetOptions(names=HeaderNames(expected_target=b"expected"))
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


class ExclusionFleet:
    """Some VMs with a target each, and the events between them."""

    def __init__(
        self, seed: int, n_vms: int, options: TargetOptions = NAMED_TARGETS
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.network = FakeNetwork(
            seed, [f"zone-{index % 3}" for index in range(n_vms)], ("vm-000",)
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.vms = {name: Vm(self, name, options) for name in self.network.nodes}
        self._faults: dict[str, Callable[[Vm, float], None]] = {
            "late": self._delay_heartbeats,
            "refuse": self._refuse_calls,
            "slow": self._slow_calls,
            "pause": self._pause,
            "restart": lambda vm, end_ms: self._restart(vm),
            "break": lambda vm, end_ms: self.network.close_streams(vm.name),
            "drop": lambda vm, end_ms: self._drop_frames(),
            "cut": lambda vm, end_ms: self._cut_zone(vm),
        }
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
        self._faults[kind](vm, end_ms)

    def end_faults(self) -> None:
        """End every fault that lasts."""
        self.network.drop_probability = 0.0
        self.network.partitioned_zones = frozenset()

    @property
    def n_refused(self) -> int:
        """Return the number of calls that were refused so far."""
        return sum(vm.n_refused for vm in self.vms.values())

    def missing(self) -> dict[str, list[str]]:
        """Return the targets that each daemon excludes, by its VM."""
        names = {vm.target.name for vm in self.vms.values()}
        known = {
            name: {endpoint.target.name for endpoint in vm.endpoints()}
            for name, vm in self.vms.items()
        }
        missing = {name: sorted(names - known[name]) for name in known}
        return {name: found for name, found in missing.items() if found}

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

    def _delay_heartbeats(self, vm: Vm, end_ms: float) -> None:
        """Hold up the heartbeats of a VM, often for about as long as a lease lasts."""
        about_ms = self.rng.uniform(LEASE_MS - HEARTBEAT_MS, LEASE_MS + 300.0)
        vm.late_until_ms = self.rng.choice([end_ms, self.now_ms + about_ms])

    def _refuse_calls(self, vm: Vm, end_ms: float) -> None:
        vm.refusing_until_ms = end_ms

    def _slow_calls(self, vm: Vm, end_ms: float) -> None:
        vm.slow_until_ms = end_ms

    def _drop_frames(self) -> None:
        self.network.drop_probability = self.rng.choice([0.1, 0.3, 0.6])

    def _cut_zone(self, vm: Vm) -> None:
        zone = self.network.nodes[vm.name].zone
        self.network.partitioned_zones = frozenset([zone])

    def _pause(self, vm: Vm, end_ms: float) -> None:
        """Pause a daemon, whose streams break."""
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
    options: TargetOptions = NAMED_TARGETS,
) -> ExclusionFleet:
    """Play drawn faults, and a calm time after them; return the fleet."""
    fleet = ExclusionFleet(seed, 3 + seed % 5, options)
    fleet.run(10_000)
    end_ms = fleet.now_ms + FAULTS_MS
    while fleet.now_ms < end_ms:
        fleet.inject(fleet.rng.choice(kinds))
        fleet.run(fleet.rng.uniform(100.0, 6_000.0))
        if fleet.rng.random() < 0.3:
            fleet.end_faults()
    fleet.end_faults()
    late_until_ms = max(vm.late_until_ms for vm in fleet.vms.values())
    fleet.run(max(0.0, late_until_ms - fleet.now_ms) + calm_ms)
    return fleet


def main() -> None:
    """Play as many seeds as the argument says, and print those that fail."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    n_seeds = int(sys.argv[1])
    missing = {seed: play(seed).missing() for seed in range(n_seeds)}
    failed = {seed: found for seed, found in missing.items() if found}
    print(f"{n_seeds} seeds, {len(failed)} with targets left out: {failed}")


if __name__ == "__main__":
    main()
