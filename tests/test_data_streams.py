"""Calls between daemons under stream and process failures."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from random import Random

import pytest

from pepperstair_core.calls import Attempt, Retry, TokenRetryBudget, decide_retry
from pepperstair_core.errors import ErrorKind, PepperstairError, RunStatus
from pepperstair_core.wire import (
    AnswerHead,
    BodyEnd,
    BodyPart,
    CallHead,
    CallQuery,
    Heartbeat,
    QuotaAsk,
    QuotaGrant,
    StreamKind,
)
from pepperstair_http import BodyBuffer, ConnectionLostError, StreamedResponse
from pepperstair_peers import CallClient, FrameCounters, Identity, open_stream

from .peers import (
    Relay,
    Server,
    call_head,
    failure_of,
    make_client,
    response_of,
    wait_for,
)


class Target:
    """Answers with the request's body as soon as `answer_allowed` is set."""

    def __init__(self) -> None:
        self.answer_allowed = asyncio.Event()
        self.answer_allowed.set()
        self.response: StreamedResponse | None = None

    async def run(self, head: CallHead, body: BodyBuffer) -> StreamedResponse:
        """Read the whole request, wait until an answer is allowed and return it."""
        data = await body.read_all(100_000_000)
        await self.answer_allowed.wait()
        return self.response or response_of(b"done " + data)


@dataclass
class CallPath:
    """The caller's daemon, the relay, the target's daemon and the target."""

    target: Target
    server: Server
    relay: Relay
    client: CallClient

    def call(self, head: CallHead, data: bytes = b"") -> asyncio.Task[StreamedResponse]:
        """Start sending a call through the relay."""
        running = self.client.run(self.relay.address, head, BodyBuffer.of(data))
        return asyncio.get_running_loop().create_task(running)


@contextlib.asynccontextmanager
async def open_path() -> AsyncIterator[CallPath]:
    """Yield a working call path, and close it afterwards."""
    target = Target()
    server = Server(target.run)
    await server.start()
    relay = Relay(server.address)
    await relay.start()
    path = CallPath(target, server, relay, make_client())
    try:
        yield path
    finally:
        path.client.close()
        relay.close()
        path.server.kill()
        await asyncio.sleep(0)


async def read_whole(response: StreamedResponse) -> bytes:
    """Return the whole body of an answer."""
    data = await response.body.read_all(100_000_000)
    return data or b""


def test_call_with_small_body_needs_no_credit_frames():
    async def scenario() -> None:
        async with open_path() as path:
            answer = await path.call(call_head(1, has_body=True), b"loot")
            assert await read_whole(answer) == b"done loot"
            sent = path.server.sent_frames()
            assert sent["n_data_sent_frames_answer_head"] == 1
            assert "n_data_sent_frames_credit" not in sent
            assert path.client.n_in_flight == path.server.calls.n_in_flight == 0

    asyncio.run(scenario())


def test_answer_is_queried_on_a_new_stream_after_silence():
    """A middlebox between two daemons loses the state of their connection.

    The call ran, but its answer never arrives. Queried by id, the same process returns
    the answer of that single run.
    """

    async def scenario() -> None:
        async with open_path() as path:
            path.target.answer_allowed.clear()
            running = path.call(call_head(1, has_body=True), b"loot")
            await wait_for(lambda: path.server.runs == [1])
            path.relay.silence()
            path.target.answer_allowed.set()
            async with asyncio.timeout(5):
                assert await read_whole(await running) == b"done loot"
            assert path.server.runs == [1]
            assert path.client.n_replaced_streams == 1

    asyncio.run(scenario())


def test_call_in_progress_is_answered_on_the_new_stream():
    """The stream is aborted while the target still processes the call."""

    async def scenario() -> None:
        async with open_path() as path:
            path.target.answer_allowed.clear()
            running = path.call(call_head(1))
            await wait_for(lambda: path.server.runs == [1])
            path.relay.abort_connections()
            await wait_for(lambda: path.client.n_replaced_streams == 1)
            await asyncio.sleep(0.05)
            path.target.answer_allowed.set()
            assert await read_whole(await running) == b"done "
            assert path.server.runs == [1]

    asyncio.run(scenario())


