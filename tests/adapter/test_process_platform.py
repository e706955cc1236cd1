"""Real daemons on a stand-in of the platform: the whole path."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from benchmarks.fleet import free_port
from pepperstair_http import (
    ConnectionLostError,
    Exchange,
    Fetcher,
    HttpServer,
    ServerLimits,
    header_value,
)
from tests.adapter.documents import document, rule
from tests.adapter.store_stand_in import StoreStandIn
from tests.adapter.test_settings import filled

ROOT = Path(__file__).parent.parent.parent
LONG_WORK_S = 1.0


@dataclass
class Vm:
    """One VM: its instance, the daemon beside it and their ports."""

    name: str
    service: str
    folder: Path
    store: str
    n_slots: int = 4
    ports: dict[str, int] = field(default_factory=dict)
    heads: list = field(default_factory=list)
    sequence: int = 0
    process: subprocess.Popen | None = None
    work_s: float = 0.0

    def start_daemon(self) -> None:
        """Start the daemon on the settings that the platform would place."""
        names = ("outbound", "ready", "control_plane")
        for name in (*names, "peers", "operators", "metrics"):
            self.ports.setdefault(name, free_port())
        text = filled(
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
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(text)
        environment = {**os.environ, "PEPPERSTAIR_BOOT": str(settings)}
        with settings.with_suffix(".log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "pepperstair_adapter"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def serve(self) -> HttpServer:
        """Run the instance."""
        server = HttpServer(self._handle, ServerLimits())
        self.ports["app"] = await server.listen("127.0.0.1", 0)
        return server

    async def heartbeat(self, state: str = "ready") -> int:
        """Announce the instance and return the status of the answer."""
        self.sequence += 1
        beat = {
            "service": self.service,
            "address": f"127.0.0.1:{self.ports['app']}",
            "zone": "pos-a",
            "version": "v1",
            "slots": self.n_slots,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": 1,
        }
        path = f"/Instances.Heartbeat/i-{self.name}"
        body = json.dumps(beat).encode()
        return (await self.fetch("control_plane", "POST", path, body))[0]

    async def fetch(self, port, method, path, body=b"", headers=()):
        """Send one request to a port and return status, headers and body."""
        fetcher = Fetcher("127.0.0.1", self.ports[port], 5000)
        try:
            got = await fetcher.fetch(method, path, body, headers)
        except (OSError, TimeoutError, ConnectionLostError):
            return 0, (), b""
        finally:
            fetcher.close()
        return got.status, got.headers, got.body

    async def call(self, path="/logs/1", request_id="call-1", timeout_ms=3000):
        """Send one request of a client of this VM."""
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
            answered = await reader.read()
        except ConnectionError:
            return 0, b""
        finally:
            writer.close()
        head, _, content = answered.partition(b"\r\n\r\n")
        return (int(head.split()[1]) if head else 0), content

    async def _handle(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        self.heads.append(headers)
        await exchange.body.read_all(1_000_000)
        await asyncio.sleep(self.work_s)
        answer = (
            (b"x-request-id", header_value(headers, b"x-request-id")),
            (b"x-response-signature", b"s"),
        )
        await exchange.respond(200, answer, self.name.encode())


class Mesh:
    """A store stand-in and some VMs."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = StoreStandIn()
        self.address = ""
        self.vms: list[Vm] = []
        self.servers: list[HttpServer] = []

    async def add(self, name: str, service: str) -> Vm:
        """Start a VM whose instance has announced itself."""
        vm = Vm(name, service, self.folder, self.address)
        self.servers.append(await vm.serve())
        self.vms.append(vm)
        vm.start_daemon()
        await until(lambda: self._announce(vm), f"{name} takes heartbeats")
        return vm

    async def ready(self) -> None:
        """Wait until every daemon is ready and knows every instance."""
        for vm in self.vms:
            await until(lambda vm=vm: is_ready(vm), f"{vm.name} is ready")
            await until(lambda vm=vm: self._knows_all(vm), f"{vm.name} knows all")

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
        for server in self.servers:
            server.close()
        self.store.close()


