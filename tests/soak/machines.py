"""VMs of a soak: each has a daemon process, links that can fail and an instance."""

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
_POLL_INTERVAL_S = 0.02
_STOP_GRACE_S = 6.0
_STARTED = b'"event": "started"'


class DaemonVm(Vm):
    """A VM whose daemon is reached through a link and has a skewable clock."""

    advertised: str = ""

    def settings_text(self) -> str:
        """Return the settings, with the link's address as the advertised one."""
        local = f'address = "127.0.0.1:{self.ports["peers"]}"'
        advertised = f'{local}\nadvertised_address = "{self.advertised}"'
        return super().settings_text().replace(local, advertised, 1)

    def command(self) -> list[str]:
        """Return the command that starts the daemon with a clock that can be skewed."""
        return [sys.executable, "-m", "tests.soak.skewed_daemon", str(self.skew_file)]

    @property
    def skew_file(self) -> Path:
        """Return the file with the skew of the daemon's time of day, in seconds."""
        return self.folder / f"{self.name}.skew"


class Machine:
    """One VM with its daemon, instance and links, and the faults applied to it."""

    def __init__(
        self,
        vm: DaemonVm,
        history: History,
        rng: random.Random,
        now_s: Callable[[], float],
        has_statements: bool = False,
    ) -> None:
        self.vm = vm
        self.instance = Instance(
            history, vm.name, vm.service, rng, now_s, has_statements
        )
        self.links: dict[str, Link] = {}
        self.n_starts = 0
        self.unexpected_exits: list[str] = []
        self._history = history
        self._now_s = now_s
        self._killed_starts: set[int] = set()
        self._log_offset = 0
        self._stopped_s: float | None = None
        self._was_paused = False
        self._supervision: asyncio.Task[None] | None = None

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
        self._supervision = asyncio.get_running_loop().create_task(self._supervise())

    def send_signal(self, sent: signal.Signals) -> None:
        """Send a signal to the daemon, if it runs."""
        with contextlib.suppress(ProcessLookupError):
            self.vm.process.send_signal(sent)
        if sent is signal.SIGKILL:
            self._killed_starts.add(self.n_starts)
        elif sent is signal.SIGTERM and self._stopped_s is None:
            self._stopped_s = self._now_s()
        elif sent is signal.SIGSTOP:
            self._was_paused = True

    def set_clock_skew(self, skew_s: float) -> None:
        """Set the skew of the daemon's time of day."""
        self.vm.skew_file.write_text(str(skew_s))

    def heal(self) -> None:
        """End every fault of this VM."""
        self.send_signal(signal.SIGCONT)
        for link in self.links.values():
            link.heal()
        self.instance.heal()
        self.set_clock_skew(0.0)

    async def close(self) -> None:
        """End the daemon, the instance and the links of the VM."""
        if self._supervision is not None:
            self._supervision.cancel()
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await asyncio.to_thread(self.vm.process.wait)
        self.instance.stop()
        for link in self.links.values():
            link.close()

    @property
    def _log(self) -> Path:
        """Return the log file, to which every process of the daemon appends."""
        return self.vm.folder / f"{self.vm.name}.log"

    def _start_daemon(self) -> None:
        self.n_starts += 1
        self._log_offset = self._log.stat().st_size if self._log.exists() else 0
        self._stopped_s = None
        self._was_paused = False
        self.vm.start_daemon()

    async def _supervise(self) -> None:
        """Restart the daemon whenever it has ended, as the platform would."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            code = self.vm.process.poll()
            if code is None:
                self._kill_overdue()
                continue
            ended_s = self._now_s()
            is_planned = self._check_exit(code)
            await asyncio.sleep(_RESTART_S)
            self._start_daemon()
            down = Disturbance(self.vm.name, "down", ended_s, self._now_s(), is_planned)
            self._history.disturbances.append(down)

    def _check_exit(self, code: int) -> bool:
        """Check the exit of a process; return whether it had been asked to stop."""
        if self.n_starts in self._killed_starts:
            return False
        # SIGTERM ends a process at once until its handlers are installed. It does not
        # listen yet, so no request is lost.
        has_started = _STARTED in self._log.read_bytes()[self._log_offset :]
        is_ended_at_start = code == -signal.SIGTERM and not has_started
        if self._stopped_s is None or (code != 0 and not is_ended_at_start):
            event = f"{self.vm.name} start {self.n_starts} exited with status {code}"
            self.unexpected_exits.append(event)
        return self._stopped_s is not None

    def _kill_overdue(self) -> None:
        """Kill a daemon that still runs after the grace period of its stop."""
        if self._stopped_s is None or self.n_starts in self._killed_starts:
            return
        if self._now_s() - self._stopped_s <= _STOP_GRACE_S:
            return
        if not self._was_paused:
            event = (
                f"{self.vm.name} start {self.n_starts} still ran after its grace period"
            )
            self.unexpected_exits.append(event)
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)


__all__ = ["DaemonVm", "Machine"]
