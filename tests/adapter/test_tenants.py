"""End-to-end tests of tenants, by the rules of the platform."""

from __future__ import annotations

import asyncio
import contextlib
import signal

from tests.adapter.documents import document, rule
from tests.adapter.mesh import wait_until, with_mesh
from tests.adapter.test_settings import BOUNDS
from tests.link import Link, LinkFault

FAIL_CLOSED = (
    f"{BOUNDS}config_apply_ms = 2500\nrevoke_fail_closed = true\nrevoke_ms = 5000\n"
)
REVOKE_S = 5.0
APPLY_S = 2.5
KEY, OTHER_KEY = b"s3cret-of-atlas", b"s3cret-of-boreal"
ATLAS = {"name": "atlas", "api_keys": [KEY.decode()], "priority": 0}
BOREAL = {"name": "boreal", "api_keys": [OTHER_KEY.decode()]}
NOT_READY = (503, b"the daemon is not ready yet\n")
FORGED = (
    (b"X-Tenant-Id", b"forged"),
    (b"x-TENANT-id", b"forged"),
    (b"X_Tenant_Id", b"forged"),
)


def versions(number: int, *tenants: dict) -> bytes:
    """Return a version with a route for keys and one for anonymous requests."""
    rules = (
        rule("logs", "/logs/", "ledger"),
        rule("open", "/open/", "ledger", allow_anonymous=True),
    )
    return document(number, *rules, tenants=list(tenants))


async def start_pair(mesh, bounds=FAIL_CLOSED, link=None):
    """Start two VMs; the first one may reach the store over a link of its own."""
    mesh.bounds = bounds
    mesh.store.put("op", "config", versions(7, ATLAS, BOREAL))
    address = mesh.address
    if link is not None:
        mesh.address = await link.listen()
    first = await mesh.add("vm-1", "vault")
    mesh.address = address
    second = await mesh.add("vm-2", "ledger")
    await mesh.wait_until_ready()
    return first, second


async def call(vm, key=b"", path="/logs/1", headers=()):
    """Send one request and return the status and the answer's body."""
    keyed = ((b"X-Api-Key", key),) if key else ()
    plain = (b"host", b"maps.example"), (b"x-request-id", b"call-1")
    sent = (*plain, (b"connection", b"close"), *keyed, *headers)
    lines = [f"GET {path} HTTP/1.1".encode()]
    lines += [name + b": " + value for name, value in sent]
    reader, writer = await asyncio.open_connection("127.0.0.1", vm.ports["outbound"])
    writer.write(b"\r\n".join([*lines, b"", b""]))
    received = await reader.read()
    writer.close()
    return int(received.split()[1]), received.partition(b"\r\n\r\n")[2]


def shown_to(vm) -> list[list[bytes]]:
    """Return the values of the tenant's header in each request that arrived."""
    return [
        [value for name, value in headers if name.replace(b"_", b"-") == b"x-tenant-id"]
        for headers in vm.received_headers
    ]


