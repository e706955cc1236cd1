"""Tests of calls to targets that answer wrongly, late, twice or not at all."""

from __future__ import annotations

import asyncio

import pytest
from msgspec.structs import replace

from pepperstair_core.errors import RunStatus
from pepperstair_http import HeaderNames
from pepperstair_targets import TargetOptions
from tests.call_mesh import Mesh, status_and_run

NAMES = HeaderNames(
    timeout_ms=b"x-timeout",
    idempotent=b"",
    caller_service=b"x-caller",
    expected_target=b"x-expected",
    not_run=b"x-not-run",
    signature=b"x-signature",
    is_id_echoed=True,
    has_retry_after_fractions=True,
)
OPTIONS = TargetOptions(NAMES, 262_144)
ID = (b"x-request-id", b"call-1")


def answer_bytes(
    body=b"ok", status="200 OK", request_id="call-1", is_signed=True
) -> bytes:
    """Return the bytes of an HTTP answer that echoes a request id."""
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n"
    if request_id:
        head += f"x-request-id: {request_id}\r\n"
    if is_signed:
        head += "x-signature: s\r\n"
    return head.encode() + b"\r\n" + body


def answering_with(*answers: bytes):
    """Return an answer function that sends the given answers in turn.

    The last one is repeated.
    """
    remaining = list(answers)

    async def answer(target, writer, head):
        writer.write(remaining.pop(0) if len(remaining) > 1 else remaining[0])

    return answer


def with_mesh(**route):
    """Run a test with a mesh that uses the header names above."""

    def decorate(test):
        async def scenario():
            async with Mesh(options=OPTIONS, service="maps", **route) as mesh:
                await asyncio.wait_for(test(mesh), 15)

        def run():
            asyncio.run(scenario())

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return decorate


@with_mesh()
async def test_target_receives_caller_service_and_remaining_timeout(mesh):
    """A caller forges its service and the expected target in its headers."""
    target = await mesh.add("a", answering_with(answer_bytes()))
    headers = (
        ID,
        (b"x-caller", b"forged"),
        (b"x-expected", b"b"),
        (b"x-timeout", b"700"),
    )
    response = await mesh.call(headers=headers)
    assert response.status == 200
    (head,) = target.heads
    lines = head.lower().split(b"\r\n")
    assert b"x-caller: maps" in lines and b"x-expected: a" in lines
    (timeout_line,) = [line for line in lines if line.startswith(b"x-timeout: ")]
    assert 0 < int(timeout_line.split()[1]) <= 700
    assert head.lower().count(b"x-caller") == 1


@with_mesh(is_idempotent=False)
async def test_late_answer_to_an_earlier_request_is_skipped(mesh):
    """A second answer to the previous request arrives in place of the next answer.

    If it were relayed, a caller would receive the answer to another caller's request.
    """
    late = answer_bytes(b"other", request_id="call-0")
    await mesh.add("a", answering_with(late + answer_bytes(b"mine")))
    response = await mesh.call(headers=(ID,))
    assert (response.status, response.body) == (200, b"mine")


@with_mesh(is_idempotent=False)
async def test_connection_with_surplus_bytes_is_not_reused(mesh):
    """A target sends an additional answer after a complete one."""
    surplus = answer_bytes() + answer_bytes(b"surplus")
    target = await mesh.add("a", answering_with(surplus, answer_bytes(b"second")))
    assert (await mesh.call(headers=(ID,))).body == b"ok"
    assert (await mesh.call(headers=(ID,))).body == b"second"
    assert len(target.writers) == 2


@with_mesh(is_idempotent=False)
async def test_refusal_of_the_target_is_reported_as_not_run(mesh):
    """The target refuses a booking and states that it did not run."""
    refusal = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
    await mesh.add("a", answering_with(refusal))
    response = await mesh.call(headers=(ID,))
    assert status_and_run(response) == (503, RunStatus.NO)
    value = dict(response.headers)[b"retry-after"]
    assert b"." in value


@with_mesh(is_idempotent=False)
async def test_address_taken_over_by_another_target_is_reported_as_not_run(mesh):
    """A target has exited, and the new target at its address answers 421."""
    other = b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n"
    await mesh.add("a", answering_with(other))
    assert status_and_run(await mesh.call(headers=(ID,))) == (503, RunStatus.NO)


