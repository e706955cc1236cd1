"""Tests of rollouts with daemon processes."""

from __future__ import annotations

import asyncio
import itertools
import json

from tests.adapter.documents import document, rule
from tests.adapter.mesh import is_ready, wait_until, with_mesh
from tests.adapter.test_settings import BOUNDS

ROLLOUT_BOUNDS = f"{BOUNDS}expose_share=0.1\nexpose_slack=50\nrollback_ms=5000\n"
N_CALLS_PER_S = 80
DURATION_S = 5
# What the platform allows a bad version: a share of the requests and a slack.
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50


def order(target: str) -> bytes:
    """Return the value of an order's row."""
    content = {"service": "ledger", "target": target, "duration_s": DURATION_S}
    return json.dumps(content).encode()


def read_status(mesh) -> dict:
    """Return the system's answer to the order, empty if there is none yet."""
    value, _ = mesh.store.rows.get(("status", "rollout/ledger"), (b"{}", 0))
    return json.loads(value)


async def start_fleet(mesh):
    """Start instances of two versions of a service beside a caller's VM.

    The order is written before the new version starts.
    """
    mesh.bounds = ROLLOUT_BOUNDS
    routes = rule("logs", "/logs/", "ledger", action={"attempts": 3})
    mesh.store.put("op", "config", document(7, routes))
    caller = await mesh.add("vm-c", "vault")
    old = [await mesh.add(f"vm-{index}", "ledger") for index in range(2)]
    await mesh.wait_until_ready()
    mesh.store.put("op", "rollout/ledger", order("v2"))
    new = [await mesh.add(f"vm-{index}", "ledger", "v2") for index in (2, 3)]
    for vm in (*old, *new):
        vm.work_s = 0.005
    return caller, old, new


async def kill_and_restart(vms):
    """Kill the daemons of all VMs, and start them again."""
    for vm in vms:
        vm.process.kill()
        vm.process.wait()
    for vm in vms:
        vm.start_daemon()
    for vm in vms:
        await wait_until(lambda vm=vm: is_ready(vm), f"{vm.name} is ready")


async def send_until(caller, vms, is_done):
    """Send calls and heartbeats until a condition holds; return the statuses."""
    loop = asyncio.get_running_loop()

    async def keep_alive():
        while True:
            for vm in vms:
                await vm.heartbeat()
            await asyncio.sleep(1.0)

    heartbeats = asyncio.create_task(keep_alive())
    calls = []
    start_s = loop.time()
    for index in itertools.count():
        if is_done() or loop.time() - start_s > 3 * DURATION_S:
            break
        await asyncio.sleep(max(0.0, start_s + index / N_CALLS_PER_S - loop.time()))
        calls.append(asyncio.create_task(caller.call(f"/logs/{index}", f"c{index}")))
    answers = await asyncio.gather(*calls)
    heartbeats.cancel()
    return [status for status, _ in answers]


@with_mesh
async def test_failing_version_is_rolled_back_and_gets_few_requests(mesh):
    """Guards against a bad version that is completed, or exposed beyond the limit."""
    caller, old, new = await start_fleet(mesh)
    for vm in new:
        vm.status = 500
    is_ended = lambda: read_status(mesh).get("state") in ("rolled_back", "completed")
    statuses = await send_until(caller, [caller, *old, *new], is_ended)
    assert read_status(mesh) == {
        "service": "ledger",
        "target": "v2",
        "state": "rolled_back",
    }
    n_exposed = sum(len(vm.arrived_s) for vm in new)
    assert 0 < n_exposed <= EXPOSE_SHARE * len(statuses) + EXPOSE_SLACK
    # The retry budget allows to serve only some of the failed requests elsewhere.
    assert set(statuses) <= {200, 500}
    assert statuses.count(500) < n_exposed
    await send_until(caller, [caller, *old, *new], counting(40))
    assert sum(len(vm.arrived_s) for vm in new) == n_exposed


