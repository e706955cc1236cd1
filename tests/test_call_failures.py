"""Tests of calls through proxy and runner while targets, callers or leases fail."""

from __future__ import annotations

import asyncio
import functools

import pytest
from structlog.testing import capture_logs

from pepperstair_core.calls import GiveUpCause
from pepperstair_core.decisions import DecisionKind
from pepperstair_core.errors import ErrorKind, RunStatus
from pepperstair_core.intent import Policy
from pepperstair_core.members import TargetState
from pepperstair_http import ConnectionLostError
from pepperstair_targets import target_call
from tests.call_mesh import (
    LEASE_MS,
    Mesh,
    answer_ok,
    http_answer,
    retry_after_ms,
    status_and_run,
    wait_until,
)

LARGE_BODY = bytes(200_000)


async def never_answer(target, writer, head):
    """Never answer."""
    await asyncio.Event().wait()


async def abort_before_head(target, writer, head):
    """Abort the connection instead of answering."""
    writer.transport.abort()


async def truncate_body(target, writer, head):
    """Send half of the stated content length and close the connection."""
    writer.write(http_answer(b"half", length=8))
    await writer.drain()
    writer.close()


def answering_with(data: bytes):
    """Return an answer function that sends fixed bytes."""

    async def answer(target, writer, head):
        writer.write(data)

    return answer


