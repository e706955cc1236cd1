"""Calls to a target that states in its answers a rate limit or that it is leaving."""

from __future__ import annotations

import asyncio

import pytest
from msgspec.structs import replace

from pepperstair_core.errors import RunStatus
from pepperstair_targets import TargetOptions
from tests.call_mesh import Mesh, retry_after_ms, status_and_run
from tests.test_last_hop import ID, NAMES, answer_bytes

OPTIONS = TargetOptions(
    replace(NAMES, rate_limit=b"x-limit", leaving=b"x-leaving"), 262_144
)


def with_limit(limit: str, answer: bytes) -> bytes:
    """Return an answer with a header that states a rate limit."""
    return answer.replace(b"\r\n\r\n", f"\r\nx-limit: {limit}\r\n\r\n".encode(), 1)


def answering(answer: bytes, after_s: float = 0.0):
    """Return an answer function that sends the same answer after a time."""

    async def send(target, writer, head):
        await asyncio.sleep(after_s)
        writer.write(answer)

    return send


async def call_at_once(mesh: Mesh, n_calls: int):
    """Send some calls at the same time and return their answers."""
    return await asyncio.gather(*(mesh.call(headers=(ID,)) for _ in range(n_calls)))


def run_with_mesh(scenario, **route) -> None:
    """Run a scenario with a mesh whose targets may state limits."""

    async def run() -> None:
        async with Mesh(options=OPTIONS, **route) as mesh:
            await asyncio.wait_for(scenario(mesh), 15)

    asyncio.run(run())


def test_call_over_the_limit_is_refused_as_not_run_with_a_time_to_come_back():
    async def scenario(mesh):
        target = await mesh.add("a", answering(with_limit("1", answer_bytes())))
        await mesh.call(headers=(ID,))
        refused = await mesh.call(headers=(ID,))
        assert status_and_run(refused) == (429, RunStatus.NO)
        assert 0 < retry_after_ms(refused) <= 1000
        assert len(target.heads) == 1

    run_with_mesh(scenario)


def test_call_over_the_limit_of_one_target_goes_to_another():
    """Guards against refusals to callers while another target has room."""

    async def scenario(mesh):
        limited = await mesh.add("a", answering(with_limit("1", answer_bytes())))
        await mesh.add("b", answering(answer_bytes()))
        answers = [await mesh.call(headers=(ID,)) for _ in range(30)]
        assert {answer.status for answer in answers} == {200}
        assert len(limited.heads) < 6

    run_with_mesh(scenario)


@pytest.mark.parametrize(
    "limiting",
    [
        with_limit("1", answer_bytes(status="500 Error")),
        with_limit("1", answer_bytes(status="503 Busy", is_signed=False)).replace(
            b"\r\n\r\n", b"\r\nx-not-run: 1\r\n\r\n"
        ),
    ],
    ids=["failure", "refusal"],
)
def test_limit_in_an_answer_without_success_counts(limiting):
    """Guards against a limit that is read only from successful answers."""

    async def scenario(mesh):
        target = await mesh.add("a", answering(limiting))
        await mesh.call(headers=(ID,))
        await call_at_once(mesh, 5)
        assert len(target.heads) == 1

    run_with_mesh(scenario, n_attempts_max=1)


@pytest.mark.parametrize("is_signed", [False, True])
def test_limit_of_another_target_at_the_address_does_not_count(is_signed):
    """Guards against the limit of a target that has taken over the address."""
    other = with_limit("1", answer_bytes(status="421 Misdirected", is_signed=is_signed))

    async def scenario(mesh):
        target = await mesh.add("a", answering(other))
        for _ in range(3):
            await mesh.call(headers=(ID,))
        assert len(target.heads) == 3

    run_with_mesh(scenario, n_attempts_max=1)


def test_restarted_daemon_gets_the_limit_with_the_first_call():
    """Guards against a full burst until the restarted daemon reads an answer."""

    async def scenario(mesh):
        slow = answering(with_limit("2", answer_bytes()), 0.2)
        target = await mesh.add("a", slow, n_slots=10)
        await mesh.call(headers=(ID,))
        mesh.restart_daemon("a")
        await call_at_once(mesh, 10)
        assert len(target.heads) <= 1 + 2

    run_with_mesh(scenario)


def test_restarted_target_is_not_held_to_its_earlier_limit():
    """Guards against a limit that outlives the start of the target that stated it."""

    async def scenario(mesh):
        target = await mesh.add("a", answering(with_limit("1", answer_bytes())))
        await call_at_once(mesh, 1)
        node = mesh.nodes["a"]
        node.registry.deregister("a")
        target.answer = answering(answer_bytes())
        mesh.announce("a")
        await call_at_once(mesh, 1)
        answers = await call_at_once(mesh, 2)
        assert [answer.status for answer in answers] == [200, 200]

    run_with_mesh(scenario)


def test_departure_stated_in_an_answer_is_reported_by_both_daemons():
    """Guards against a departure that only one of the two daemons acts on."""
    leaving = answer_bytes().replace(b"\r\n\r\n", b"\r\nx-leaving: 1\r\n\r\n", 1)

    async def scenario(mesh):
        await mesh.add("a", answering(leaving))
        withdrawn = []
        mesh.nodes["a"].runner.on_leaving = withdrawn.append
        for _ in range(2):
            await mesh.call(headers=(ID,))
        assert withdrawn == ["a"]
        assert [endpoint.vm for endpoint in mesh.leaving] == ["a", "a"]

    run_with_mesh(scenario)


def test_refusals_by_limits_do_not_use_up_the_attempts_of_a_route():
    """Guards against refusals to callers while a third target has room."""

    async def scenario(mesh):
        for name in ("a", "b"):
            await mesh.add(name, answering(with_limit("1", answer_bytes())))
        await mesh.add("c", answering(answer_bytes()))
        answers = [await mesh.call(headers=(ID,)) for _ in range(30)]
        assert {answer.status for answer in answers} == {200}

    run_with_mesh(scenario, n_attempts_max=1)