@pytest.mark.parametrize(
    "bad",
    [
        answer_bytes(is_signed=False),
        answer_bytes(request_id=""),
        answer_bytes().replace(b"\r\n\r\n", b"\r\ncontent-encoding: gzip\r\n\r\n"),
        answer_bytes(b"half")[:-2],
    ],
    ids=["unsigned", "without an id", "encoded", "cut"],
)
def test_invalid_success_of_an_idempotent_request_is_retried_elsewhere(bad):
    """A target sends an invalid or truncated answer to an idempotent request."""

    async def send_invalid_answer(target, writer, head):
        writer.write(bad)
        await writer.drain()
        writer.close()

    async def scenario():
        async with Mesh(options=OPTIONS, is_idempotent=True) as mesh:
            bad_target = await mesh.add("a", send_invalid_answer)
            await mesh.add("b", answering_with(answer_bytes(b"good")))
            for _ in range(6):
                response = await mesh.call(headers=(ID,))
                assert (response.status, response.body) == (200, b"good")
            assert bad_target.heads

    asyncio.run(asyncio.wait_for(scenario(), 15))


@with_mesh(is_idempotent=False)
async def test_invalid_answer_to_a_booking_is_reported_as_unknown(mesh):
    """After an invalid answer, it is unknown whether a non-idempotent request ran."""
    await mesh.add("a", answering_with(answer_bytes(is_signed=False)))
    await mesh.add("b", answering_with(answer_bytes(is_signed=False)))
    assert status_and_run(await mesh.call(headers=(ID,))) == (502, RunStatus.UNKNOWN)
    assert sum(len(target.heads) for target in mesh.raw.values()) == 1


@with_mesh(is_idempotent=True)
async def test_failure_of_one_target_is_retried_on_another(mesh):
    """A target fails some requests and is otherwise healthy."""
    failing = answer_bytes(b"broken", "500 Error")
    await mesh.add("a", answering_with(failing))
    await mesh.add("b", answering_with(answer_bytes(b"good")))
    for _ in range(4):
        assert (await mesh.call(headers=(ID,))).body == b"good"


@with_mesh(is_idempotent=True)
async def test_failure_of_all_targets_is_relayed_unchanged(mesh):
    failing = answer_bytes(b"broken", "500 Error")
    await mesh.add("a", answering_with(failing))
    await mesh.add("b", answering_with(failing))
    response = await mesh.call(headers=(ID,))
    assert (response.status, response.body) == (500, b"broken")


@with_mesh(is_idempotent=True, n_attempts_max=1)
async def test_route_with_one_attempt_is_sent_once(mesh):
    """The route allows one attempt for each request."""
    await mesh.add("a", answering_with(answer_bytes(b"broken", "500 Error")))
    await mesh.add("b", answering_with(answer_bytes(b"broken", "500 Error")))
    assert (await mesh.call(headers=(ID,))).status == 500
    assert sum(len(target.heads) for target in mesh.raw.values()) == 1


def test_connection_is_reused_after_a_refusal():
    """A target refuses every second call for some seconds.

    With a connection for each refusal, the target would be busy opening connections.
    """
    refusal = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"

    async def run() -> tuple[int, int]:
        async with Mesh(options=OPTIONS) as mesh:
            target = await mesh.add(
                "t1", answering_with(refusal, refusal, answer_bytes())
            )
            for _ in range(3):
                response = await mesh.call(headers=(ID,))
            return response.status, len(target.writers)

    assert asyncio.run(run()) == (200, 1)


def test_connection_is_not_reused_after_a_timeout():
    """A full target never answers a request, nor any later one on that connection.

    On the same connection, the next call would wait for its whole timeout too, though
    the target has free capacity by then.
    """
    names = replace(NAMES, is_id_echoed=False)

    async def hang_on_first_connection(target, writer, head) -> None:
        if len(target.writers) == 1:
            await asyncio.sleep(30)
        writer.write(answer_bytes())

    async def run() -> list[int]:
        options = TargetOptions(names, 262_144)
        async with Mesh(options=options, timeout_ms=300, n_attempts_max=1) as mesh:
            await mesh.add("t1", hang_on_first_connection)
            return [(await mesh.call(headers=(ID,))).status for _ in range(3)]

    assert asyncio.run(run()) == [504, 200, 200]