def test_interrupted_answer_continues_after_the_received_part():
    """The stream is lost during an answer that is then resent from its start.

    Data that was already read must not be repeated, and the end must not be missing.
    """

    async def scenario() -> None:
        async with open_path() as path:
            body = BodyBuffer()
            path.target.response = StreamedResponse(200, (), body, lambda: None)
            answer = await asyncio.wait_for(_start_answer(path, body), 5)
            assert await answer.body.read() == b"first "
            path.relay.abort_connections()
            body.feed(b"second")
            body.finish()
            async with asyncio.timeout(5):
                assert await read_whole(answer) == b"second"

    async def _start_answer(path: CallPath, body: BodyBuffer) -> StreamedResponse:
        body.feed(b"first ")
        return await path.call(call_head(1))

    asyncio.run(scenario())


def test_restarted_daemon_is_not_queried():
    """The daemon is killed after accepting a call, and its VM starts a new process.

    The new process has no record of the call and would report it as not run.
    """

    async def scenario() -> None:
        async with open_path() as path:
            path.target.answer_allowed.clear()
            running = path.call(call_head(1))
            await wait_for(lambda: path.server.runs == [1])
            path.server.kill()
            successor = Server(path.target.run)
            await successor.start(path.server.address)
            failure = await failure_of(running)
            successor.kill()
            assert (failure.kind, failure.run_status) == (
                ErrorKind.OUTCOME_UNKNOWN,
                RunStatus.UNKNOWN,
            )

    asyncio.run(scenario())


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_call_at_a_killed_daemon_is_not_reported_as_not_run(is_idempotent):
    """The daemon is killed with a call in flight that its target may have run."""

    async def scenario() -> None:
        async with open_path() as path:
            path.target.answer_allowed.clear()
            running = path.call(call_head(1, is_idempotent))
            await wait_for(lambda: path.server.runs == [1])
            path.server.kill()
            failure = await failure_of(running)
            assert failure.run_status is RunStatus.UNKNOWN
            attempt = Attempt(
                failure=failure,
                priority="normal",
                n_attempts=1,
                is_idempotent=is_idempotent,
                is_replayable=True,
                time_left_ms=5000,
            )
            decision = decide_retry(attempt, TokenRetryBudget(), Random(0))
            assert isinstance(decision, Retry) is is_idempotent

    asyncio.run(scenario())


def test_call_to_an_unreachable_daemon_was_not_run():
    async def scenario() -> None:
        async with open_path() as path:
            path.server.kill()
            path.relay.close()
            failure = await failure_of(path.call(call_head(1)))
            assert failure.run_status is RunStatus.NO

    asyncio.run(scenario())


def test_call_head_that_arrives_after_its_query_does_not_run():
    """A call head is delayed on a silent stream; the query reports it as not run.

    When the old stream resumes, the head arrives after all. If it ran then, the caller
    would have received a wrong outcome, such as that a booking was not made.
    """

    async def scenario() -> None:
        async with open_path() as path:
            await path.call(call_head(1))
            path.relay.silence()
            running = path.call(call_head(2, has_body=True), bytes(400_000))
            failure = await failure_of(running)
            assert failure.run_status is RunStatus.NO
            path.relay.resume()
            await asyncio.sleep(0.1)
            assert path.server.runs == [1]

    asyncio.run(scenario())


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_call_that_was_not_received_is_resent(is_idempotent):
    """A call is written to a stream that is already silent.

    It did not run and the daemon is healthy, so the caller must not see a failure.
    """

    async def scenario() -> None:
        async with open_path() as path:
            await path.call(call_head(1))
            path.relay.silence()
            head = call_head(2, is_idempotent, has_body=True)
            assert await read_whole(await path.call(head, b"loot")) == b"done loot"
            path.relay.resume()
            await asyncio.sleep(0.1)
            assert path.server.runs == [1, 2]

    asyncio.run(scenario())


def test_hello_of_an_earlier_stream_is_rejected():
    """An abandoned connection is read only after the one that replaced it."""

    async def scenario() -> None:
        async with open_path() as path:
            first, second = [await open_raw(path.server) for _ in range(2)]
            identity = Identity("raw", 7, "127.0.0.1:1")
            hellos = [identity.hello(StreamKind.DATA) for _ in range(2)]
            second.send(hellos[1], CallQuery(1))
            await wait_for(lambda: second.n_received_bytes > 10)
            first.send(hellos[0], call_head(1, is_idempotent=True))
            await wait_for(lambda: first.is_closed)
            assert path.server.runs == []
            assert not second.is_closed
            second.close()

    asyncio.run(scenario())