async def until(condition, what: str) -> None:
    """Wait for a condition, or raise TimeoutError that names it."""
    deadline_s = asyncio.get_running_loop().time() + 20
    while not await condition():
        if asyncio.get_running_loop().time() > deadline_s:
            raise TimeoutError(what)
        await asyncio.sleep(0.05)


async def is_ready(vm: Vm) -> bool:
    """Return whether a daemon tells the platform that it is ready."""
    return (await vm.fetch("ready", "GET", "/readiness"))[0] == 200


def on_platform(test):
    """Run a test with an empty mesh on a stand-in store."""

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


@on_platform
async def test_request_goes_through_two_daemons_to_an_instance(mesh):
    mesh.store.put("op", "config", document(7))
    caller = await mesh.add("vm-1", "vault")
    beside = await mesh.add("vm-2", "ledger")
    await mesh.ready()
    assert await caller.call() == (200, b"vm-2")
    (headers,) = beside.heads
    assert header_value(headers, b"x-caller-service") == b"vault"
    assert header_value(headers, b"x-expected-instance") == b"i-vm-2"
    assert 0 < int(header_value(headers, b"x-request-timeout-ms")) <= 800
    assert (await caller.call("/none/1"))[0] == 404
    assert mesh.store.keys("members") == ["member/vm-1", "member/vm-2"]
    status, _, metrics = await caller.fetch("metrics", "GET", "/metrics")
    assert status == 200 and b"pepperstair_calls_total" in metrics


@on_platform
async def test_new_version_is_in_force_everywhere_and_a_bad_one_nowhere(mesh):
    """The operator writes a new version, then somebody a broken one."""
    mesh.store.put("op", "config", document(7))
    caller = await mesh.add("vm-1", "ledger")
    other = await mesh.add("vm-2", "vault")
    await mesh.ready()
    assert (await caller.call())[1] == b"vm-1"
    mesh.store.put("op", "config", document(9, rule("logs", "/logs/", "vault")))

    async def is_moved() -> bool:
        found = [(await vm.call())[1] for vm in (caller, other)]
        return found == [b"vm-2", b"vm-2"]

    await until(is_moved, "both route by the new version")
    mesh.store.put("op", "config", document(12)[:-7])
    await asyncio.sleep(0.6)
    assert (await caller.call())[1] == b"vm-2"


@on_platform
async def test_daemon_without_any_configuration_refuses_as_not_run(mesh):
    """A daemon starts while the store is away; nobody can tell it the routes.

    An answer that the route does not exist would be false.
    """
    mesh.store.status = 503
    vm = await mesh.add("vm-1", "ledger")
    assert not await is_ready(vm)
    assert (await vm.call())[0] == 503
    mesh.store.status = 200
    mesh.store.put("op", "config", document(7))
    await mesh.ready()
    assert await vm.call() == (200, b"vm-1")


@on_platform
async def test_daemon_that_restarts_while_the_store_is_away_asks_its_neighbours(mesh):
    """The store is down and a daemon is killed and started again."""
    mesh.store.put("op", "config", document(7))
    first = await mesh.add("vm-1", "ledger")
    await mesh.add("vm-2", "ledger")
    await mesh.ready()
    mesh.store.status = 503
    first.process.kill()
    first.process.wait()
    first.start_daemon()
    await until(lambda: is_ready(first), "ready without the store")
    assert (await first.call())[0] == 200


@on_platform
async def test_acknowledged_draining_keeps_new_work_away(mesh):
    """An instance says that it drains; requests go on coming."""
    mesh.store.put("op", "config", document(7))
    leaving = await mesh.add("vm-1", "ledger")
    await mesh.add("vm-2", "ledger")
    await mesh.ready()
    assert await leaving.heartbeat("draining") == 200
    n_before = len(leaving.heads)
    answered = [await leaving.call(request_id=f"r{index}") for index in range(20)]
    assert answered == [(200, b"vm-2")] * 20
    assert len(leaving.heads) == n_before


