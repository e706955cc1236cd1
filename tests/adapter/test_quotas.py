"""Tests of quotas over several daemons, as processes."""

from __future__ import annotations

import asyncio
import itertools
import json

from pepperstair_core.quota import owner_of
from tests.adapter.documents import document
from tests.adapter.mesh import wait_until, with_mesh

RATE_PER_S = 20
BURST = 10
N_CALLS_PER_S = 90
TENANTS = [
    {"name": "atlas", "api_keys": ["k-1"], "rate_per_s": RATE_PER_S, "burst": BURST},
    {"name": "boreal", "api_keys": ["k-2"]},
]


def n_permitted(duration_s: float) -> float:
    """Return how many requests may run in a time, up to the length of a window."""
    return (RATE_PER_S * duration_s + BURST) * 1.1 + 20


async def call(vm, request_id: str, key: str = "k-1"):
    """Send a request with a key and return the status and headers of the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", vm.ports["outbound"])
    lines = (
        f"GET /logs/{request_id} HTTP/1.1",
        "host: maps.example",
        f"x-request-id: {request_id}",
        "x-request-timeout-ms: 2000",
        f"x-api-key: {key}",
        "connection: close",
    )
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    received = await reader.read()
    writer.close()
    first, *rest = received.partition(b"\r\n\r\n")[0].decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in rest)
    return int(first.split()[1]), headers


async def send_calls(vms, duration_s: float, label: str, key: str = "k-1"):
    """Send calls through each VM in turn and return the answers."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    calls = []
    for index, vm in zip(itertools.count(), itertools.cycle(vms), strict=False):
        due_s = start_s + index / N_CALLS_PER_S
        if due_s > start_s + duration_s:
            break
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        calls.append(asyncio.create_task(call(vm, f"{label}{index}", key)))
    return await asyncio.gather(*calls)


def n_with(answers, status: int) -> int:
    """Return the number of answers with a status."""
    return sum(each == status for each, _ in answers)


async def start_fleet(mesh):
    """Start three VMs and wait until the account's owner grants tokens."""
    mesh.store.put("op", "config", document(7, tenants=TENANTS))
    for index in range(3):
        vm = await mesh.add(f"vm-{index}", "ledger")
        vm.work_s = 0.0
        vm.n_slots = 16
        await vm.heartbeat()
    await mesh.wait_until_ready()
    for vm in mesh.vms:
        await wait_until(lambda vm=vm: is_served(vm), f"{vm.name} serves the account")
    return mesh.vms


async def is_served(vm) -> bool:
    status, _ = await call(vm, "probe")
    await asyncio.sleep(0.2)
    return status == 200


async def keep_alive(vms):
    """Send heartbeats of all instances, so that no lease lapses during a test."""
    while True:
        for vm in vms:
            await vm.heartbeat()
        await asyncio.sleep(0.3)


@with_mesh
async def test_quota_is_kept_wherever_requests_enter(mesh):
    vms = await start_fleet(mesh)
    heartbeats = asyncio.create_task(keep_alive(vms))
    for label, entered in (("all", vms), ("one", vms[:1]), ("other", vms[1:2])):
        n_arrived = sum(len(vm.arrived_s) for vm in vms)
        answers = await send_calls(entered, 3.0, label)
        n_run = n_with(answers, 200)
        assert n_run + n_with(answers, 429) == len(answers)
        assert 0.8 * 3 * RATE_PER_S <= n_run <= n_permitted(3.0)
        assert sum(len(vm.arrived_s) for vm in vms) - n_arrived == n_run
        for status, headers in answers:
            if status == 429:
                assert headers["pepperstair-run"] == "no"
                assert float(headers["retry-after"]) > 0
    unlimited = await send_calls(vms, 1.0, "boreal", "k-2")
    assert n_with(unlimited, 200) == len(unlimited)
    heartbeats.cancel()


@with_mesh
async def test_quota_is_used_again_after_its_owner_was_killed(mesh):
    vms = await start_fleet(mesh)
    heartbeats = asyncio.create_task(keep_alive(vms))
    owner = owner_of("atlas", [vm.name for vm in vms])
    remaining = [vm for vm in vms if vm.name != owner]
    next(vm for vm in vms if vm.name == owner).process.kill()
    for vm in remaining:
        await wait_until(lambda vm=vm: is_lost(vm, owner), f"{vm.name} lost {owner}")
    answers = await send_calls(remaining, 3.0, "after")
    assert 0.6 * 2 / 3 * 3 * RATE_PER_S <= n_with(answers, 200) <= n_permitted(3.0)
    assert n_with(answers, 429) > 0
    heartbeats.cancel()


async def is_lost(vm, name: str) -> bool:
    _, _, body = await vm.fetch("operators", "GET", "/v1/status")
    members = json.loads(body)["members"]
    usable = {each["vm"] for each in members if each["state"] in ("alive", "suspect")}
    return name not in usable