def on_loop(test):
    """Run a test on its own event loop, for at most 15 s."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), 15))

    return run


@on_loop
async def test_truncated_answer_is_never_relayed_as_complete():
    """A target crashes in the middle of its answer.

    If the part were relayed as complete, half a music pack would be saved as a
    complete one.
    """

    async with Mesh(is_idempotent=True) as mesh:
        await mesh.add("a", truncate_body)
        with pytest.raises(ConnectionLostError):
            await mesh.call()
        await wait_until(lambda: mesh.outcomes)
        assert len(mesh.raw["a"].heads) == 1
        outcome = mesh.outcomes[0]
        assert (outcome.error, outcome.run) == (ErrorKind.TARGET_FAILED, RunStatus.YES)


@pytest.mark.parametrize("is_idempotent", [False, True])
@on_loop
async def test_call_with_a_lost_answer_is_retried_only_if_idempotent(is_idempotent):
    """A target breaks the connection after it received the request.

    It may have run the request. A booking that is retried could be charged twice;
    reading a schedule again is harmless.
    """

    async with Mesh(is_idempotent=is_idempotent) as mesh:
        for name in ("a", "b"):
            await mesh.add(name, abort_before_head)
        response = await mesh.call(body=b"booking")
        n_runs = sum(len(raw.heads) for raw in mesh.raw.values())
        assert status_and_run(response) == (502, "unknown")
        assert n_runs == (2 if is_idempotent else 1)
        assert mesh.outcomes[0].n_retries == (1 if is_idempotent else 0)
        assert mesh.outcomes[0].run is RunStatus.UNKNOWN


@pytest.mark.parametrize("is_idempotent", [False, True])
@on_loop
async def test_idle_connection_that_the_target_closes_on_the_next_request(
    is_idempotent, monkeypatch
):
    """A target closes an idle connection just as the next request is sent.

    Whether it read the request is unknown, so a non-idempotent one must not be
    reported as not run, and an idempotent one is sent on a new connection.
    """
    # Raised so that the test also passes on a slow machine.
    monkeypatch.setattr(target_call, "STALE_CONNECTION_MAX_MS", 10_000)

    async def close_on_second_request(target, writer, head):
        if target.writers.index(writer) == 0 and len(target.heads) > 1:
            writer.transport.abort()
        else:
            writer.write(http_answer(b"ok"))

    async with Mesh(is_idempotent=is_idempotent) as mesh:
        raw = await mesh.add("a", close_on_second_request)
        assert status_and_run(await mesh.call("GET")) == (200, "yes")
        expected = (200, "yes") if is_idempotent else (502, "unknown")
        assert status_and_run(await mesh.call("GET")) == expected
        assert len(raw.heads) == (3 if is_idempotent else 2)


@on_loop
async def test_request_that_may_have_run_is_not_resent_within_one_attempt():
    """A target runs a request on a reused connection and then loses the answer.

    If the request were sent again on a new connection, it would run a second time,
    which neither the route's attempts nor the retry budget count; a service whose
    answers are lost would get twice the work.
    """

    async def lose_second_answer(target, writer, head):
        if len(target.heads) > 1:
            await asyncio.sleep(2 * target_call.STALE_CONNECTION_MAX_MS / 1000)
            writer.transport.abort()
        else:
            writer.write(http_answer(b"ok"))

    async with Mesh(is_idempotent=True) as mesh:
        raw = await mesh.add("a", lose_second_answer)
        assert status_and_run(await mesh.call("GET")) == (200, "yes")
        assert status_and_run(await mesh.call("GET")) == (502, "unknown")
        assert len(raw.heads) == 2


@on_loop
async def test_target_restarted_between_calls_fails_no_call():
    """A target restarts at the same address while its connections are idle."""

    async with Mesh() as mesh:
        raw = await mesh.add("a")
        await mesh.call()
        raw.writers[0].transport.abort()
        await asyncio.sleep(0.05)
        assert status_and_run(await mesh.call()) == (200, "yes")
        assert len(raw.writers) == 2


@on_loop
async def test_call_to_an_unreachable_target_is_retried_or_reported_as_not_run():
    """A target's process has exited while its lease is still valid.

    Without a retry, the next caller would get an error for a call that can safely be
    sent to another target. If there is none, the answer must state that the call did
    not run.
    """

    async with Mesh() as mesh:
        for name in ("a", "b"):
            await mesh.add(name)
        await mesh.raw["a"].close()
        answers = [await mesh.call(body=b"award") for _ in range(8)]
        assert {status_and_run(answer) for answer in answers} == {(200, "yes")}
        assert any(outcome.n_retries for outcome in mesh.outcomes)
        await mesh.raw["b"].close()
        refused = await mesh.call()
        assert status_and_run(refused) == (503, "no")
        assert retry_after_ms(refused) > 0


@on_loop
async def test_disconnected_caller_frees_the_slot_and_cancels_the_request():
    """A caller disconnects while the target is running its request.

    If the request were not cancelled, its slot would stay occupied for an answer that
    nobody reads; after a few such callers, the target would serve no request.
    """

    async with Mesh() as mesh:
        raw = await mesh.add("a", never_answer, n_slots=1)
        leaving = asyncio.ensure_future(mesh.call())
        await wait_until(lambda: raw.heads)
        waiting = asyncio.ensure_future(mesh.call())
        loads = mesh.nodes["a"].runner.loads
        await wait_until(lambda: loads() == (("a", 1, 1),))
        waiting.cancel()
        await wait_until(lambda: loads() == (("a", 1, 0),))
        leaving.cancel()
        await wait_until(lambda: raw.n_closed == 1)
        await wait_until(lambda: loads() == (("a", 0, 0),))
        kinds = [outcome.error for outcome in mesh.outcomes]
        assert kinds == [ErrorKind.CANCELLED, ErrorKind.CANCELLED]


@on_loop
async def test_draining_target_finishes_its_call_and_refuses_the_others():
    """A target announces that it drains while one call runs and one waits.

    The running call must be answered. The waiting call must be refused as not run at
    once, while its caller still has time to use another target.
    """

    finish = asyncio.Event()

    async def answer(target, writer, head):
        await finish.wait()
        writer.write(http_answer(b"done"))

    async with Mesh() as mesh:
        raw = await mesh.add("a", answer, n_slots=1)
        running = asyncio.ensure_future(mesh.call())
        await wait_until(lambda: raw.heads)
        waiting = asyncio.ensure_future(mesh.call())
        await wait_until(lambda: mesh.nodes["a"].runner.loads() == (("a", 1, 1),))
        mesh.announce("a", TargetState.DRAINING)
        assert status_and_run(await waiting) == (503, "no")
        assert status_and_run(await mesh.call()) == (503, "no")
        finish.set()
        assert status_and_run(await running) == (200, "yes")
        assert len(raw.heads) == 1


@on_loop
async def test_stopping_daemon_refuses_new_calls_and_closes_its_connections():
    """A daemon receives SIGTERM while its callers keep their connections open.

    Without `connection: close`, they could send the next request just as the process
    exits, and would not know whether it ran.
    """

    async with Mesh() as mesh:
        await mesh.add("a")
        mesh.is_draining = mesh.server.is_draining = True
        refused = await mesh.call()
        assert status_and_run(refused) == (503, "no")
        assert (b"connection", b"close") in refused.headers


@on_loop
async def test_call_that_would_outlast_the_stop_is_refused_before_it_runs():
    """Guards against calls that a stopping daemon starts and can't finish."""

    async def answer_late(target, writer, head) -> None:
        await asyncio.sleep(0.2)
        await answer_ok(target, writer, head)

    async with Mesh() as mesh:
        raw = await mesh.add("a", answer_late)
        assert status_and_run(await mesh.call()) == (200, "yes")
        mesh.time_to_stop_ms = 100.0
        assert status_and_run(await mesh.call()) == (503, "no")
        assert len(raw.heads) == 1
        mesh.time_to_stop_ms = 1000.0
        assert status_and_run(await mesh.call()) == (200, "yes")


