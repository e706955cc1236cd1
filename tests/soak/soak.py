"""Plays one seed: a fleet under faults, then in peace, then what it broke."""

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

from .callers import PAUSE_S, Caller, Place
from .callers_ahead import AheadCaller
from .checks import Broken, iter_broken
from .history import Disturbance, History
from .machines import DaemonVm, Machine
from .operator import SERVICES, Operator
from .plan import PLANNED, Fault, FaultKind, draw_plan
from .poison import PoisonCaller

# What is measured after the recovery.
_AFTERWARDS_S = 3.0
_STALL_LOOK_S = 0.02
_STORM_GAP_S = 0.15
_BURST_FACTOR = 0.1
_CLOCK_S = 2.5
_DELAY_MAX_S = 0.3
_STORE_DELAY_S = 0.4
_GARBLED_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class SoakTerms:
    """How large and how long a soak is; times are in seconds."""

    n_vms: int = 6
    n_callers: int = 3
    faults_s: float = 10.0
    recover_s: float = 8.0
    has_poison: bool = False


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a seed has broken, and what was seen."""

    seed: int
    broken: tuple[Broken, ...]
    history: History
    plan: tuple[Fault, ...]
    folder: Path


async def play(seed: int, terms: SoakTerms) -> SoakResult:
    """Play one seed and return what it broke; the logs stay in the folder."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    soak = Soak(seed, terms, folder)
    async with soak.running():
        await soak.play()
    broken = [
        Broken("own end", what) for item in soak.machines for what in item.own_ends
    ]
    broken += iter_broken(soak.history)
    return SoakResult(seed, tuple(broken), soak.history, soak.plan, folder)