async def open_raw(server: Server):
    """Open a stream to a server without using a `CallClient`."""
    host, _, port = server.address.rpartition(":")
    return await open_stream(host, int(port), 262_144, FrameCounters())


def test_invalid_frame_closes_its_stream_only():
    """A peer of another version sends frames that are invalid on the stream."""

    async def scenario() -> None:
        async with open_path() as path:
            stream = await open_raw(path.server)
            identity = Identity("raw", 7, "127.0.0.1:1")
            stream.send(identity.hello(StreamKind.DATA), Heartbeat(1))
            await wait_for(lambda: stream.is_closed)
            assert path.server.listener.n_rejected == 1
            assert await read_whole(await path.call(call_head(1))) == b"done "

    asyncio.run(scenario())


def test_answer_to_an_abandoned_call_is_dropped():
    """A caller gives up, and the answer arrives while another call is waiting.

    If it were delivered to the other call, a user would see somebody else's data.
    """

    async def scenario() -> None:
        async with open_path() as path:
            await path.call(call_head(1, is_idempotent=True))
            path.target.answer_allowed.clear()
            running = path.call(call_head(2))
            await wait_for(lambda: path.server.runs == [1, 2])
            (incoming,) = path.server.calls._streams.values()
            stray = (AnswerHead(1, 200, ()), BodyPart(1, b"stray"), BodyEnd(1))
            incoming.stream.send(*stray)
            await wait_for(lambda: path.client.n_dropped_frames == len(stray))
            path.target.answer_allowed.set()
            assert await read_whole(await running) == b"done "

    asyncio.run(scenario())


def test_abandoned_call_is_cancelled_at_the_target():
    """A caller cancels its call, whose slot must become free for others."""

    async def scenario() -> None:
        async with open_path() as path:
            path.target.answer_allowed.clear()
            running = path.call(call_head(1))
            await wait_for(lambda: path.server.runs == [1])
            running.cancel()
            await wait_for(lambda: path.server.calls.n_in_flight == 0)

    asyncio.run(scenario())


def test_truncated_answer_is_not_reported_as_complete():
    """The target's daemon is killed while it sends a large answer."""

    async def scenario() -> None:
        async with open_path() as path:
            body = BodyBuffer()
            path.target.response = StreamedResponse(200, (), body, lambda: None)
            body.feed(b"first half")
            answer = await path.call(call_head(1, is_idempotent=True))
            assert await answer.body.read() == b"first half"
            path.server.kill()
            failure = await failure_of(answer.body.read())
            assert failure.run_status is RunStatus.UNKNOWN

    asyncio.run(scenario())


def test_truncated_request_is_not_reported_as_complete():
    """A caller's connection is aborted during its request."""
    seen: list[Exception] = []

    async def run(head: CallHead, body: BodyBuffer) -> StreamedResponse:
        try:
            await body.read_all(1000)
        except ConnectionLostError as error:
            seen.append(error)
            raise
        raise AssertionError("the truncated body was read as complete")

    async def scenario() -> None:
        async with open_path() as path:
            path.server.run = run
            body = BodyBuffer()
            body.feed(b"half")
            head = call_head(1, has_body=True)
            running = asyncio.create_task(
                path.client.run(path.relay.address, head, body)
            )
            await wait_for(lambda: path.server.runs == [1])
            path.relay.abort_connections()
            assert (await failure_of(running)).kind is ErrorKind.TARGET_FAILED
            assert len(seen) == 1

    asyncio.run(scenario())