@on_loop
async def test_slow_target_times_out_as_unknown_and_waiting_calls_as_not_run():
    """A target hangs while one call is running and one is waiting.

    The waiting call has a shorter timeout. It must be refused shortly before that
    expires, not when the slot becomes free.
    """

    async with Mesh(timeout_ms=400) as mesh:
        raw = await mesh.add("a", never_answer, n_slots=1)
        running = asyncio.ensure_future(mesh.call())
        await wait_until(lambda: raw.heads)
        waiting = await mesh.call(headers=((b"pepperstair-timeout-ms", b"100"),))
        assert not running.done()
        assert status_and_run(waiting) == (503, "no")
        assert retry_after_ms(waiting) > 0
        assert status_and_run(await running) == (504, "unknown")
        await wait_until(lambda: raw.n_closed == 1)
        assert mesh.nodes["a"].runner.n_in_flight == 0


@on_loop
async def test_stalled_answer_ends_by_the_idle_timeout(monkeypatch):
    """A target sends half of an answer and then hangs with its connection open.

    Without an idle timeout, the call would hold its caller and its slot indefinitely,
    as the head arrived in time.
    """

    async def send_half(target, writer, head):
        writer.write(http_answer(b"half", length=8))
        await asyncio.Event().wait()

    defaults = (0.05,)
    monkeypatch.setattr(
        "pepperstair_targets.answer_body.AnswerBody.__init__.__defaults__", defaults
    )
    async with Mesh() as mesh:
        await mesh.add("a", send_half)
        with pytest.raises(ConnectionLostError):
            await mesh.call()
        await wait_until(lambda: mesh.nodes["a"].runner.n_in_flight == 0)


@on_loop
async def test_failing_target_that_announces_itself_as_serving_is_ejected():
    """A target announces that it serves and answers every call with 500."""

    policy = Policy("p", "", ejection_errors=3)
    async with Mesh(policy) as mesh:
        broken = http_answer(b"", "500 Internal Server Error")
        failing = await mesh.add("a", answering_with(broken))
        await mesh.add("b")
        for _ in range(40):
            await mesh.call()
        assert len(failing.heads) == 3
        ejected = [
            decision
            for decision in mesh.decisions.find("a")
            if decision.kind is DecisionKind.EJECTED
        ]
        assert len(ejected) == 1


@on_loop
async def test_target_cannot_state_that_a_call_did_not_run():
    """A target answers with headers that only daemons may set.

    A caller that relied on the target's `no` would retry a booking that ran.
    """

    async with Mesh() as mesh:
        data = b"HTTP/1.1 200 OK\r\npepperstair-run: no\r\ncontent-length: 0\r\n\r\n"
        await mesh.add("a", answering_with(data))
        response = await mesh.call()
        names = [name for name, _ in response.headers]
        assert status_and_run(response) == (200, "yes")
        assert names.count(b"pepperstair-run") == 1


@on_loop
async def test_lease_that_lapsed_during_a_pause_refuses_calls_until_renewed():
    """The daemon of a target is paused for longer than the lease.

    When it resumes, calls are in its buffers and its timers have not run yet. The
    target may have exited long ago, and its address may belong to another target.
    """

    async with Mesh() as mesh:
        raw = await mesh.add("a")
        mesh.skew_ms += LEASE_MS + 1
        assert status_and_run(await mesh.call()) == (503, "no")
        assert raw.heads == []
        mesh.announce("a")
        assert status_and_run(await mesh.call()) == (200, "yes")


