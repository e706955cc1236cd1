"""Requests that crash whatever instance runs them, among others that do no harm."""

from __future__ import annotations

import asyncio
import itertools

from tests.adapter.documents import document
from tests.adapter.mesh import is_ready, on_platform, until

POISON = "/logs/poison"
N_VMS = 5
# Three crashes tell which request it is; each daemon may have one more under way.
N_RUNS_MAX = 6
N_ROUNDS = 60


async def serving_fleet(mesh):
    """Start some instances of one service, each of which the poison crashes."""
    mesh.store.put("op", "config", document(7))
    for index in range(N_VMS):
        vm = await mesh.add(f"vm-{index}", "ledger")
        vm.poison_path = POISON
        vm.work_s = 0.02
    await mesh.ready()
    return mesh.vms


async def call_all(vms, n_rounds: int, label: str):
    """Send the poison and other requests at once through each VM in turn."""
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


def n_poisoned(vms) -> int:
    """Return how many instances have begun to run the poison."""
    return sum(vm.n_poisoned for vm in vms)


def kill_all(vms) -> None:
    """End every daemon without a word."""
    for vm in vms:
        vm.process.kill()
        vm.process.wait()


async def kept_row(mesh) -> str:
    """Wait for the row of the quarantined request and return its key."""

    def keys() -> list[str]:
        return [key for key in mesh.store.keys("members") if key.startswith("quaran")]

    async def is_kept() -> bool:
        return bool(keys())

    await until(is_kept, "the quarantine is written")
    (key,) = keys()
    return key


@on_platform
async def test_request_that_crashes_targets_is_kept_from_the_next_ones(mesh):
    """Guards against a request that takes down one target after another."""
    vms = await serving_fleet(mesh)
    await call_all(vms, N_ROUNDS, "a")
    assert n_poisoned(vms) <= N_RUNS_MAX
    answered = [await vm.call(f"/logs/after-{vm.name}") for vm in vms]
    assert [status for status, _ in answered] == [200] * N_VMS


@on_platform
async def test_quarantine_outlives_the_kill_of_every_daemon(mesh):
    """Guards against daemons that start anew and learn by further crashes."""
    vms = await serving_fleet(mesh)
    await call_all(vms, N_ROUNDS // 2, "a")
    n_before = n_poisoned(vms)
    assert n_before <= N_RUNS_MAX
    await kept_row(mesh)
    kill_all(vms)
    for vm in vms:
        vm.start_daemon()
    for vm in vms:
        await until(lambda vm=vm: is_ready(vm), f"{vm.name} is ready")
        await vm.heartbeat()
    await call_all(vms, N_ROUNDS // 2, "b")
    assert n_poisoned(vms) == n_before
    answered = [await vm.call(f"/logs/after-{vm.name}") for vm in vms]
    assert [status for status, _ in answered] == [200] * N_VMS


@on_platform
async def test_daemon_cut_off_from_the_others_learns_from_the_platform(mesh):
    """Guards against one more round of crashes on each side of a partition."""
    first = await serving_fleet(mesh)
    await call_all(first, N_ROUNDS // 2, "a")
    key = await kept_row(mesh)
    kept = mesh.store.rows["members", key]
    kill_all(first)
    mesh.store.rows.clear()
    mesh.store.put("op", "config", document(7))
    alone = await mesh.add("alone", "ledger")
    alone.poison_path = POISON
    mesh.store.rows["members", key] = kept
    await until(lambda: is_ready(alone), "the daemon is ready")
    assert (await alone.call("/logs/1"))[0] == 200
    await call_all([alone], N_ROUNDS // 2, "b")
    assert alone.n_poisoned == 1
