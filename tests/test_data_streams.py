"""Calls between daemons while streams and processes fail."""

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
    """Answers with the request's body once it is let go."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.response: StreamedResponse | None = None

    async def run(self, head: CallHead, body: BodyBuffer) -> StreamedResponse:
        """Read the request and answer it."""
        data = await body.read_all(100_000_000)
        await self.may_answer.wait()
        return self.response or response_of(b"done " + data)


@dataclass
class Path:
    """A caller's daemon, the relay and the daemon beside the target."""

    target: Target
    server: Server
    relay: Relay
    client: CallClient

    def call(self, head: CallHead, data: bytes = b"") -> asyncio.Task[StreamedResponse]:
        """Send a call through the relay."""
        running = self.client.run(self.relay.address, head, BodyBuffer.of(data))
        return asyncio.get_running_loop().create_task(running)


@contextlib.asynccontextmanager
async def open_path() -> AsyncIterator[Path]:
    """Yield a path that works, and close it."""
    target = Target()
    server = Server(target.run)
    await server.start()
    relay = Relay(server.address)
    await relay.start()
    path = Path(target, server, relay, make_client())
    try:
        yield path
    finally:
        path.client.close()
        relay.close()
        path.server.kill()
        await asyncio.sleep(0)


async def read_whole(response: StreamedResponse) -> bytes:
    """Read an answer to its end."""
    data = await response.body.read_all(100_000_000)
    return data or b""


def test_call_and_small_body_are_one_write():
    async def scenario() -> None:
        async with open_path() as path:
            answer = await path.call(call_head(1, has_body=True), b"loot")
            assert await read_whole(answer) == b"done loot"
            sent = path.server.sent_frames()
            assert sent["n_data_sent_frames_answer_head"] == 1
            assert "n_data_sent_frames_credit" not in sent
            assert path.client.n_in_flight == path.server.calls.n_in_flight == 0

    asyncio.run(scenario())


def test_answer_of_a_silent_stream_is_fetched_on_a_new_one():
    """Something between two daemons loses track of their connection.

    The award was made but its answer never arrives; asked again by id, the same
    process gives the answer of the one run.
    """

    async def scenario() -> None:
        async with open_path() as path:
            path.target.may_answer.clear()
            running = path.call(call_head(1, has_body=True), b"loot")
            await wait_for(lambda: path.server.runs == [1])
            path.relay.silence()
            path.target.may_answer.set()
            async with asyncio.timeout(5):
                assert await read_whole(await running) == b"done loot"
            assert path.server.runs == [1]
            assert path.client.n_replaced_streams == 1

    asyncio.run(scenario())


def test_run_in_progress_answers_on_the_new_stream():
    """The stream is cut while the target still works on the booking."""

    async def scenario() -> None:
        async with open_path() as path:
            path.target.may_answer.clear()
            running = path.call(call_head(1))
            await wait_for(lambda: path.server.runs == [1])
            path.relay.cut()
            await wait_for(lambda: path.client.n_replaced_streams == 1)
            await asyncio.sleep(0.05)
            path.target.may_answer.set()
            assert await read_whole(await running) == b"done "
            assert path.server.runs == [1]

    asyncio.run(scenario())


def test_answer_that_had_begun_goes_on_where_it_was_cut():
    """The stream is lost in the middle of an answer that is then fetched whole.

    What was read already must not come twice, and the end must not be missing.
    """

    async def scenario() -> None:
        async with open_path() as path:
            body = BodyBuffer()
            path.target.response = StreamedResponse(200, (), body, lambda: None)
            answer = await asyncio.wait_for(_begun(path, body), 5)
            assert await answer.body.read() == b"first "
            path.relay.cut()
            body.feed(b"second")
            body.finish()
            async with asyncio.timeout(5):
                assert await read_whole(answer) == b"second"

    async def _begun(path: Path, body: BodyBuffer) -> StreamedResponse:
        body.feed(b"first ")
        return await path.call(call_head(1))

    asyncio.run(scenario())


def test_restarted_daemon_is_not_asked():
    """The daemon dies after taking a booking and its VM starts another process.

    That one knows nothing of the booking; if it were asked, it would deny it.
    """

    async def scenario() -> None:
        async with open_path() as path:
            path.target.may_answer.clear()
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
def test_killed_daemon_leaves_no_false_no(is_idempotent):
    """The daemon dies with a call that its target may have run."""

    async def scenario() -> None:
        async with open_path() as path:
            path.target.may_answer.clear()
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


def test_call_to_a_daemon_that_is_gone_was_not_run():
    async def scenario() -> None:
        async with open_path() as path:
            path.server.kill()
            path.relay.close()
            failure = await failure_of(path.call(call_head(1)))
            assert failure.run_status is RunStatus.NO

    asyncio.run(scenario())


