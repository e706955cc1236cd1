"""Leases of targets: what is refused beside a target has been published before."""

from __future__ import annotations

from tests.call_mesh import LEASE_MS, Mesh
from tests.test_call_failures import on_loop, status_and_run


def record_publications(mesh, name):
    """Return the list to which each change of a registry adds its target names."""
    registry = mesh.nodes[name].registry
    apply, published = registry.on_changed, []

    def publish():
        apply()
        published.append([target.name for target in registry.targets()])

    registry.on_changed = publish
    return published


@on_loop
async def test_lapse_that_refused_a_call_is_published_before_the_renewal():
    """Guards against a refusal after which the record of the VM never changes."""
    async with Mesh() as mesh:
        await mesh.add("a")
        published = record_publications(mesh, "a")
        mesh.skew_ms += LEASE_MS + 1
        assert status_and_run(await mesh.call()) == (503, "no")
        mesh.announce("a")
        assert published == [[], ["a"]]
        assert status_and_run(await mesh.call()) == (200, "yes")


@on_loop
async def test_renewal_of_a_lapsed_lease_publishes_nothing_if_no_call_was_refused():
    async with Mesh() as mesh:
        await mesh.add("a")
        published = record_publications(mesh, "a")
        mesh.skew_ms += LEASE_MS + 1
        mesh.announce("a")
        assert status_and_run(await mesh.call()) == (200, "yes")
        assert published == []
