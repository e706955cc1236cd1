"""The last hop to a target that may answer wrongly, late, twice or not at all."""

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
    body=b"ok", status="200 OK", request_id="call-1", signed=True
) -> bytes:
    """Return the bytes of an answer to a request with an id."""
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n"
    if request_id:
        head += f"x-request-id: {request_id}\r\n"
    if signed:
        head += "x-signature: s\r\n"
    return head.encode() + b"\r\n" + body


def answering(*answers: bytes):
    """Return an answer of fixed bytes, another one for each request."""
    waiting = list(answers)

    async def answer(target, writer, head):
        writer.write(waiting.pop(0) if len(waiting) > 1 else waiting[0])

    return answer


def in_mesh(**route):
    """Run a test with a mesh whose targets speak the names above."""

    def decorate(test):
        async def scenario():
            async with Mesh(options=OPTIONS, service="maps", **route) as mesh:
                await asyncio.wait_for(test(mesh), 15)

        def run():
            asyncio.run(scenario())

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return decorate


@in_mesh()
async def test_target_learns_who_calls_and_for_how_long(mesh):
    """A caller states a false service and names another target."""
    target = await mesh.add("a", answering(answer_bytes()))
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
    (left,) = [line for line in lines if line.startswith(b"x-timeout: ")]
    assert 0 < int(left.split()[1]) <= 700
    assert head.lower().count(b"x-caller") == 1


@in_mesh(is_idempotent=False)
async def test_late_answer_to_an_earlier_request_is_skipped(mesh):
    """A second answer to the last request arrives where the next is expected.

    Passed on, one caller would get what was meant for another.
    """
    late = answer_bytes(b"other", request_id="call-0")
    await mesh.add("a", answering(late + answer_bytes(b"mine")))
    response = await mesh.call(headers=(ID,))
    assert (response.status, response.body) == (200, b"mine")


@in_mesh(is_idempotent=False)
async def test_connection_with_surplus_bytes_is_not_used_again(mesh):
    """A target sends one more answer behind a whole one."""
    surplus = answer_bytes() + answer_bytes(b"surplus")
    target = await mesh.add("a", answering(surplus, answer_bytes(b"second")))
    assert (await mesh.call(headers=(ID,))).body == b"ok"
    assert (await mesh.call(headers=(ID,))).body == b"second"
    assert len(target.writers) == 2


@in_mesh(is_idempotent=False)
async def test_refusal_of_the_target_promises_that_nothing_ran(mesh):
    """The target refuses a booking and says that it did not run."""
    refusal = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
    await mesh.add("a", answering(refusal))
    response = await mesh.call(headers=(ID,))
    assert status_and_run(response) == (503, RunStatus.NO)
    value = dict(response.headers)[b"retry-after"]
    assert b"." in value


@in_mesh(is_idempotent=False)
async def test_address_that_went_to_another_target_gets_nothing_done(mesh):
    """A target ended and its address belongs to another one, which says so."""
    other = b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n"
    await mesh.add("a", answering(other))
    assert status_and_run(await mesh.call(headers=(ID,))) == (503, RunStatus.NO)


@pytest.mark.parametrize(
    "bad",
    [
        answer_bytes(signed=False),
        answer_bytes(request_id=""),
        answer_bytes().replace(b"\r\n\r\n", b"\r\ncontent-encoding: gzip\r\n\r\n"),
        answer_bytes(b"half")[:-2],
    ],
    ids=["unsigned", "without an id", "encoded", "cut"],
)
def test_success_that_is_not_the_targets_own_is_asked_for_elsewhere(bad):
    """A target spoils its answer to a request that may run twice."""

    async def cut(target, writer, head):
        writer.write(bad)
        await writer.drain()
        writer.close()

    async def scenario():
        async with Mesh(options=OPTIONS, is_idempotent=True) as mesh:
            bad_target = await mesh.add("a", cut)
            await mesh.add("b", answering(answer_bytes(b"good")))
            for _ in range(6):
                response = await mesh.call(headers=(ID,))
                assert (response.status, response.body) == (200, b"good")
            assert bad_target.heads

    asyncio.run(asyncio.wait_for(scenario(), 15))


@in_mesh(is_idempotent=False)
async def test_spoilt_answer_to_a_booking_promises_nothing(mesh):
    """The same for a request that must not run twice: nobody knows."""
    await mesh.add("a", answering(answer_bytes(signed=False)))
    await mesh.add("b", answering(answer_bytes(signed=False)))
    assert status_and_run(await mesh.call(headers=(ID,))) == (502, RunStatus.UNKNOWN)
    assert sum(len(target.heads) for target in mesh.raw.values()) == 1


@in_mesh(is_idempotent=True)
async def test_failure_of_one_target_is_answered_by_another(mesh):
    """A target fails some requests and is healthy otherwise."""
    failing = answer_bytes(b"broken", "500 Error")
    await mesh.add("a", answering(failing))
    await mesh.add("b", answering(answer_bytes(b"good")))
    for _ in range(4):
        assert (await mesh.call(headers=(ID,))).body == b"good"


@in_mesh(is_idempotent=True)
async def test_failure_of_all_targets_reaches_the_caller_as_it_was(mesh):
    failing = answer_bytes(b"broken", "500 Error")
    await mesh.add("a", answering(failing))
    await mesh.add("b", answering(failing))
    response = await mesh.call(headers=(ID,))
    assert (response.status, response.body) == (500, b"broken")


@in_mesh(is_idempotent=True, n_attempts_max=1)
async def test_route_with_one_attempt_is_sent_once(mesh):
    """The operator allows one target for each request of the route."""
    await mesh.add("a", answering(answer_bytes(b"broken", "500 Error")))
    await mesh.add("b", answering(answer_bytes(b"broken", "500 Error")))
    assert (await mesh.call(headers=(ID,))).status == 500
    assert sum(len(target.heads) for target in mesh.raw.values()) == 1


def test_connection_on_which_a_call_was_refused_carries_the_next_one():
    """An instance turns away every second call for some seconds.

    With a new connection for each of these, it would be busy with opening them.
    """
    refusal = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"

    async def run() -> tuple[int, int]:
        async with Mesh(options=OPTIONS) as mesh:
            target = await mesh.add("t1", answering(refusal, refusal, answer_bytes()))
            for _ in range(3):
                response = await mesh.call(headers=(ID,))
            return response.status, len(target.writers)

    assert asyncio.run(run()) == (200, 1)


def test_instance_that_never_answers_costs_each_call_its_own_connection_only():
    """A full instance says nothing, and nothing to what follows on that connection.

    Sent on the same connection, the next call would wait for its whole timeout too,
    though the instance has room for it by then.
    """
    names = replace(NAMES, is_id_echoed=False)

    async def silent_first(target, writer, head) -> None:
        if len(target.writers) == 1:
            await asyncio.sleep(30)
        writer.write(answer_bytes())

    async def run() -> list[int]:
        options = TargetOptions(names, 262_144)
        async with Mesh(options=options, timeout_ms=300, n_attempts_max=1) as mesh:
            await mesh.add("t1", silent_first)
            return [(await mesh.call(headers=(ID,))).status for _ in range(3)]

    assert asyncio.run(run()) == [504, 200, 200]