@on_platform
async def test_acknowledged_farewell_outlives_the_daemon(mesh):
    """An instance says farewell and the daemon beside it is killed. A heartbeat that
    was held up arrives at the next process.

    Its callers would be sent to the instance until it ends under them.
    """
    mesh.store.put("op", "config", document(7))
    leaving = await mesh.add("vm-1", "ledger")
    await mesh.add("vm-2", "ledger")
    await mesh.ready()
    path = "/Instances.Deregister/i-vm-1"
    assert (await leaving.fetch("control_plane", "POST", path))[0] == 200
    leaving.process.kill()
    leaving.process.wait()
    leaving.start_daemon()

    async def is_acknowledged() -> bool:
        return await leaving.heartbeat() == 200

    await until(is_acknowledged, "the new process takes heartbeats")
    await until(lambda: is_ready(leaving), "the new process is ready")
    n_before = len(leaving.heads)
    answered = [await leaving.call(request_id=f"r{index}") for index in range(20)]
    assert {body for status, body in answered if status == 200} <= {b"vm-2"}
    assert len(leaving.heads) == n_before


@pytest.mark.parametrize("on_side", ["caller", "instance"])
def test_stopped_daemon_finishes_what_it_has(tmp_path, on_side):
    """The platform stops a daemon while requests run through it.

    They get their answers, those that come in the next two seconds too, and the
    process ends by itself before it would be killed.
    """

    async def scenario(mesh):
        long_rule = rule("logs", "/logs/", "ledger", action={"timeout_ms": 3000})
        mesh.store.put("op", "config", document(7, long_rule))
        caller = await mesh.add("vm-1", "vault")
        beside = await mesh.add("vm-2", "ledger")
        await mesh.ready()
        beside.work_s = LONG_WORK_S
        calls = [
            asyncio.create_task(caller.call(request_id=f"r{index}"))
            for index in range(4)
        ]
        await asyncio.sleep(0.3)
        stopped = caller if on_side == "caller" else beside
        stopped.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        assert not await is_ready(stopped)
        if on_side == "caller":
            assert await caller.call(request_id="late") == (200, b"vm-2")
        assert await asyncio.gather(*calls) == [(200, b"vm-2")] * 4
        ended = asyncio.to_thread(stopped.process.wait, 6)
        assert await ended == 0

    on_platform(scenario)(tmp_path)


@on_platform
async def test_stopped_daemon_answers_what_it_can_not_finish(mesh):
    """The platform stops a daemon while an instance works on a request for long.

    A closed connection would leave the caller without knowing whether it may
    send the request again; the daemon says that nobody knows, just in time.
    """
    long_rule = rule("logs", "/logs/", "ledger", action={"timeout_ms": 30_000})
    mesh.store.put("op", "config", document(7, long_rule))
    vm = await mesh.add("vm-1", "ledger")
    await mesh.ready()
    vm.work_s = 30.0
    calling = asyncio.create_task(vm.call(timeout_ms=30_000))
    await asyncio.sleep(0.3)
    vm.process.send_signal(signal.SIGTERM)
    assert (await asyncio.wait_for(calling, 6))[0] == 504
    assert await asyncio.to_thread(vm.process.wait, 2) == 0


@on_platform
async def test_sighup_cuts_nothing(mesh):
    """The settings file changes and the platform says so by a signal."""
    mesh.store.put("op", "config", document(7))
    vm = await mesh.add("vm-1", "ledger")
    await mesh.ready()
    vm.work_s = 0.5
    running = asyncio.create_task(vm.call())
    await asyncio.sleep(0.2)
    vm.process.send_signal(signal.SIGHUP)
    assert await running == (200, b"vm-1")
    assert vm.process.poll() is None
