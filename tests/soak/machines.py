"""VMs of a soak: the daemon as a process, links that can fail, an instance, callers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from tests.adapter.mesh import Vm
from tests.link import Link

from .history import Disturbance, History
from .instance import Instance

_RESTART_S = 0.3
_LOOK_S = 0.02
_GRACE_S = 6.0
_STARTED = b'"event": "started"'


class DaemonVm(Vm):
    """A VM whose daemon is reached through a link, with a clock that can be moved."""

    advertised: str = ""

    def settings_text(self) -> str:
        """Return the settings, with the link's address told to the others."""
        own = f'address = "127.0.0.1:{self.ports["peers"]}"'
        told = f'{own}\nadvertised_address = "{self.advertised}"'
        return super().settings_text().replace(own, told, 1)

    def command(self) -> list[str]:
        """Return the command that starts the daemon under a clock that can move."""
        return [sys.executable, "-m", "tests.soak.skewed_daemon", str(self.skew_file)]

    @property
    def skew_file(self) -> Path:
        """Return the file with the seconds that the time of day is off."""
        return self.folder / f"{self.name}.skew"


class Machine:
    """One VM with all that belongs to it, and what is done to it from outside."""

    def __init__(
        self,
        vm: DaemonVm,
        history: History,
        rng: random.Random,
        now_s: Callable[[], float],
    ) -> None:
        self.vm = vm
        self.instance = Instance(history, vm.name, vm.service, rng, now_s)
        self.links: dict[str, Link] = {}
        self.n_starts = 0
        self.own_ends: list[str] = []
        self._history = history
        self._now_s = now_s
        self._killed: set[int] = set()
        self._log_begin = 0
        self._stopped_s: float | None = None
        self._was_paused = False
        self._watching: asyncio.Task[None] | None = None

    async def start(self, store: str, peer_port: int) -> None:
        """Start the instance, the links and the daemon."""
        port = await self.instance.start()
        self.vm.ports["peers"] = peer_port
        targets = {
            "peer_link": f"127.0.0.1:{peer_port}",
            "store_link": store,
            "instance_link": f"127.0.0.1:{port}",
        }
        for name, target in targets.items():
            self.links[name] = Link(target)
            await self.links[name].listen()
        self.vm.advertised = self.links["peer_link"].address
        self.vm.store = self.links["store_link"].address
        self.instance.address = self.links["instance_link"].address
        self.vm.ports["app"] = int(self.instance.address.rpartition(":")[2])
        self._start_daemon()
        control = self.vm.ports["control_plane"]
        self.instance.heartbeat_address = f"127.0.0.1:{control}"
        self.instance.announce()
        self._watching = asyncio.get_running_loop().create_task(self._watch())

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the daemon, if it runs."""
        with contextlib.suppress(ProcessLookupError):
            self.vm.process.send_signal(number)
        if number is signal.SIGKILL:
            self._killed.add(self.n_starts)
        elif number is signal.SIGTERM and self._stopped_s is None:
            self._stopped_s = self._now_s()
        elif number is signal.SIGSTOP:
            self._was_paused = True

    def move_clock(self, skew_s: float) -> None:
        """Let the daemon's time of day be off by so much."""
        self.vm.skew_file.write_text(str(skew_s))

    def heal(self) -> None:
        """End every fault of this VM."""
        self.send(signal.SIGCONT)
        for link in self.links.values():
            link.heal()
        self.instance.heal()
        self.move_clock(0.0)

    async def close(self) -> None:
        """End everything that belongs to the VM."""
        if self._watching is not None:
            self._watching.cancel()
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await asyncio.to_thread(self.vm.process.wait)
        self.instance.stop()
        for link in self.links.values():
            link.close()

    @property
    def _log(self) -> Path:
        """Return the file that every process of the daemon writes its log to."""
        return self.vm.folder / f"{self.vm.name}.log"

    def _start_daemon(self) -> None:
        self.n_starts += 1
        self._log_begin = self._log.stat().st_size if self._log.exists() else 0
        self._stopped_s = None
        self._was_paused = False
        self.vm.start_daemon()

    async def _watch(self) -> None:
        """Start the daemon again when it has ended, as the platform would."""
        while True:
            await asyncio.sleep(_LOOK_S)
            code = self.vm.process.poll()
            if code is None:
                self._end_overdue()
                continue
            ended_s = self._now_s()
            is_planned = self._note_end(code)
            await asyncio.sleep(_RESTART_S)
            self._start_daemon()
            down = Disturbance(self.vm.name, "down", ended_s, self._now_s(), is_planned)
            self._history.disturbances.append(down)

    def _note_end(self, code: int) -> bool:
        """Take the end of a process, and return whether it had been asked to end."""
        if self.n_starts in self._killed:
            return False
        # Until a process has set its handlers, SIGTERM ends it at once. It listens
        # nowhere yet, so that nobody loses anything.
        has_started = _STARTED in self._log.read_bytes()[self._log_begin :]
        is_ended_at_start = code == -signal.SIGTERM and not has_started
        if self._stopped_s is None or (code != 0 and not is_ended_at_start):
            what = f"{self.vm.name} start {self.n_starts} ended with {code}"
            self.own_ends.append(what)
        return self._stopped_s is not None

    def _end_overdue(self) -> None:
        """Kill a daemon that was told to stop and still runs after its grace."""
        if self._stopped_s is None or self.n_starts in self._killed:
            return
        if self._now_s() - self._stopped_s <= _GRACE_S:
            return
        if not self._was_paused:
            what = f"{self.vm.name} start {self.n_starts} still ran after its grace"
            self.own_ends.append(what)
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)


__all__ = ["DaemonVm", "Machine"]
