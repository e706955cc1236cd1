"""Tests of instances that were taken for gone and are there."""

from __future__ import annotations

import asyncio

from tests.adapter.documents import document
from tests.adapter.mesh import wait_until, with_mesh

RETURN_S = 8.0


@with_mesh
async def test_instance_taken_for_another_one_gets_requests_again(mesh):
    """Guards against an exclusion that ends only when the unchanged record changes.

    The instance answers once as if another one had its address.
    """
    mesh.store.put("op", "config", document(7))
    instance = await mesh.add("vm-0", "ledger")
    caller = await mesh.add("vm-1", "vault")
    await mesh.wait_until_ready()
    assert await caller.call() == (200, b"vm-0")
    instance.status, instance.is_signing = 421, False
    assert (await caller.call())[0] == 503
    instance.status, instance.is_signing = 200, True
    async with asyncio.timeout(RETURN_S):
        await wait_until(lambda: is_served(instance, caller), "the instance is used")


async def is_served(instance, caller) -> bool:
    """Renew the lease of the instance, and return whether a request is answered."""
    await instance.heartbeat()
    return (await caller.call())[0] == 200