async def live(mesh, for_s) -> None:
    """Wait while the instances send heartbeats to the daemons that run."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + for_s
    while loop.time() < ends_s:
        for vm in mesh.vms:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(vm.heartbeat(), 0.3)
        await asyncio.sleep(min(0.5, max(0.0, ends_s - loop.time())))


async def until_served(vm, key=KEY):
    """Wait until a daemon serves a key."""

    async def is_served() -> bool:
        return (await call(vm, key))[0] == 200

    await wait_until(is_served, f"{vm.name} serves the key")


async def status_after_refusal(vm, key, within_s):
    """Return the first status other than 200, within a time."""
    async with asyncio.timeout(within_s):
        while True:
            status, _ = await call(vm, key)
            if status != 200:
                return status
            await asyncio.sleep(0.05)


@with_mesh
async def test_instance_gets_the_tenant_of_the_key_and_not_the_key(mesh):
    caller, callee = await start_pair(mesh)
    await until_served(caller)
    callee.received_headers.clear()
    assert (await call(caller, KEY, headers=FORGED))[0] == 200
    assert (await call(caller, OTHER_KEY, headers=FORGED))[0] == 200
    assert (await call(caller, path="/open/1", headers=FORGED))[0] == 200
    assert (await call(caller, KEY, path="/open/1", headers=FORGED))[0] == 200
    assert shown_to(callee) == [[b"atlas"], [b"boreal"], [], [b"atlas"]]
    received = str(callee.received_headers)
    assert "s3cret" not in received
    assert "forged" not in received


@with_mesh
async def test_unknown_key_and_missing_key_get_401(mesh):
    caller, callee = await start_pair(mesh)
    await until_served(caller)
    callee.received_headers.clear()
    for key in (b"unknown", b"", KEY + b"x"):
        assert (await call(caller, key))[0] == 401
    assert callee.received_headers == []
    assert (await call(caller, b"unknown", path="/open/1"))[0] == 200


@with_mesh
async def test_added_and_removed_keys_are_in_force_in_time(mesh):
    caller, callee = await start_pair(mesh)
    for vm in (caller, callee):
        await until_served(vm)
    mesh.store.put("op", "config", versions(8, {**BOREAL, "api_keys": ["new-key"]}))
    for vm in (caller, callee):
        assert await status_after_refusal(vm, KEY, APPLY_S) == 401
        assert (await call(vm, b"new-key"))[0] == 200


@with_mesh
async def test_daemon_cut_from_the_store_alone_goes_on_with_keys(mesh):
    """Guards against refused keys where neighbours can prove the version."""
    link = Link(mesh.address)
    caller, callee = await start_pair(mesh, link=link)
    await until_served(caller)
    link.fail(LinkFault.PARTITION)
    statuses = set()
    for _ in range(int(10 * (REVOKE_S + 2))):
        statuses.add((await call(caller, KEY))[0])
        await live(mesh, 0.1)
    assert statuses == {200}
    mesh.store.put("op", "config", versions(8, BOREAL))
    assert await status_after_refusal(caller, KEY, APPLY_S) == 401
    link.close()


@with_mesh
async def test_daemon_cut_from_store_and_others_refuses_keys_after_the_bound(mesh):
    """Guards against a removed key that a daemon out of touch goes on serving."""
    link = Link(mesh.address)
    isolated, other = await start_pair(mesh, link=link)
    for vm in (isolated, other):
        await until_served(vm)
    link.fail(LinkFault.PARTITION)
    other.process.send_signal(signal.SIGSTOP)
    mesh.store.put("op", "config", versions(8, BOREAL))
    await live(mesh, REVOKE_S)
    for key in (KEY, OTHER_KEY, b"unknown", b""):
        assert await call(isolated, key) == NOT_READY
    other.process.send_signal(signal.SIGCONT)
    # The other daemon was paused for longer than the bound.
    assert (await call(other, KEY))[0] in (401, 503)
    link.heal()
    await until_served(isolated, OTHER_KEY)
    assert (await call(isolated, KEY))[0] == 401
    link.close()


@with_mesh
async def test_store_down_for_all_ends_with_503_and_not_401(mesh):
    caller, callee = await start_pair(mesh)
    await until_served(caller)
    mesh.store.status = 503
    await live(mesh, REVOKE_S)
    assert await call(caller, KEY) == NOT_READY
    assert await call(caller, b"unknown") == NOT_READY
    assert (await call(caller, path="/open/1"))[0] == 200
    mesh.store.status = 200
    await until_served(caller)
    await live(mesh, 1.0)
    lines = (mesh.folder / "vm-1.log").read_text()
    assert lines.count("proof_outdated") == lines.count("proof_renewed") == 1
    metrics = (await caller.fetch("metrics", "GET", "/metrics"))[2]
    assert b"pepperstair_calls_unproved_total" in metrics


@with_mesh
async def test_faulty_version_with_a_removed_key_changes_nothing(mesh):
    """Guards against refused keys after a document that no daemon puts in force."""
    caller, callee = await start_pair(mesh)
    for vm in (caller, callee):
        await until_served(vm)
    mesh.store.put("op", "config", versions(8, BOREAL)[:-5])
    await live(mesh, REVOKE_S + 1)
    for vm in (caller, callee):
        assert (await call(vm, KEY))[0] == 200


@with_mesh
async def test_without_the_bound_a_daemon_without_store_serves_its_keys(mesh):
    caller, callee = await start_pair(mesh, BOUNDS)
    await until_served(caller)
    mesh.store.status = 503
    await live(mesh, REVOKE_S)
    assert (await call(caller, KEY))[0] == 200
    assert (await call(caller, b"unknown"))[0] in (401, 503)


@with_mesh
async def test_keys_appear_in_no_log_and_no_report(mesh):
    caller, callee = await start_pair(mesh)
    await until_served(caller)
    await call(caller, b"s3cret-unknown")
    shared = {**BOREAL, "api_keys": [KEY.decode()]}
    mesh.store.put("op", "config", versions(8, ATLAS, shared))
    broken = {"name": "boreal", "api_keys": KEY.decode()}
    mesh.store.put("op", "config", versions(9, ATLAS, broken))
    await asyncio.sleep(1.5)
    shown = b""
    for path in ("/v1/status", "/v1/explain", "/v1/intent/platform", "/v1/burn"):
        shown += (await caller.fetch("operators", "GET", path))[2]
    shown += (await caller.fetch("metrics", "GET", "/metrics"))[2]
    for vm in mesh.vms:
        shown += (mesh.folder / f"{vm.name}.log").read_bytes()
    assert b"version_rejected" in shown
    assert b"s3cret" not in shown
