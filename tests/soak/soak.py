"""Runs one seed: a fleet under faults, its recovery, and the check of guarantees."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from benchmarks.fleet import free_port
from tests.adapter.mesh import wait_until
from tests.adapter.store_stand_in import StoreStandIn

from .callers import PAUSE_S, Caller, OutboundEndpoint
from .checks import Violation, iter_violations
from .history import Disturbance, History
from .machines import DaemonVm, Machine
from .operator import SERVICES, Operator
from .pipelining_callers import PipeliningCaller
from .plan import PLANNED_KINDS, Fault, FaultKind, draw_plan
from .poison import PoisonCaller

# Time after the recovery in which requests have to be served.
_RECOVERED_S = 3.0
_STALL_CHECK_INTERVAL_S = 0.02
_STORM_INTERVAL_S = 0.15
_BURST_PAUSE_FACTOR = 0.1
_CLOCK_SKEW_MAX_S = 2.5
_LINK_DELAY_MAX_S = 0.3
_STORE_DELAY_S = 0.4
_GARBLED_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """The size and duration of a soak; times are in seconds."""

    n_vms: int = 6
    n_callers: int = 3
    faults_s: float = 10.0
    recover_s: float = 8.0
    has_poison: bool = False
    has_statements: bool = False


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The violations of guarantees by a seed, and what was observed."""

    seed: int
    violations: tuple[Violation, ...]
    history: History
    plan: tuple[Fault, ...]
    folder: Path


