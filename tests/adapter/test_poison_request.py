"""Tests with requests that crash every instance that runs them, among others."""

from __future__ import annotations

import asyncio
import itertools

from tests.adapter.documents import document
from tests.adapter.mesh import is_ready, wait_until, with_mesh

POISON = "/logs/poison"
N_VMS = 5
# Three crashes identify the poison request; each daemon may have one more in flight.
N_RUNS_MAX = 6
N_ROUNDS = 60


async def start_fleet(mesh):
    """Start `N_VMS` instances of one service, which the poison request crashes."""
    mesh.store.put("op", "config", document(7))
    for index in range(N_VMS):
        vm = await mesh.add(f"vm-{index}", "ledger")
        vm.poison_path = POISON
        vm.work_s = 0.02
    await mesh.wait_until_ready()
    return mesh.vms


async def send_mixed_calls(vms, n_rounds: int, label: str):
    """Send the poison request and three others at once, through each VM in turn."""
    calls = []
    for index, vm in zip(range(n_rounds), itertools.cycle(vms), strict=False):
        calls += [
            asyncio.create_task(
                vm.call(f"/logs/{index}-{item}", f"{label}{index}{item}")
            )
            for item in range(3)
        ]
        calls.append(asyncio.create_task(vm.call(POISON, f"{label}{index}p")))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*calls)


def n_poison_runs(vms) -> int:
    """Return how often instances have begun to run the poison request."""
    return sum(vm.n_poison_runs for vm in vms)


def kill_daemons(vms) -> None:
    """Kill every daemon."""
    for vm in vms:
        vm.process.kill()
        vm.process.wait()


async def wait_for_quarantine_row(mesh) -> str:
    """Wait until the row of the quarantined request is written; return its key."""

    def keys() -> list[str]:
        return [key for key in mesh.store.keys("members") if key.startswith("quaran")]

    async def is_written() -> bool:
        return bool(keys())

    await wait_until(is_written, "the quarantine row is written")
    (key,) = keys()
    return key


@with_mesh
async def test_request_that_crashes_targets_is_quarantined(mesh):
    """Guards against a poison request that crashes one target after another."""
    vms = await start_fleet(mesh)
    await send_mixed_calls(vms, N_ROUNDS, "a")
    assert n_poison_runs(vms) <= N_RUNS_MAX
    answers = [await vm.call(f"/logs/after-{vm.name}") for vm in vms]
    assert [status for status, _ in answers] == [200] * N_VMS


@with_mesh
async def test_quarantine_survives_a_restart_of_every_daemon(mesh):
    """Guards against a quarantine that is lost when all daemons are killed.

    The restarted daemons would identify the request again only by further crashes.
    """
    vms = await start_fleet(mesh)
    await send_mixed_calls(vms, N_ROUNDS // 2, "a")
    n_runs_before = n_poison_runs(vms)
    assert n_runs_before <= N_RUNS_MAX
    await wait_for_quarantine_row(mesh)
    kill_daemons(vms)
    for vm in vms:
        vm.start_daemon()
    for vm in vms:
        await wait_until(lambda vm=vm: is_ready(vm), f"{vm.name} is ready")
        await vm.heartbeat()
    await send_mixed_calls(vms, N_ROUNDS // 2, "b")
    assert n_poison_runs(vms) == n_runs_before
    answers = [await vm.call(f"/logs/after-{vm.name}") for vm in vms]
    assert [status for status, _ in answers] == [200] * N_VMS


@with_mesh
async def test_partitioned_daemon_reads_the_quarantine_from_the_platform(mesh):
    """Guards against one more round of crashes on each side of a partition."""
    first = await start_fleet(mesh)
    await send_mixed_calls(first, N_ROUNDS // 2, "a")
    key = await wait_for_quarantine_row(mesh)
    quarantine_row = mesh.store.rows["members", key]
    kill_daemons(first)
    mesh.store.rows.clear()
    mesh.store.put("op", "config", document(7))
    alone = await mesh.add("alone", "ledger")
    alone.poison_path = POISON
    mesh.store.rows["members", key] = quarantine_row
    await wait_until(lambda: is_ready(alone), "the daemon is ready")
    assert (await alone.call("/logs/1"))[0] == 200
    await send_mixed_calls([alone], N_ROUNDS // 2, "b")
    assert alone.n_poison_runs == 1