def test_head_that_arrives_after_the_question_does_not_run():
    """A head is stuck on a silent stream; asked on a new one, it was not run.

    When the old stream comes back to life, the head arrives after all. Run now,
    it would be a booking that the member was told had not been made.
    """

    async def scenario() -> None:
        async with open_path() as path:
            await path.call(call_head(1))
            path.relay.silence()
            running = path.call(call_head(2, has_body=True), bytes(400_000))
            failure = await failure_of(running)
            assert failure.run_status is RunStatus.NO
            path.relay.thaw()
            await asyncio.sleep(0.1)
            assert path.server.runs == [1]


@pytest.mark.parametrize("is_idempotent", [False, True])
def test_call_that_never_arrived_is_sent_again(is_idempotent):
    """A call is written to a stream that has fallen silent already.

    It did not run, and the daemon is well: its caller need not know.
    """

    async def scenario() -> None:
        async with open_path() as path:
            await path.call(call_head(1))
            path.relay.silence()
            head = call_head(2, is_idempotent, has_body=True)
            assert await read_whole(await path.call(head, b"loot")) == b"done loot"
            path.relay.thaw()
            await asyncio.sleep(0.1)
            assert path.server.runs == [1, 2]

    asyncio.run(scenario())


def test_hello_of_an_earlier_stream_is_refused():
    """A connection that was given up is read only after the one that replaced it."""

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
    """Open a stream to a server without a client behind it."""
    host, _, port = server.address.rpartition(":")
    return await open_stream(host, int(port), 262_144, FrameCounters())


def test_frame_without_a_place_closes_its_stream_only():
    """A peer of another version sends frames that this one can't place."""

    async def scenario() -> None:
        async with open_path() as path:
            stream = await open_raw(path.server)
            identity = Identity("raw", 7, "127.0.0.1:1")
            stream.send(identity.hello(StreamKind.DATA), Heartbeat(1))
            await wait_for(lambda: stream.is_closed)
            assert path.server.listener.n_rejected == 1
            assert await read_whole(await path.call(call_head(1))) == b"done "

    asyncio.run(scenario())


def test_answer_for_a_call_that_is_gone_is_dropped():
    """A caller gives up, and the answer comes while another call waits.

    Taken for the other one's, a member would be shown somebody else's booking.
    """

    async def scenario() -> None:
        async with open_path() as path:
            await path.call(call_head(1, is_idempotent=True))
            path.target.may_answer.clear()
            running = path.call(call_head(2))
            await wait_for(lambda: path.server.runs == [1, 2])
            (incoming,) = path.server.calls._streams.values()
            stray = (AnswerHead(1, 200, ()), BodyPart(1, b"stray"), BodyEnd(1))
            incoming.stream.send(*stray)
            await wait_for(lambda: path.client.n_dropped_frames == len(stray))
            path.target.may_answer.set()
            assert await read_whole(await running) == b"done "

    asyncio.run(scenario())


def test_abandoned_call_is_cancelled_beside_the_target():
    """A caller leaves; its slot must be free again for others."""

    async def scenario() -> None:
        async with open_path() as path:
            path.target.may_answer.clear()
            running = path.call(call_head(1))
            await wait_for(lambda: path.server.runs == [1])
            running.cancel()
            await wait_for(lambda: path.server.calls.n_in_flight == 0)

    asyncio.run(scenario())


def test_cut_answer_never_looks_whole():
    """The daemon beside the target dies in the middle of a map pack."""

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


def test_cut_request_never_looks_whole():
    """A caller's connection breaks in the middle of its request."""
    seen: list[Exception] = []

    async def run(head: CallHead, body: BodyBuffer) -> StreamedResponse:
        try:
            await body.read_all(1000)
        except ConnectionLostError as error:
            seen.append(error)
            raise
        raise AssertionError("the body looked whole")

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
            path.relay.cut()
            assert (await failure_of(running)).kind is ErrorKind.TARGET_FAILED
            assert len(seen) == 1

    asyncio.run(scenario())


def test_slow_reader_blocks_neither_memory_nor_an_urgent_call():
    """A member reads a 64 MB file slowly beside a booking on the same stream."""
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


def test_paused_daemon_does_not_run_what_its_kernel_kept():
    """A VM is frozen; callers give up; it wakes with their calls in its buffers."""

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


def test_loads_come_with_the_heartbeats():
    async def scenario() -> None:
        async with open_path() as path:
            path.server.calls.loads = lambda: (("ledger-1", 3, 4),)
            await path.call(call_head(1))
            address = path.relay.address
            await wait_for(lambda: path.client.load_of(address, "ledger-1") is not None)
            load = path.client.load_of(address, "ledger-1")
            assert (load.n_in_flight, load.n_queued) == (3, 4)

    asyncio.run(scenario())


def test_reset_beside_its_head_leaves_nothing_running():
    """A caller leaves at once, and both frames arrive together."""

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
