"""Tests of instances that limit the rate of their requests."""

from __future__ import annotations

import asyncio
import itertools

from tests.adapter.documents import document, rule
from tests.adapter.mesh import is_ready, wait_until, with_mesh

# What the platform allows in any window: the rate times `EXCESS` plus `N_SPARE`.
# Windows that end less than `STABLE_S` after the first statement do not count.
WINDOW_S = 4.0
EXCESS = 1.5
N_SPARE = 5
STABLE_S = 3.0
LIMIT_PER_S = 10
N_CALLS_PER_S = 120
# A refusal takes two hops on a busy machine, and never the time of a queue.
REFUSED_WITHIN_S = 0.4


def limit_header(limit_per_s: float) -> tuple:
    """Return the headers by which an instance states its limit."""
    return ((b"server-limit", b"%g" % limit_per_s),)


def most_in_window(arrived_s, first_end_s: float, n_skipped: int = 0) -> int:
    """Return the most arrivals in a window that ends at `first_end_s` or later."""
    considered = arrived_s[n_skipped:]
    ends = [first_end_s, *(end for end in considered if end > first_end_s)]
    return max(
        sum(end - WINDOW_S < arrived <= end for arrived in considered) for end in ends
    )


def n_allowed(limit_per_s: float) -> float:
    """Return the number of requests that a limit allows in one window."""
    return EXCESS * limit_per_s * WINDOW_S + N_SPARE


async def start_fleet(mesh, n_vms: int = 3):
    """Start VMs with one instance of the same service each."""
    mesh.store.put("op", "config", document(7))
    for index in range(n_vms):
        vm = await mesh.add(f"vm-{index}", "ledger")
        vm.work_s = 0.01
        vm.n_slots = 8
    await mesh.wait_until_ready()
    return mesh.vms


async def send_calls(vms, duration_s: float, label: str):
    """Send calls through each VM in turn; return the status and time of each."""
    loop = asyncio.get_running_loop()

    async def call(vm, request_id):
        started_s = loop.time()
        status, _ = await vm.call(f"/logs/{request_id}", request_id)
        return status, loop.time() - started_s

    calls = []
    heartbeats = asyncio.create_task(send_heartbeats(vms))
    start_s = loop.time()
    for index, vm in zip(itertools.count(), itertools.cycle(vms), strict=False):
        due_s = start_s + index / N_CALLS_PER_S
        if due_s > start_s + duration_s:
            break
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        calls.append(asyncio.create_task(call(vm, f"{label}{index}")))
    answers = await asyncio.gather(*calls)
    heartbeats.cancel()
    return answers


async def send_heartbeats(vms):
    """Send heartbeats of all instances, so that no lease lapses during a test."""
    while True:
        for vm in vms:
            await vm.heartbeat()
        await asyncio.sleep(1.0)


@with_mesh
async def test_limited_instance_gets_no_more_than_its_limit_from_all_daemons(mesh):
    """Guards against daemons that ignore a limit, or each keep it for themselves."""
    vms = await start_fleet(mesh)
    await send_calls(vms, 1.0, "a")
    limited = vms[0]
    limited.stated_headers = limit_header(LIMIT_PER_S)
    stated_s = asyncio.get_running_loop().time()
    answers = await send_calls(vms, 4.5, "b")
    n_most = most_in_window(limited.arrived_s, stated_s + STABLE_S)
    assert n_most <= n_allowed(LIMIT_PER_S)
    # The instances without a limit have room for the rest.
    n_served = sum(status == 200 for status, _ in answers)
    assert n_served >= 0.95 * len(answers)
    assert len(limited.arrived_s) > LIMIT_PER_S


@with_mesh
async def test_call_over_the_only_targets_limit_is_refused_at_once(mesh):
    """Guards against calls that wait for a limited target until their deadline."""
    mesh.store.put("op", "config", document(7, rule("logs", "/logs/", "ledger")))
    limited = await mesh.add("vm-0", "ledger")
    caller = await mesh.add("vm-1", "vault")
    limited.work_s = 0.01
    await mesh.wait_until_ready()
    limited.stated_headers = limit_header(LIMIT_PER_S)
    answers = await send_calls([caller, limited], 2.0, "a")
    refused = [taken_s for status, taken_s in answers if status in (429, 503)]
    assert refused and max(refused) < REFUSED_WITHIN_S
    assert {status for status, _ in answers} <= {200, 429, 503}


@with_mesh
async def test_limit_is_kept_after_a_restart_of_the_daemon_beside_the_instance(mesh):
    """Guards against a burst of calls until the restarted daemon is told the limit."""
    vms = await start_fleet(mesh)
    limited, others = vms[0], vms[1:]
    limited.n_slots = 40
    await limited.heartbeat()
    limited.stated_headers = limit_header(2)
    stated_s = asyncio.get_running_loop().time()
    await send_calls(vms, 2.0, "a")
    limited.work_s = 0.6
    limited.process.kill()
    limited.process.wait()
    limited.start_daemon()
    sending = asyncio.create_task(send_calls(others, 5.0, "b"))
    await wait_until(lambda: is_ready(limited), "the restarted daemon is ready")
    await limited.heartbeat()
    await sending
    n_most = most_in_window(limited.arrived_s, stated_s + STABLE_S)
    assert n_most <= n_allowed(2)


@with_mesh
async def test_lowered_limit_is_kept_and_an_ended_one_is_not(mesh):
    """Guards against a limit that is only read once."""
    vms = await start_fleet(mesh)
    limited = vms[0]
    limited.stated_headers = limit_header(20)
    await send_calls(vms, 1.5, "a")
    limited.stated_headers = limit_header(4)
    lowered_s = asyncio.get_running_loop().time()
    await send_calls(vms, 4.5, "b")
    n_most = most_in_window(limited.arrived_s, lowered_s + STABLE_S)
    assert n_most <= n_allowed(4)
    limited.stated_headers = ()
    await send_calls(vms, 1.0, "c")
    n_before = len(limited.arrived_s)
    await send_calls(vms, 1.0, "d")
    assert len(limited.arrived_s) - n_before > 20


@with_mesh
async def test_limit_is_kept_while_the_other_instances_are_full(mesh):
    """Guards against a limit that holds only as long as others take the rest."""
    vms = await start_fleet(mesh)
    limited, others = vms[0], vms[1:]
    for other in others:
        # Eight slots of 0.4 s each: forty requests a second for both instances.
        other.work_s = 0.4
    limited.stated_headers = limit_header(LIMIT_PER_S)
    stated_s = asyncio.get_running_loop().time()
    answers = await send_calls(vms, 6.0, "a")
    n_most = most_in_window(limited.arrived_s, stated_s + STABLE_S)
    assert n_most <= n_allowed(LIMIT_PER_S)
    assert {status for status, _ in answers} & {429, 503}
    assert len(limited.arrived_s) > LIMIT_PER_S
