"""Tests of instances that state in their answers that they are leaving."""

from __future__ import annotations

import asyncio

from tests.adapter.documents import document
from tests.adapter.mesh import is_ready, wait_until, with_mesh

LEAVING = ((b"server-leaving", b"1"),)
# Time for which requests may still reach an instance that has stated its departure.
DRAIN_S = 2.0


async def start_pair(mesh):
    """Start two VMs with an instance of the same service each."""
    mesh.store.put("op", "config", document(7))
    for name in ("vm-0", "vm-1"):
        await mesh.add(name, "ledger")
    await mesh.wait_until_ready()
    return mesh.vms


async def call_until_answered_by(caller, answering) -> None:
    """Call through a daemon until the given VM's instance has answered."""

    async def is_answered_there() -> bool:
        return await caller.call() == (200, answering.name.encode())

    await wait_until(is_answered_there, f"{answering.name} answers")


async def n_answered_by(callers, answering, n_calls: int = 20) -> int:
    """Send calls through each daemon and return how many reach an instance."""
    n_before = len(answering.arrived_s)
    for index in range(n_calls):
        for caller in callers:
            await caller.call(f"/logs/{index}", f"after-{caller.name}-{index}")
    return len(answering.arrived_s) - n_before


@with_mesh
async def test_instance_that_states_its_leaving_in_answers_gets_no_more_requests(mesh):
    """Guards against requests to an instance whose heartbeats still say ready."""
    leaving, other = await start_pair(mesh)
    leaving.stated_headers = LEAVING
    await call_until_answered_by(other, leaving)
    await leaving.heartbeat()
    await asyncio.sleep(DRAIN_S)
    assert await n_answered_by(mesh.vms, leaving) == 0
    assert await other.call() == (200, b"vm-1")


@with_mesh
async def test_stated_leaving_outlives_a_restart_of_the_daemon_beside_it(mesh):
    """Guards against a heartbeat that brings the instance back after a restart."""
    leaving, other = await start_pair(mesh)
    leaving.stated_headers = LEAVING
    await call_until_answered_by(other, leaving)
    await wait_until_departure_is_stored(mesh)
    await restart_daemon(leaving)
    assert await n_answered_by(mesh.vms, leaving) == 0


@with_mesh
async def test_told_daemon_keeps_away_when_the_restarted_one_has_forgotten(mesh):
    """Guards against a statement that is lost when the daemon beside it restarts.

    The store is unavailable, so the restarted daemon can't read the departure.
    """
    leaving, other = await start_pair(mesh)
    leaving.stated_headers = LEAVING
    mesh.store.status = 503
    await call_until_answered_by(other, leaving)
    await restart_daemon(leaving)
    await wait_until_known(other, leaving)
    assert await n_answered_by([other], leaving) == 0


@with_mesh
async def test_instance_that_starts_again_under_its_id_gets_requests(mesh):
    """Guards against a statement that is applied to a later start of the instance."""
    leaving, other = await start_pair(mesh)
    name = leaving.instance
    leaving.stated_headers = LEAVING
    await call_until_answered_by(other, leaving)
    leaving.stated_headers = ()
    leaving.incarnation += 1
    leaving.fixed_instance = name
    leaving.sequence = 0
    await leaving.heartbeat()
    await call_until_answered_by(other, leaving)


async def wait_until_departure_is_stored(mesh) -> None:
    """Wait until the departure of the first VM's instance is written."""

    async def is_stored() -> bool:
        return "departure/vm-0" in mesh.store.keys("members")

    await wait_until(is_stored, "the departure is written")


async def restart_daemon(vm) -> None:
    """Kill a VM's daemon and start it again; its instance announces itself."""
    vm.process.kill()
    vm.process.wait()
    vm.start_daemon()
    await wait_until(lambda: is_listening(vm), "the restarted daemon listens")


async def is_listening(vm) -> bool:
    """Return whether the daemon has accepted a heartbeat of its instance."""
    return await vm.heartbeat() == 200


async def wait_until_known(caller, vm) -> None:
    """Wait until a daemon lists the instance of another VM as serving."""

    async def is_known() -> bool:
        _, _, body = await caller.fetch("operators", "GET", "/v1/status")
        return f"i-{vm.name}".encode() in body and await is_ready(caller)

    await wait_until(is_known, f"{caller.name} knows {vm.name}")
