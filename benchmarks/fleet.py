"""Starts and stops daemons and stand-ins as processes, for demo and benchmarks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from pepperstair_core.config import parse_address
from pepperstair_http import ConnectionLostError, Fetcher

from .ports import free_port

ROOT = Path(__file__).resolve().parent.parent
SCRIPTS = Path(sys.executable).parent
PEPPERSTAIRD = (str(SCRIPTS / "pepperstaird"),)
_N_LAST_LINES = 10
NAIVE_DAEMON = (sys.executable, "-m", "benchmarks.naive")


@dataclass(frozen=True)
class DaemonProcess:
    """A daemon that was started, and its addresses."""

    vm: str
    callers: str
    operators: str
    peers: str
    settings: Path
    process: subprocess.Popen[bytes]

    @property
    def log(self) -> Path:
        """Return the file that the daemon's log is written to."""
        return self.settings.with_suffix(".log")

    def kill(self) -> None:
        """Kill the process immediately, as when its VM is lost."""
        self.process.kill()
        self.process.wait()

    def pause(self) -> None:
        """Pause the process with SIGSTOP, which it can't catch."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self.process.send_signal(signal.SIGCONT)


@dataclass(frozen=True)
class StandInProcess:
    """A stand-in that was started, and the file that its stderr is written to."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path

    def wait_until_listening(self, address: str, timeout_s: float = 20.0) -> None:
        """Return once it listens, or raise TimeoutError with its last errors."""

        def has_outcome() -> bool:
            return _is_listening(address) or self.process.poll() is not None

        with contextlib.suppress(TimeoutError):
            wait_until(has_outcome, address, timeout_s)
        if _is_listening(address):
            return
        status = self.process.poll()
        reason = f"it exited with status {status}"
        if status is None:
            reason = f"it runs, and nothing listens at {address} after {timeout_s} s"
        lines = self.log.read_text(errors="replace").splitlines()[-_N_LAST_LINES:]
        last_lines = "\n".join(lines) or "it has written nothing to stderr"
        raise TimeoutError(f"{self.name}: {reason}\n{last_lines}")


@dataclass
class Fleet:
    """The processes of one run, which `stop` stops."""

    folder: Path
    daemon_command: tuple[str, ...] = PEPPERSTAIRD
    platform: str = ""
    daemons: list[DaemonProcess] = field(default_factory=list)
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def start_platform(self, *arguments: str) -> None:
        """Start the platform stand-in."""
        port = free_port()
        self.platform = f"127.0.0.1:{port}"
        module = "stand_ins.platform"
        started = self._start_stand_in(module, "--port", str(port), *arguments)
        started.wait_until_listening(self.platform)

    def start_daemon(
        self,
        vm: str,
        availability_zone: str,
        labels: str,
        extra_settings: str = "",
        peer_address: str = "",
        advertised_address: str = "",
    ) -> DaemonProcess:
        """Start a daemon whose only seed is the first daemon of the fleet.

        `advertised_address` is the address at which the other daemons reach its
        `peer_address`, for instance that of a relay.
        """
        addresses = [f"127.0.0.1:{free_port()}" for _ in range(2)]
        addresses.append(peer_address or f"127.0.0.1:{free_port()}")
        seeds = [self.daemons[0].peers] if self.daemons else []
        settings = self.folder / f"{vm}.toml"
        settings.write_text(
            f'[vm]\nname = "{vm}"\navailability_zone = "{availability_zone}"\n'
            f"labels = {labels}\n"
            f'[callers]\naddress = "{addresses[0]}"\n'
            f'[operators]\naddress = "{addresses[1]}"\n'
            f'[peers]\naddress = "{addresses[2]}"\nseed_addresses = {seeds}\n'
            f'advertised_address = "{advertised_address}"\n'
            f'[platform]\naddress = "{self.platform}"\n{extra_settings}'
        )
        daemon = DaemonProcess(vm, *addresses, settings, self.spawn_daemon(settings))
        self.daemons.append(daemon)
        return daemon

    def spawn_daemon(self, settings: Path) -> subprocess.Popen[bytes]:
        """Start a daemon process with a settings file; its log has the same stem."""
        with settings.with_suffix(".log").open("ab") as log:
            process = subprocess.Popen(
                [*self.daemon_command, "--settings", settings],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        return process

    def restart_daemon(self, daemon: DaemonProcess) -> DaemonProcess:
        """Start a daemon that has exited again, on the same addresses."""
        index = self.daemons.index(daemon)
        restarted = replace(daemon, process=self.spawn_daemon(daemon.settings))
        self.daemons[index] = restarted
        return restarted

    def set_platform_faults(self, **faults: Any) -> None:
        """Set the fault that the platform stand-in injects; no arguments clear it."""
        body = json.dumps({"mode": "none", **faults}).encode()
        fetch(self.platform, "PUT", "/v1/faults", body)

    def start_target(
        self, daemon: DaemonProcess, service: str, *extra_arguments: str
    ) -> str:
        """Start a target that announces itself to a daemon, and return its address."""
        port = str(free_port())
        arguments = ("--port", port, "--daemon", daemon.operators, "--service", service)
        started = self._start_stand_in("stand_ins.target", *arguments, *extra_arguments)
        address = f"127.0.0.1:{port}"
        started.wait_until_listening(address)
        return address

    def stop(self) -> None:
        """Terminate every process, and kill those that don't exit within 5 s."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes:
            try:
                process.wait(timeout=5)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _start_stand_in(self, module: str, *arguments: str) -> StandInProcess:
        command = [sys.executable, "-m", module, *arguments]
        log = self.folder / f"{module}-{len(self.processes)}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=output,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )
        self.processes.append(process)
        return StandInProcess(" ".join(command[1:]), process, log)


@contextlib.contextmanager
def running_fleet(
    daemon_command: tuple[str, ...] = PEPPERSTAIRD,
) -> Iterator[Fleet]:
    """Yield an empty fleet and stop every process started in it on exit."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), daemon_command)
        try:
            yield fleet
        finally:
            fleet.stop()


def wait_until(
    condition: Callable[[], bool], what: str, timeout_s: float = 20.0
) -> None:
    """Wait until a condition is true, or raise TimeoutError that names it."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return
        time.sleep(0.02)
    raise TimeoutError(f"condition not met within {timeout_s} s: {what}")


def fetch(
    address: str, method: str, path: str, body: bytes = b"", headers: Any = ()
) -> tuple[int, bytes]:
    """Send a request and return status and body; status 0 if there was no answer."""
    return asyncio.run(fetch_async(address, method, path, body, headers))


async def fetch_async(
    address: str, method: str, path: str, body: bytes = b"", headers: Any = ()
) -> tuple[int, bytes]:
    """Do the same as `fetch` on a running event loop.

    Running `fetch` in another thread with its own loop is unsafe: the connections of
    a process share one receive buffer, so answers would be mixed.
    """
    fetcher = Fetcher(*parse_address(address), 5000)
    try:
        response = await fetcher.fetch(method, path, body, headers)
    except (OSError, TimeoutError, ConnectionLostError):
        return 0, b""
    finally:
        fetcher.close()
    return response.status, response.body


def status_of(daemon: DaemonProcess) -> dict[str, Any]:
    """Return a daemon's status, or an empty one if it does not answer."""
    code, body = fetch(daemon.operators, "GET", "/v1/status")
    return json.loads(body) if code == 200 else {}


def _is_listening(address: str) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(parse_address(address)) == 0
