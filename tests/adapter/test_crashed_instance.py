"""Tests that the crash of an instance is propagated to the whole fleet."""

from __future__ import annotations

import asyncio
import json

from tests.adapter.documents import document, rule
from tests.adapter.mesh import wait_until, with_mesh

POISON = "/logs/poison"
# Half of the lease of an instance's last announcement.
HALF_LEASE_S = 3.0


@with_mesh
async def test_crash_detected_by_one_daemon_diverts_the_calls_of_all(mesh):
    """Guards against calls that fail until each daemon itself has seen the crash."""
    once = rule("logs", "/logs/", "ledger", action={"attempts": 1})
    mesh.store.put("op", "config", document(7, once))
    crashed_vm, other, caller = [
        await mesh.add(name, service)
        for name, service in (("vm-1", "ledger"), ("vm-2", "ledger"), ("vm-3", "vault"))
    ]
    await mesh.wait_until_ready()
    crashed_vm.poison_path = POISON
    crashed_vm.restart_s = 30.0
    await wait_until(lambda: _has_crashed(crashed_vm), "the instance has crashed")

    async def is_withdrawn() -> bool:
        _, _, body = await caller.fetch("operators", "GET", "/v1/status")
        members = json.loads(body)["members"]
        return not any(each["targets"] for each in members if each["vm"] == "vm-1")

    async with asyncio.timeout(HALF_LEASE_S):
        await wait_until(is_withdrawn, "the caller's daemon knows no instance on vm-1")
    calls = [caller.call(f"/logs/{index}", f"r{index}") for index in range(20)]
    assert await asyncio.gather(*calls) == [(200, b"vm-2")] * 20
    assert len(other.received_headers) >= 20


async def _has_crashed(vm) -> bool:
    await vm.call(POISON, "poison")
    return vm.n_poison_runs > 0