class Soak:
    """The parts of one run, and the faults that are brought upon them."""

    def __init__(self, seed: int, terms: SoakTerms, folder: Path) -> None:
        self._rng = random.Random(seed)
        self._terms = terms
        self._folder = folder
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._callers: list[Caller | AheadCaller] = []
        self.plan = draw_plan(seed, terms.n_vms, terms.faults_s)
        self.history = History(recover_s=terms.recover_s)
        self.store = StoreStandIn()
        self.machines: list[Machine] = []
        self.operator = Operator(self.store, self.history, self._rng, self.now_s)

    def now_s(self) -> float:
        """Return the time of the steady clock."""
        return self._loop.time()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Start the fleet and wait until it is ready; end all of it afterwards."""
        address = await self.store.listen()
        try:
            self.operator.write()
            for index in range(self._terms.n_vms):
                await self._add(index, address)
            await wait_until(self._are_all_ready, "all daemons ready")
            yield
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*(machine.close() for machine in self.machines))
            self.store.close()

    async def play(self) -> None:
        """Bring the faults upon the fleet, heal everything and watch it recover."""
        self._spawn(self._watch_stalls())
        for machine in self.machines:
            self._add_callers(machine)
        if self._terms.has_poison:
            self._add_poison()
        start_s = self.now_s()
        faults = [self._spawn(self._bring(fault, start_s)) for fault in self.plan]
        await asyncio.sleep(self._terms.faults_s)
        await asyncio.wait(faults)
        self._heal()
        await asyncio.sleep(self._terms.recover_s + _AFTERWARDS_S)
        self.history.ended_s = self.now_s()

    async def _add(self, index: int, store: str) -> None:
        service = SERVICES[index % len(SERVICES)]
        name = f"vm-{index}"
        self.history.services[name] = service
        vm = DaemonVm(name, service, self._folder, store)
        machine = Machine(vm, self.history, self._rng, self.now_s)
        self.machines.append(machine)
        await machine.start(store, free_port())

    async def _are_all_ready(self) -> bool:
        asked = [m.vm.fetch("ready", "GET", "/readiness") for m in self.machines]
        return all(status == 200 for status, _, _ in await asyncio.gather(*asked))

    def _add_callers(self, machine: Machine) -> None:
        vm = machine.vm
        address = f"127.0.0.1:{vm.ports['outbound']}"
        place = Place(vm.name, address, lambda: machine.n_starts)
        for number in range(self._terms.n_callers):
            caller = Caller(
                f"{vm.name}-{number}",
                place,
                self.history,
                self.operator.routes,
                self._rng,
                self.now_s,
                is_fresh=number == 0,
            )
            self._callers.append(caller)
            self._spawn(caller.run())
        # Draws of its own, so that a seed means the same to the others as before.
        ahead = AheadCaller(
            f"{vm.name}-ahead",
            place,
            self.history,
            self.operator.routes,
            random.Random(vm.name),
            self.now_s,
        )
        self._callers.append(ahead)
        self._spawn(ahead.run())

    def _add_poison(self) -> None:
        """Let the VMs of one service send the poison, as one caller would."""
        rng = random.Random(len(self.plan))
        service = rng.choice(SERVICES)
        for machine in self.machines:
            vm = machine.vm
            if vm.service != service:
                continue
            poison = PoisonCaller(
                f"{vm.name}-poison",
                Place(
                    vm.name,
                    f"127.0.0.1:{vm.ports['outbound']}",
                    lambda machine=machine: machine.n_starts,
                ),
                self.history,
                self.operator.routes,
                rng,
                self.now_s,
                is_fresh=False,
            )
            self._callers.append(poison)
            self._spawn(poison.run())

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        return task

    async def _watch_stalls(self) -> None:
        """Note the longest time that this process itself was late."""
        while True:
            before_s = self.now_s()
            await asyncio.sleep(_STALL_LOOK_S)
            stall_s = self.now_s() - before_s - _STALL_LOOK_S
            longest_s = max(self.history.longest_stall_s, stall_s)
            self.history.longest_stall_s = longest_s

    def _heal(self) -> None:
        self.store.status = 200
        self.store.is_silent = self.store.is_losing_answers = False
        self.store.delay_s = 0.0
        for machine in self.machines:
            machine.heal()
        self._set_pause(PAUSE_S)
        self.history.healed_s = self.now_s()

    async def _bring(self, fault: Fault, start_s: float) -> None:
        """Bring one fault about when its time has come, and end it again."""
        await asyncio.sleep(max(0.0, start_s + fault.at_s - self.now_s()))
        from_s = self.now_s()
        begin, end = self._ways(fault)
        begin()
        # Noted before it ends as well, since it disturbs from now on; one that
        # lasts longer is noted once more.
        await asyncio.sleep(fault.for_s)
        end()
        for vm in self._sufferers(fault):
            is_planned = fault.kind in PLANNED
            self.history.disturbances.append(
                Disturbance(vm, fault.kind, from_s, self.now_s(), is_planned)
            )

    def _sufferers(self, fault: Fault) -> list[str]:
        if fault.kind.startswith("store_") and fault.kind is not FaultKind.STORE_LINK:
            return [""]
        if fault.kind is FaultKind.HERD_KILL:
            return [machine.vm.name for machine in self.machines]
        if fault.kind in (FaultKind.CONFIGURATION, FaultKind.CONFIGURATION_STORM):
            return []
        return [self.machines[fault.vm].vm.name]

    def _ways(self, fault: Fault) -> tuple[Callable[[], None], Callable[[], None]]:
        """Return what begins a fault and what ends it."""
        machine = self.machines[fault.vm]
        if fault.kind in _LINKS:
            link = machine.links[fault.kind]
            delay_s = fault.amount * _DELAY_MAX_S
            return lambda: link.fail(fault.link, delay_s), link.heal
        if fault.kind.startswith("store_"):
            return self._store_ways(fault.kind)
        if fault.kind.startswith("instance_"):
            return self._instance_ways(fault, machine)
        return self._process_ways(fault, machine)

    def _process_ways(
        self, fault: Fault, machine: Machine
    ) -> tuple[Callable[[], None], Callable[[], None]]:
        sent = _SIGNALS.get(fault.kind)
        if sent is not None:
            back = signal.SIGCONT if sent is signal.SIGSTOP else None
            return (
                lambda: machine.send(sent),
                lambda: machine.send(back) if back else None,
            )
        skew_s = _CLOCK_S * (2 * fault.amount - 1)
        return {
            FaultKind.HERD_KILL: (
                lambda: [other.send(signal.SIGKILL) for other in self.machines],
                _nothing,
            ),
            FaultKind.CLOCK: (
                lambda: machine.move_clock(skew_s),
                lambda: machine.move_clock(0.0),
            ),
            FaultKind.CONFIGURATION: (self.operator.write, _nothing),
            FaultKind.CONFIGURATION_STORM: (
                lambda: self._spawn(self._write_often(fault.for_s)),
                _nothing,
            ),
            FaultKind.CALLERS_BURST: (
                lambda: self._set_pause(PAUSE_S * _BURST_FACTOR),
                lambda: self._set_pause(PAUSE_S),
            ),
        }[fault.kind]

    def _store_ways(
        self, kind: FaultKind
    ) -> tuple[Callable[[], None], Callable[[], None]]:
        store = self.store
        if kind is FaultKind.STORE_FORGETS:
            return store.forget_history, _nothing
        name, bad, good = {
            FaultKind.STORE_AWAY: ("status", 503, 200),
            FaultKind.STORE_SILENT: ("is_silent", True, False),
            FaultKind.STORE_LOSES_ANSWERS: ("is_losing_answers", True, False),
            FaultKind.STORE_SLOW: ("delay_s", _STORE_DELAY_S, 0.0),
        }[kind]
        return lambda: setattr(store, name, bad), lambda: setattr(store, name, good)

    def _instance_ways(
        self, fault: Fault, machine: Machine
    ) -> tuple[Callable[[], None], Callable[[], None]]:
        instance = machine.instance
        is_abrupt = fault.amount < 0.3
        return {
            FaultKind.INSTANCE_CRASH: (
                lambda: self._spawn(instance.crash(fault.for_s)),
                _nothing,
            ),
            FaultKind.INSTANCE_LEAVES: (
                lambda: self._spawn(instance.leave(is_abrupt=is_abrupt)),
                _nothing,
            ),
            FaultKind.INSTANCE_SLOW: (instance.slow_down, instance.heal),
            FaultKind.INSTANCE_GARBLES: (
                lambda: setattr(instance, "garbled_share", _GARBLED_SHARE),
                instance.heal,
            ),
        }[fault.kind]

    async def _write_often(self, for_s: float) -> None:
        for _ in range(max(1, int(for_s / _STORM_GAP_S))):
            self.operator.write()
            await asyncio.sleep(_STORM_GAP_S)

    def _set_pause(self, pause_s: float) -> None:
        for caller in self._callers:
            caller.pause_s = pause_s


_LINKS = (FaultKind.PEER_LINK, FaultKind.STORE_LINK, FaultKind.INSTANCE_LINK)
_SIGNALS = {
    FaultKind.KILL: signal.SIGKILL,
    FaultKind.PAUSE: signal.SIGSTOP,
    FaultKind.STOP: signal.SIGTERM,
    FaultKind.HANGUP: signal.SIGHUP,
}


def _nothing() -> None:
    """End a fault that ends by itself."""


__all__ = ["SoakResult", "SoakTerms", "play"]