@pytest.mark.parametrize(
    ("body", "n_expected"), [(b"small", 1), (LARGE_BODY, 0)], ids=["kept", "streamed"]
)
@on_loop
async def test_body_is_sent_again_only_if_it_is_buffered_whole(body, n_expected):
    """A target receives part of an upload and then breaks the connection.

    The part of a large body that was already sent is no longer available. In a retry,
    the remaining part would be mistaken for the whole body.
    """

    async def abort_early(target, writer, head):
        writer.transport.abort()

    async with Mesh(is_idempotent=True) as mesh:
        await mesh.add("a", abort_early)
        await mesh.add("b", abort_early)
        assert status_and_run(await mesh.call(body=body)) == (502, "unknown")
        assert mesh.outcomes[0].n_retries == n_expected


@pytest.mark.parametrize("n_bytes", [1_000, 600_000])
@on_loop
async def test_size_limit_applies_to_chunked_bodies(n_bytes):
    """A caller states no length and sends more than the limit.

    Only counting the received bytes prevents it from holding a slot indefinitely.
    """

    async with Mesh(body_max_bytes=500 if n_bytes < 5_000 else 500_000) as mesh:
        await mesh.add("a", never_answer)
        reader, writer = await asyncio.open_connection(*mesh.address)
        writer.write(b"POST /x HTTP/1.1\r\nhost: a\r\n")
        writer.write(b"transfer-encoding: chunked\r\n\r\n")
        for _ in range(n_bytes // 1000):
            writer.write(b"3e8\r\n" + bytes(1000) + b"\r\n")
        writer.write(b"0\r\n\r\n")
        assert b" 413 " in await reader.readline()
        writer.close()
        assert mesh.nodes["a"].runner.n_in_flight == 0


@pytest.mark.parametrize(
    ("method", "data", "status", "body"),
    [
        ("HEAD", b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n", 200, b""),
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
        ("GET", b'HTTP/1.1 304 Not Modified\r\netag: "a"\r\n\r\n', 304, b""),
        ("GET", b"HTTP/1.1 100 Continue\r\n\r\n" + http_answer(b"ok"), 200, b"ok"),
    ],
)
@on_loop
async def test_answers_without_a_body(method, data, status, body):
    async with Mesh() as mesh:
        await mesh.add("a", answering_with(data))
        response = await mesh.call(method)
        assert status_and_run(response) == (status, "yes")
        assert response.body == body
        stated = dict(response.headers).get(b"content-length")
        assert method != "HEAD" or stated == b"7"


@on_loop
async def test_answer_delimited_by_connection_close_is_whole():
    async def close_after(target, writer, head):
        writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole")
        await writer.drain()
        writer.close()

    async with Mesh() as mesh:
        await mesh.add("a", close_after)
        assert (await mesh.call("GET")).body == b"whole"


@on_loop
async def test_target_receives_the_remaining_timeout():
    """A caller states a timeout of 500 ms; the target must get less than that."""

    async with Mesh() as mesh:
        raw = await mesh.add("a")
        await mesh.call(headers=((b"pepperstair-timeout-ms", b"500"),))
        head = raw.heads[0].lower()
        stated = head.split(b"pepperstair-timeout-ms: ")[1].split(b"\r\n")[0]
        assert 0 < int(stated) < 500


@on_loop
async def test_outcome_has_route_status_and_retries():
    async with Mesh(priority="urgent") as mesh:
        await mesh.add("a")
        await mesh.call()
        outcome = mesh.outcomes[0]
        assert (outcome.customer, outcome.route) == ("c", "r")
        assert (outcome.priority, outcome.status) == ("urgent", 200)
        assert (outcome.error, outcome.run) == (None, RunStatus.YES)
        assert outcome.n_retries == 0
        assert outcome.duration_ms > 0


@pytest.mark.parametrize(
    ("n_targets", "is_idempotent", "expected"),
    [
        (1, True, GiveUpCause.NO_OTHER),
        (2, False, GiveUpCause.MAY_HAVE_RUN),
        (2, True, GiveUpCause.ATTEMPTS),
    ],
)
@on_loop
async def test_failed_call_logs_why_it_was_not_retried(
    n_targets, is_idempotent, expected
):
    """Guards against failures whose logs show no reason for the missing retry."""
    async with Mesh(is_idempotent=is_idempotent, n_attempts_max=2) as mesh:
        for name in ("a", "b", "c")[: n_targets + (expected is GiveUpCause.ATTEMPTS)]:
            await mesh.add(name, abort_before_head)
        with capture_logs() as lines:
            await mesh.call()
        assert mesh.proxy.n_given_up[expected] == 1
        assert [line["given_up"] for line in lines if "given_up" in line] == [expected]