@with_mesh
async def test_slow_version_is_rolled_back(mesh):
    """Guards against a test of versions that considers failures alone."""
    caller, old, new = await start_fleet(mesh)
    for vm in (*old, *new):
        vm.work_s = 0.08 if vm in new else 0.01
    is_ended = lambda: read_status(mesh).get("state") in ("rolled_back", "completed")
    statuses = await send_until(caller, [caller, *old, *new], is_ended)
    assert read_status(mesh)["state"] == "rolled_back"
    assert set(statuses) == {200}
    n_exposed = sum(len(vm.arrived_s) for vm in new)
    assert n_exposed <= EXPOSE_SHARE * len(statuses) + EXPOSE_SLACK


@with_mesh
async def test_killed_daemons_keep_a_rolled_back_version_out(mesh):
    """Guards against a bad version that gets requests again after a power failure."""
    caller, old, new = await start_fleet(mesh)
    vms = [caller, *old, *new]
    for vm in new:
        vm.status = 500
    is_ended = lambda: read_status(mesh).get("state") in ("rolled_back", "completed")
    await send_until(caller, vms, is_ended)
    assert read_status(mesh)["state"] == "rolled_back"
    n_exposed = sum(len(vm.arrived_s) for vm in new)
    await kill_and_restart(vms)
    statuses = await send_until(caller, vms, counting(160))
    assert sum(len(vm.arrived_s) for vm in new) == n_exposed
    assert statuses[-40:].count(200) == 40


@with_mesh
async def test_later_order_does_not_bring_a_rolled_back_version_back_after_a_kill(mesh):
    """Guards against a bad version that gets requests as its order is forgotten."""
    caller, old, bad = await start_fleet(mesh)
    for vm in bad:
        vm.status = 500
    is_ended = lambda: read_status(mesh).get("state") in ("rolled_back", "completed")
    await send_until(caller, [caller, *old, *bad], is_ended)
    assert read_status(mesh)["state"] == "rolled_back"
    n_exposed = sum(len(vm.arrived_s) for vm in bad)
    mesh.store.put("op", "rollout/ledger", order("v3"))
    vms = [caller, *old, *bad, await mesh.add("vm-4", "ledger", "v3")]
    vms[-1].work_s = 0.005
    is_seen = lambda: read_status(mesh).get("target") == "v3"
    await send_until(caller, vms, is_seen)
    await kill_and_restart(vms)
    statuses = await send_until(caller, vms, counting(320))
    assert sum(len(vm.arrived_s) for vm in bad) == n_exposed
    assert statuses[-200:].count(200) == 200


@with_mesh
async def test_good_version_is_completed_after_the_last_call_on_old_instances(mesh):
    """Guards against calls that are cut off when the old instances are stopped."""
    caller, old, new = await start_fleet(mesh)
    assert sum(len(vm.arrived_s) for vm in new) == 0
    is_ended = lambda: read_status(mesh).get("state") in ("rolled_back", "completed")
    statuses = await send_until(caller, [caller, *old, *new], is_ended)
    n_old = sum(len(vm.arrived_s) for vm in old)
    assert read_status(mesh)["state"] == "completed"
    assert statuses.count(200) >= 0.99 * len(statuses)
    for vm in old:
        vm.server.close()
    statuses = await send_until(caller, [caller, *old, *new], counting(60))
    assert statuses.count(200) == len(statuses)
    assert sum(len(vm.arrived_s) for vm in old) == n_old


@with_mesh
async def test_order_is_answered_as_in_service_when_it_is_seen(mesh):
    """Guards against an operator who can't tell whether an order has arrived."""
    await start_fleet(mesh)

    async def is_in_service():
        return read_status(mesh).get("state") == "in_service"

    await wait_until(is_in_service, "the order is answered")


def counting(n: int):
    """Return a condition that holds after it was asked n times."""
    counter = itertools.count()
    return lambda: next(counter) >= n
