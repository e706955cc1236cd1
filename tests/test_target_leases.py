"""Leases of targets: what is refused beside a target has been published before."""

from __future__ import annotations

from pepperstair_http import HeaderNames
from pepperstair_targets import TargetOptions
from tests.call_mesh import LEASE_MS, Mesh, http_answer
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


# Requests name their target, so that an answer proves that this target is running.
NAMED_TARGETS = TargetOptions(
    names=HeaderNames(expected_target=b"expected", signature=b"signature")
)


async def answer_signed(target, writer, head):
    """Answer with a signature, as the target itself."""
    writer.write(b"HTTP/1.1 200 OK\r\nsignature: s\r\ncontent-length: 2\r\n\r\nok")


async def answer_misdirected(target, writer, head):
    """Answer as another target that has taken over the address."""
    writer.write(http_answer(status="421 Misdirected Request"))


@on_loop
async def test_target_that_answers_keeps_its_lease_while_heartbeats_are_late():
    """Guards against refused calls for a target that has just answered others."""
    async with Mesh(options=NAMED_TARGETS) as mesh:
        await mesh.add("a", answer_signed)
        published = record_publications(mesh, "a")
        for _ in range(9):
            mesh.skew_ms += LEASE_MS / 3
            assert status_and_run(await mesh.call()) == (200, "yes")
        assert published == []


@on_loop
async def test_call_for_a_target_whose_lease_has_just_lapsed_is_run():
    """Guards against a refusal because a heartbeat came a moment late."""
    async with Mesh(options=NAMED_TARGETS) as mesh:
        await mesh.add("a", answer_signed)
        published = record_publications(mesh, "a")
        mesh.skew_ms += LEASE_MS + 100
        assert status_and_run(await mesh.call()) == (200, "yes")
        assert published == [[], ["a"]]


@on_loop
async def test_target_that_was_silent_for_two_leases_gets_no_calls():
    async with Mesh(options=NAMED_TARGETS) as mesh:
        raw = await mesh.add("a", answer_signed)
        mesh.skew_ms += 2 * LEASE_MS
        assert status_and_run(await mesh.call()) == (503, "no")
        assert raw.heads == []


@on_loop
async def test_answer_of_another_target_at_the_address_renews_no_lease():
    async with Mesh(options=NAMED_TARGETS) as mesh:
        await mesh.add("a", answer_misdirected)
        published = record_publications(mesh, "a")
        mesh.skew_ms += LEASE_MS + 100
        assert status_and_run(await mesh.call()) == (503, "no")
        assert published == [[]]


@on_loop
async def test_answer_after_the_deregistration_does_not_register_the_target_again():
    """Guards against requests to a target whose departure was acknowledged."""

    async def answer_late(target, writer, head):
        mesh.nodes["a"].registry.deregister("a")
        await answer_signed(target, writer, head)

    async with Mesh(options=NAMED_TARGETS) as mesh:
        await mesh.add("a", answer_late)
        published = record_publications(mesh, "a")
        assert status_and_run(await mesh.call()) == (200, "yes")
        assert published == [[]]
        assert status_and_run(await mesh.call()) == (503, "no")


@on_loop
async def test_target_that_was_taken_for_crashed_is_published_by_its_next_heartbeat():
    """Guards against a running target that is excluded after a broken connection."""

    async def break_off(target, writer, head):
        target.is_down = True
        for each in target.writers:
            each.transport.abort()

    async with Mesh() as mesh:
        raw = await mesh.add("a", break_off)
        published = record_publications(mesh, "a")
        assert status_and_run(await mesh.call())[0] == 502
        assert published == [[]]
        raw.is_down, raw.answer = False, answer_signed
        mesh.announce("a")
        assert published == [[], ["a"]]
        assert status_and_run(await mesh.call()) == (200, "yes")