def test_slow_reader_blocks_neither_memory_nor_an_urgent_call():
    """A 64 MB file is read slowly while an urgent call uses the same stream."""
    n_bytes = 64 * 1024 * 1024

    async def feed(body: BodyBuffer, high_water: list[int]) -> None:
        for _ in range(n_bytes // 65_536):
            while body.n_bytes > 262_144:
                await asyncio.sleep(0)
            body.feed(bytes(65_536))
        body.finish()

    async def scenario() -> None:
        async with open_path() as path:
            body = BodyBuffer()
            path.target.response = StreamedResponse(200, (), body, lambda: None)
            feeding = asyncio.create_task(feed(body, []))
            answer = await path.call(call_head(1, is_idempotent=True))
            await wait_for(lambda: answer.body.n_bytes == 262_144)
            path.target.response = None
            assert await read_whole(await path.call(call_head(2))) == b"done "
            n_read = n_peak = 0
            while part := await answer.body.read():
                n_read += len(part)
                n_peak = max(n_peak, answer.body.n_bytes)
            await feeding
            assert n_read == n_bytes
            assert n_peak <= 262_144

    asyncio.run(scenario())


def test_paused_daemon_does_not_run_calls_buffered_by_its_kernel():
    """A VM resumes from a pause with the calls of timed-out callers in its buffers."""

    async def scenario() -> None:
        async with open_path() as path:
            await path.call(call_head(1))
            pauses = [True]

            def was_paused() -> bool:
                if pauses:
                    pauses.clear()
                    path.server.calls.reset_streams()
                    return True
                return False

            path.server.calls.was_paused = was_paused
            kept = path.call(call_head(2, has_body=True), bytes(400_000))
            assert (await failure_of(kept)).run_status is RunStatus.NO
            assert path.server.runs == [1]
            assert await read_whole(await path.call(call_head(3))) == b"done "

    asyncio.run(scenario())


def test_heartbeats_carry_target_loads():
    async def scenario() -> None:
        async with open_path() as path:
            path.server.calls.loads = lambda: (("ledger-1", 3, 4),)
            await path.call(call_head(1))
            address = path.relay.address
            await wait_for(lambda: path.client.load_of(address, "ledger-1") is not None)
            load = path.client.load_of(address, "ledger-1")
            assert (load.n_in_flight, load.n_queued) == (3, 4)

    asyncio.run(scenario())


def test_call_reset_with_its_head_leaves_nothing_running():
    """A caller cancels at once, so that the call head and reset arrive together."""

    async def scenario() -> None:
        async with open_path() as path:
            await path.call(call_head(1))
            running = path.call(call_head(2))
            await asyncio.sleep(0)
            running.cancel()
            with contextlib.suppress(asyncio.CancelledError, PepperstairError):
                await running
            await asyncio.sleep(0.05)
            assert path.server.calls.n_in_flight == 0

    asyncio.run(scenario())


def grant_for(question: QuotaAsk) -> QuotaGrant:
    """Return an answer that grants what is asked for."""
    wanted = question.n_wanted
    return QuotaGrant(question.number, question.account, wanted, 0, is_owner=True)


def question(number: int) -> QuotaAsk:
    return QuotaAsk(number, "sayaw", n_wanted=number, n_returned=0)


def test_questions_are_answered_by_number():
    async def scenario() -> None:
        async with open_path() as path:
            path.server.calls.question_handlers[QuotaAsk] = lambda sender, frame: (
                grant_for(frame)
            )
            answers = await asyncio.gather(
                *(path.client.ask(path.relay.address, question(i), 5) for i in (1, 2))
            )
            assert [each.n_granted for each in answers] == [1, 2]
            assert path.client.n_in_flight == 0

    asyncio.run(scenario())


def test_question_without_an_answer_fails_in_time():
    async def scenario() -> None:
        async with open_path() as path:
            path.server.calls.question_handlers[QuotaAsk] = lambda sender, frame: (
                grant_for(frame)
            )
            await path.client.ask(path.relay.address, question(1), 5)
            path.relay.silence()
            with pytest.raises(TimeoutError):
                await path.client.ask(path.relay.address, question(2), 0.02)
            with pytest.raises(PepperstairError):
                await path.client.ask("127.0.0.1:1", question(3), 5)

    asyncio.run(scenario())


def test_stream_on_which_questions_are_not_answered_is_replaced():
    """Guards against asking on a connection whose state a middlebox has lost."""

    async def scenario() -> None:
        async with open_path() as path:
            path.server.calls.question_handlers[QuotaAsk] = lambda sender, frame: (
                grant_for(frame)
            )
            await path.client.ask(path.relay.address, question(1), 5)
            path.relay.silence()
            for number in range(2, 100):
                try:
                    await path.client.ask(path.relay.address, question(number), 0.05)
                    break
                except (TimeoutError, PepperstairError):
                    continue
            assert 2 < number < 99

    asyncio.run(scenario())