async def run_seed(seed: int, settings: SoakSettings) -> SoakResult:
    """Run one seed and return its violations; the logs stay in the folder."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed, settings, folder)
    async with soak.running_fleet():
        await soak.run_faults()
    violations = [
        Violation("no unexpected exit", event)
        for machine in soak.machines
        for event in machine.unexpected_exits
    ]
    violations += iter_violations(soak.history)
    return SoakResult(seed, tuple(violations), soak.history, soak.plan, folder)


class Soak:
    """The parts of one run, and the injection of faults into them."""

    def __init__(self, seed: int, settings: SoakSettings, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._settings = settings
        self._folder = folder
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._callers: list[Caller | PipeliningCaller] = []
        self.plan = draw_plan(seed, settings.n_vms, settings.faults_s)
        self.history = History(recover_s=settings.recover_s)
        self.store = StoreStandIn()
        self.machines: list[Machine] = []
        self.operator = Operator(self.store, self.history, self._rng, self.now_s)

    def now_s(self) -> float:
        """Return the time of the monotonic clock."""
        return self._loop.time()

    @contextlib.asynccontextmanager
    async def running_fleet(self) -> AsyncIterator[None]:
        """Start the fleet and wait until it is ready; stop it on exit."""
        address = await self.store.listen()
        try:
            self.operator.write()
            for index in range(self._settings.n_vms):
                await self._add_machine(index, address)
            await wait_until(self._are_all_ready, "all daemons ready")
            yield
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*(machine.close() for machine in self.machines))
            self.store.close()

    async def run_faults(self) -> None:
        """Inject the faults, end all of them and let the fleet recover."""
        self._spawn(self._record_longest_stall())
        for machine in self.machines:
            self._add_callers(machine)
        if self._settings.has_poison:
            self._add_poison_callers()
        start_s = self.now_s()
        faults = [self._spawn(self._inject(fault, start_s)) for fault in self.plan]
        await asyncio.sleep(self._settings.faults_s)
        await asyncio.wait(faults)
        self._heal()
        await asyncio.sleep(self._settings.recover_s + _RECOVERED_S)
        self.history.ended_s = self.now_s()

    async def _add_machine(self, index: int, store: str) -> None:
        service = SERVICES[index % len(SERVICES)]
        name = f"vm-{index}"
        self.history.services[name] = service
        vm = DaemonVm(name, service, self._folder, store)
        has_statements = self._settings.has_statements
        machine = Machine(vm, self.history, self._rng, self.now_s, has_statements)
        self.machines.append(machine)
        await machine.start(store, free_port())

    async def _are_all_ready(self) -> bool:
        requests = [m.vm.fetch("ready", "GET", "/readiness") for m in self.machines]
        return all(status == 200 for status, _, _ in await asyncio.gather(*requests))

    def _add_callers(self, machine: Machine) -> None:
        vm = machine.vm
        address = f"127.0.0.1:{vm.ports['outbound']}"
        endpoint = OutboundEndpoint(vm.name, address, lambda: machine.n_starts)
        for number in range(self._settings.n_callers):
            caller = Caller(
                f"{vm.name}-{number}",
                endpoint,
                self.history,
                self.operator.routes,
                self._rng,
                self.now_s,
                is_reconnecting=number == 0,
            )
            self._callers.append(caller)
            self._spawn(caller.run())
        # Has its own random generator, so that the draws of the others do not change.
        pipelining = PipeliningCaller(
            f"{vm.name}-ahead",
            endpoint,
            self.history,
            self.operator.routes,
            random.Random(vm.name),
            self.now_s,
        )
        self._callers.append(pipelining)
        self._spawn(pipelining.run())

    def _add_poison_callers(self) -> None:
        """Add a caller of the poison request to each VM of one service."""
        rng = random.Random(len(self.plan))
        service = rng.choice(SERVICES)
        for machine in self.machines:
            vm = machine.vm
            if vm.service != service:
                continue
            poison = PoisonCaller(
                f"{vm.name}-poison",
                OutboundEndpoint(
                    vm.name,
                    f"127.0.0.1:{vm.ports['outbound']}",
                    lambda machine=machine: machine.n_starts,
                ),
                self.history,
                self.operator.routes,
                rng,
                self.now_s,
                is_reconnecting=False,
            )
            self._callers.append(poison)
            self._spawn(poison.run())

    def _spawn(self, coroutine: Awaitable[None]) -> asyncio.Task[None]:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        return task

    async def _record_longest_stall(self) -> None:
        """Record the longest stall of the event loop of this process."""
        while True:
            before_s = self.now_s()
            await asyncio.sleep(_STALL_CHECK_INTERVAL_S)
            stall_s = self.now_s() - before_s - _STALL_CHECK_INTERVAL_S
            longest_s = max(self.history.longest_stall_s, stall_s)
            self.history.longest_stall_s = longest_s

    def _heal(self) -> None:
        self.store.status = 200
        self.store.is_silent = self.store.is_losing_answers = False
        self.store.delay_s = 0.0
        for machine in self.machines:
            machine.heal()
            machine.instance.end_limits()
        self._set_pause(PAUSE_S)
        self.history.faults_ended_s = self.now_s()

    async def _inject(self, fault: Fault, start_s: float) -> None:
        """Begin one fault at its time, end it and record its disturbances."""
        await asyncio.sleep(max(0.0, start_s + fault.at_s - self.now_s()))
        from_s = self.now_s()
        begin, end = self._fault_actions(fault)
        begin()
        await asyncio.sleep(fault.for_s)
        end()
        # The downtime of a daemon, which may last longer, is recorded by its machine.
        for vm in self._affected_vms(fault):
            is_planned = fault.kind in PLANNED_KINDS
            self.history.disturbances.append(
                Disturbance(vm, fault.kind, from_s, self.now_s(), is_planned)
            )

    def _affected_vms(self, fault: Fault) -> list[str]:
        if fault.kind.startswith("store_") and fault.kind is not FaultKind.STORE_LINK:
            return [""]
        if fault.kind is FaultKind.KILL_ALL:
            return [machine.vm.name for machine in self.machines]
        if fault.kind in (FaultKind.CONFIGURATION, FaultKind.CONFIGURATION_STORM):
            return []
        return [self.machines[fault.vm].vm.name]

    def _fault_actions(
        self, fault: Fault
    ) -> tuple[Callable[[], None], Callable[[], None]]:
        """Return a function that begins a fault and one that ends it."""
        machine = self.machines[fault.vm]
        if fault.kind in _LINK_KINDS:
            link = machine.links[fault.kind]
            delay_s = fault.amount * _LINK_DELAY_MAX_S
            return lambda: link.fail(fault.link, delay_s), link.heal
        if fault.kind.startswith("store_"):
            return self._store_fault_actions(fault.kind)
        if fault.kind.startswith("instance_"):
            return self._instance_fault_actions(fault, machine)
        return self._process_fault_actions(fault, machine)

    def _process_fault_actions(
        self, fault: Fault, machine: Machine
    ) -> tuple[Callable[[], None], Callable[[], None]]:
        begin_signal = _SIGNALS.get(fault.kind)
        if begin_signal is not None:
            end_signal = signal.SIGCONT if begin_signal is signal.SIGSTOP else None
            return (
                lambda: machine.send_signal(begin_signal),
                lambda: machine.send_signal(end_signal) if end_signal else None,
            )
        skew_s = _CLOCK_SKEW_MAX_S * (2 * fault.amount - 1)
        return {
            FaultKind.KILL_ALL: (
                lambda: [other.send_signal(signal.SIGKILL) for other in self.machines],
                _do_nothing,
            ),
            FaultKind.CLOCK: (
                lambda: machine.set_clock_skew(skew_s),
                lambda: machine.set_clock_skew(0.0),
            ),
            FaultKind.CONFIGURATION: (self.operator.write, _do_nothing),
            FaultKind.CONFIGURATION_STORM: (
                lambda: self._spawn(self._write_storm(fault.for_s)),
                _do_nothing,
            ),
            FaultKind.CALLERS_BURST: (
                lambda: self._set_pause(PAUSE_S * _BURST_PAUSE_FACTOR),
                lambda: self._set_pause(PAUSE_S),
            ),
        }[fault.kind]

    def _store_fault_actions(
        self, kind: FaultKind
    ) -> tuple[Callable[[], None], Callable[[], None]]:
        store = self.store
        if kind is FaultKind.STORE_FORGETS:
            return store.forget_history, _do_nothing
        name, bad, good = {
            FaultKind.STORE_UNAVAILABLE: ("status", 503, 200),
            FaultKind.STORE_SILENT: ("is_silent", True, False),
            FaultKind.STORE_LOSES_ANSWERS: ("is_losing_answers", True, False),
            FaultKind.STORE_SLOW: ("delay_s", _STORE_DELAY_S, 0.0),
        }[kind]
        return lambda: setattr(store, name, bad), lambda: setattr(store, name, good)

    def _instance_fault_actions(
        self, fault: Fault, machine: Machine
    ) -> tuple[Callable[[], None], Callable[[], None]]:
        instance = machine.instance
        is_abrupt = fault.amount < 0.3
        return {
            FaultKind.INSTANCE_CRASH: (
                lambda: self._spawn(instance.crash(fault.for_s)),
                _do_nothing,
            ),
            FaultKind.INSTANCE_LEAVES: (
                lambda: self._spawn(instance.depart(is_abrupt=is_abrupt)),
                _do_nothing,
            ),
            FaultKind.INSTANCE_SLOW: (instance.slow_down, instance.heal),
            FaultKind.INSTANCE_GARBLES: (
                lambda: setattr(instance, "garbled_share", _GARBLED_SHARE),
                instance.heal,
            ),
        }[fault.kind]

    async def _write_storm(self, for_s: float) -> None:
        for _ in range(max(1, int(for_s / _STORM_INTERVAL_S))):
            self.operator.write()
            await asyncio.sleep(_STORM_INTERVAL_S)

    def _set_pause(self, pause_s: float) -> None:
        for caller in self._callers:
            caller.pause_s = pause_s


_LINK_KINDS = (FaultKind.PEER_LINK, FaultKind.STORE_LINK, FaultKind.INSTANCE_LINK)
_SIGNALS = {
    FaultKind.KILL: signal.SIGKILL,
    FaultKind.PAUSE: signal.SIGSTOP,
    FaultKind.STOP: signal.SIGTERM,
    FaultKind.HANGUP: signal.SIGHUP,
}


def _do_nothing() -> None:
    """Do nothing, for a fault that ends by itself."""


__all__ = ["SoakResult", "SoakSettings", "run_seed"]
