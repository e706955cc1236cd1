"""What the rest of the fleet learns of an instance that has crashed."""

from __future__ import annotations

import asyncio
import json

from tests.adapter.documents import document, rule
from tests.adapter.mesh import on_platform, until

POISON = "/logs/poison"
# Half of the time for which the last announcement of an instance holds.
HALF_LEASE_S = 3.0


@on_platform
async def test_crash_seen_by_one_daemon_keeps_the_calls_of_all_away(mesh):
    """Guards against callers who are refused until each daemon has failed calls."""
    once = rule("logs", "/logs/", "ledger", action={"attempts": 1})
    mesh.store.put("op", "config", document(7, once))
    crashing, other, caller = [
        await mesh.add(name, service)
        for name, service in (("vm-1", "ledger"), ("vm-2", "ledger"), ("vm-3", "vault"))
    ]
    await mesh.ready()
    crashing.poison_path = POISON
    crashing.restart_s = 30.0
    await until(lambda: _has_crashed(crashing), "the instance has crashed")

    async def is_withdrawn() -> bool:
        _, _, body = await caller.fetch("operators", "GET", "/v1/status")
        members = json.loads(body)["members"]
        return not any(each["targets"] for each in members if each["vm"] == "vm-1")

    async with asyncio.timeout(HALF_LEASE_S):
        await until(is_withdrawn, "the caller's daemon knows")
    calls = [caller.call(f"/logs/{index}", f"r{index}") for index in range(20)]
    assert await asyncio.gather(*calls) == [(200, b"vm-2")] * 20
    assert len(other.heads) >= 20


async def _has_crashed(vm) -> bool:
    await vm.call(POISON, "poison")
    return vm.n_poisoned > 0
