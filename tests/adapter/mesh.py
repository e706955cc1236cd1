"""Daemon processes, instances and a stand-in of the store, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.fleet import free_port
from pepperstair_http import (
    ConnectionLostError,
    Exchange,
    Fetcher,
    HttpServer,
    ServerLimits,
    header_value,
)
from tests.adapter.store_stand_in import StoreStandIn
from tests.adapter.test_settings import BOUNDS, render_settings

# How long an instance runs a poison request before it crashes.
CRASH_DELAY_S = 0.03
ROOT = Path(__file__).parent.parent.parent


@dataclass
class Vm:
    """One VM: its instance, its daemon and their ports."""

    name: str
    service: str
    folder: Path
    store: str
    n_slots: int = 4
    ports: dict[str, int] = field(default_factory=dict)
    received_headers: list = field(default_factory=list)
    # When each request arrived, in seconds of the event loop.
    arrived_s: list = field(default_factory=list)
    # Headers that the instance adds to its answers.
    stated_headers: tuple = ()
    sequence: int = 0
    process: subprocess.Popen | None = None
    work_s: float = 0.0
    bounds: str = BOUNDS
    # Requests to this path crash the instance, which is then replaced by a new one.
    poison_path: str = ""
    restart_s: float = 0.4
    version: str = "v1"
    # The status of the instance's answers, and whether they bear its signature.
    status: int = 200
    is_signing: bool = True
    n_poison_runs: int = 0
    server: HttpServer | None = None
    crash_task: asyncio.Task | None = None
    incarnation: int = 1
    # The id of the instance if it does not change with its incarnation.
    fixed_instance: str = ""

    def settings_text(self) -> str:
        """Return the settings file that the platform would provide."""
        names = ("outbound", "ready", "control_plane")
        for name in (*names, "peers", "operators", "metrics"):
            self.ports.setdefault(name, free_port())
        return render_settings(
            self.bounds,
            node=self.name,
            service=self.service,
            ip="127.0.0.1",
            **{f"listen.{name}": f"127.0.0.1:{self.ports[name]}" for name in names},
            **{
                "port_range.0": str(self.ports["peers"]),
                "port_range.1": str(self.ports["operators"]),
                "platform.address": self.store,
                "app_addr": f"127.0.0.1:{self.ports['app']}",
            },
        ).replace(":9464", f":{self.ports['metrics']}")

    def command(self) -> list[str]:
        """Return the command that starts the daemon."""
        return [sys.executable, "-m", "pepperstair_adapter"]

    def start_daemon(self) -> None:
        """Start the daemon with its settings; its log is appended to the same file."""
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(self.settings_text())
        environment = {**os.environ, "PEPPERSTAIR_BOOT": str(settings)}
        with settings.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                self.command(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def serve(self) -> HttpServer:
        """Start the instance and return its server."""
        self.server = HttpServer(self._handle, ServerLimits())
        port = self.ports.get("app", 0)
        self.ports["app"] = await self.server.listen("127.0.0.1", port)
        return self.server

    @property
    def instance(self) -> str:
        """Return the id of the instance, which usually changes with each crash."""
        if self.fixed_instance:
            return self.fixed_instance
        suffix = f"-{self.incarnation}" if self.incarnation > 1 else ""
        return f"i-{self.name}{suffix}"

    async def crash(self) -> None:
        """End the instance with all its requests; start a new one after `restart_s`."""
        self.server.close()
        self.incarnation += 1
        await asyncio.sleep(self.restart_s)
        await self.serve()
        await self.heartbeat()

    async def heartbeat(self, state: str = "ready") -> int:
        """Send a heartbeat of the instance and return the status of the answer."""
        self.sequence += 1
        content = {
            "service": self.service,
            "address": f"127.0.0.1:{self.ports['app']}",
            "zone": "pos-a",
            "version": self.version,
            "slots": self.n_slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.incarnation,
        }
        path = f"/Instances.Heartbeat/{self.instance}"
        body = json.dumps(content).encode()
        return (await self.fetch("control_plane", "POST", path, body))[0]

    async def fetch(self, port, method, path, body=b"", headers=()):
        """Send one request to a port and return the status, headers and body."""
        fetcher = Fetcher("127.0.0.1", self.ports[port], 5000)
        try:
            response = await fetcher.fetch(method, path, body, headers)
        except (OSError, TimeoutError, ConnectionLostError):
            return 0, (), b""
        finally:
            fetcher.close()
        return response.status, response.headers, response.body

    async def call(self, path="/logs/1", request_id="call-1", timeout_ms=3000):
        """Send one client request to this VM's daemon; return the status and body."""
        headers = (
            (b"host", b"maps.example"),
            (b"x-request-id", request_id.encode()),
            (b"x-request-timeout-ms", b"%d" % timeout_ms),
            (b"x-caller-service", b"forged"),
        )
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.ports["outbound"]
        )
        lines = [f"GET {path} HTTP/1.1".encode()]
        lines += [name + b": " + value for name, value in headers]
        lines += [b"connection: close", b"", b""]
        writer.write(b"\r\n".join(lines))
        try:
            received = await reader.read()
        except ConnectionError:
            return 0, b""
        finally:
            writer.close()
        head, _, content = received.partition(b"\r\n\r\n")
        return (int(head.split()[1]) if head else 0), content

    async def _handle(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        self.received_headers.append(headers)
        self.arrived_s.append(asyncio.get_running_loop().time())
        await exchange.body.read_all(1_000_000)
        if self.poison_path and exchange.request.path == self.poison_path:
            self.n_poison_runs += 1
            await asyncio.sleep(CRASH_DELAY_S)
            # A task of its own, as the request's connection is closed by the crash.
            self.crash_task = asyncio.create_task(self.crash())
            return
        await asyncio.sleep(self.work_s)
        signature = ((b"x-response-signature", b"s"),) if self.is_signing else ()
        answer = (
            (b"x-request-id", header_value(headers, b"x-request-id")),
            *signature,
            *self.stated_headers,
        )
        await exchange.respond(self.status, answer, self.name.encode())


class Mesh:
    """A stand-in of the store and some VMs."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = StoreStandIn()
        self.address = ""
        self.vms: list[Vm] = []
        self.bounds = BOUNDS

    async def add(self, name: str, service: str, version: str = "v1") -> Vm:
        """Start a VM and wait until its daemon has accepted a heartbeat."""
        vm = Vm(name, service, self.folder, self.address, bounds=self.bounds)
        vm.version = version
        await vm.serve()
        self.vms.append(vm)
        vm.start_daemon()
        await wait_until(lambda: self._announce(vm), f"{name} accepts heartbeats")
        return vm

    async def wait_until_ready(self) -> None:
        """Wait until every daemon is ready and has discovered every instance."""
        for vm in self.vms:
            await wait_until(lambda vm=vm: is_ready(vm), f"{vm.name} is ready")
            await wait_until(
                lambda vm=vm: self._knows_all(vm), f"{vm.name} knows all instances"
            )

    async def _announce(self, vm: Vm) -> bool:
        return await vm.heartbeat() == 200

    async def _knows_all(self, vm: Vm) -> bool:
        _, _, body = await vm.fetch("operators", "GET", "/v1/status")
        members = json.loads(body)["members"]
        known = {target["name"] for each in members for target in each["targets"]}
        return known >= {f"i-{each.name}" for each in self.vms}

    def close(self) -> None:
        """Stop everything that was started."""
        for vm in self.vms:
            with contextlib.suppress(ProcessLookupError):
                vm.process.kill()
            vm.process.wait()
        for vm in self.vms:
            vm.server.close()
        self.store.close()


async def wait_until(condition, what: str) -> None:
    """Wait for a condition, or raise a TimeoutError that names it after 20 s."""
    deadline_s = asyncio.get_running_loop().time() + 20
    while not await condition():
        if asyncio.get_running_loop().time() > deadline_s:
            raise TimeoutError(what)
        await asyncio.sleep(0.05)


async def is_ready(vm: Vm) -> bool:
    """Return whether a daemon reports that it is ready."""
    return (await vm.fetch("ready", "GET", "/readiness"))[0] == 200


def with_mesh(test):
    """Run a test with an empty mesh on a stand-in of the store."""

    def run(tmp_path):
        async def scenario():
            mesh = Mesh(tmp_path)
            mesh.address = await mesh.store.listen()
            try:
                async with asyncio.timeout(60):
                    await test(mesh)
            finally:
                mesh.close()

        asyncio.run(scenario())

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


__all__ = ["Mesh", "Vm", "is_ready", "wait_until", "with_mesh"]
