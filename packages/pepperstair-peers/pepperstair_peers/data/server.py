"""The receiving side of calls: runs them beside the target and answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

import structlog

from pepperstair_core.calls import LinkPacer
from pepperstair_core.calls.run_memory import (
    CallKey,
    KeptAnswer,
    RunAdmission,
    RunMemory,
    RunState,
    Sender,
)
from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, RunStatus
from pepperstair_core.events import Event
from pepperstair_core.wire import (
    CallHead,
    CallQuery,
    CallsDone,
    FrameError,
    Heartbeat,
    Hello,
)
from pepperstair_http import BodyBuffer, ConnectionLostError, StreamedResponse

from ..stream import FrameStream
from .fence import StreamFence
from .incoming import IncomingCall, TargetLoad, failed, send_kept
from .sending import UNPACED

log = structlog.get_logger(__name__)

CallRunner = Callable[[CallHead, BodyBuffer], Awaitable[StreamedResponse]]
Loads = tuple[tuple[str, int, int], ...]

_ACTIVE_HEARTBEATS: Final = 5
_ABANDONED_HEARTBEATS: Final = 120
_RETRY_AFTER_MS: Final = 1000

_ANSWERS: Final = {
    RunState.NOT_KEPT: Failure(
        ErrorKind.OUTCOME_UNKNOWN, "it ran, its answer was not kept", run=RunStatus.YES
    ),
    RunState.NEVER_RUN: Failure(
        ErrorKind.PEER_UNREACHABLE, "the request never arrived", run=RunStatus.NO
    ),
    RunState.UNKNOWN: Failure(ErrorKind.OUTCOME_UNKNOWN, "the call is forgotten"),
}


class _IncomingStream:
    """A data stream that another daemon opened, and the calls on it."""

    def __init__(self, stream: FrameStream, hello: Hello, now_ms: int) -> None:
        self.stream = stream
        self.sender = Sender(hello.vm, hello.start_id)
        self.sequence = hello.sequence
        self.calls: dict[int, IncomingCall] = {}
        self.active_ms = now_ms

    def lose(self) -> None:
        """Let the calls know that their stream is gone."""
        calls = list(self.calls.values())
        self.calls.clear()
        for call in calls:
            if call.asker is self.stream:
                call.asker = None
            if call.stream is self.stream:
                call.lose()


class CallServer:
    """Runs the calls of every incoming data stream.

    `loads` returns the requests that each local target has in flight and
    waiting; they go with the heartbeats. `was_paused` returns whether this
    process was paused until just now. `pacer` spreads large answers over the link.
    """

    def __init__(
        self,
        run: CallRunner,
        n_runs_max: int,
        heartbeat_ms: int,
        clock_ms: Callable[[], int],
        pacer: LinkPacer = UNPACED,
    ) -> None:
        self._pacer = pacer
        self._run = run
        self._heartbeat_ms = heartbeat_ms
        self._clock_ms = clock_ms
        self._memory = RunMemory(n_runs_max)
        self._fence = StreamFence()
        self._streams: dict[Sender, _IncomingStream] = {}
        self._running: dict[CallKey, IncomingCall] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.loads: Callable[[], Loads] = lambda: ()
        self.was_paused: Callable[[], bool] = lambda: False
        self.n_calls = 0
        self.n_dropped_frames = 0

    @property
    def n_in_flight(self) -> int:
        """Return the calls whose answers are not sent yet."""
        return len(self._running)

    def serve_stream(self, stream: FrameStream, hello: Hello) -> None:
        """Serve the calls that arrive on a stream, in place of an earlier one."""
        incoming = _IncomingStream(stream, hello, self._clock_ms())
        if not self._fence.admit(incoming.sender, hello.sequence):
            stream.close()
            return
        self._drop(incoming.sender)
        self._streams[incoming.sender] = incoming
        stream.may_read = lambda: not self.was_paused()
        stream.on_frame = lambda frame: self._on_frame(incoming, frame)
        stream.closed_callbacks.append(lambda reason: self._on_closed(incoming))
        if self._timer is None:
            self._schedule()

    def reset_streams(self) -> None:
        """Break every stream unread, after a pause of this process.

        What the kernel kept meanwhile are calls whose callers have long given
        up; run now, a booking would be made that its caller was told of as
        unknown and has made elsewhere.
        """
        for sender in list(self._streams):
            self._drop(sender)

    def close(self) -> None:
        """Stop the heartbeats."""
        if self._timer is not None:
            self._timer.cancel()

    def _drop(self, sender: Sender) -> None:
        incoming = self._streams.pop(sender, None)
        if incoming is not None:
            incoming.stream.close()
            incoming.lose()

    def _on_closed(self, incoming: _IncomingStream) -> None:
        if self._streams.get(incoming.sender) is incoming:
            del self._streams[incoming.sender]
        incoming.lose()

    def _on_frame(self, incoming: _IncomingStream, frame: Any) -> None:
        if isinstance(frame, CallHead):
            incoming.active_ms = self._clock_ms()
            self._start(incoming, frame)
        elif isinstance(frame, CallQuery):
            incoming.active_ms = self._clock_ms()
            self._answer_query(incoming, frame.call_id)
        elif isinstance(frame, CallsDone):
            for call_id in frame.call_ids:
                self._memory.release(CallKey(incoming.sender, call_id))
        elif (call_id := getattr(frame, "call_id", None)) is None:
            raise FrameError(f"{type(frame).__name__} has no place on a data stream")
        elif (call := incoming.calls.get(call_id)) is not None:
            call.take(frame)
        else:
            self.n_dropped_frames += 1

    def _start(self, incoming: _IncomingStream, head: CallHead) -> None:
        key = CallKey(incoming.sender, head.call_id)
        if not head.is_idempotent:
            refusal = self._admit(key, head.time_left_ms, incoming.sequence)
            if refusal is not None:
                incoming.stream.send(failed(head.call_id, refusal))
                return
        call = IncomingCall(key, head, incoming.stream, self._load_of, self._pacer)
        incoming.calls[head.call_id] = call
        self._running[key] = call
        self.n_calls += 1
        call.task = asyncio.get_running_loop().create_task(self._answer(call))
        # A callback, as a call that is reset before its task has taken the
        # first step never enters the coroutine, and would be remembered as
        # running for ever.
        call.task.add_done_callback(lambda done: self._end(incoming, call))

    def _admit(self, key: CallKey, time_left_ms: int, sequence: int) -> Failure | None:
        """Remember a non-idempotent call, or say why it may not run."""
        now_ms = self._clock_ms()
        admission = self._memory.begin(key, sequence, time_left_ms, now_ms)
        if admission is RunAdmission.TAKEN:
            return None
        if admission is RunAdmission.FULL:
            detail = "too many calls to remember"
            return Failure(ErrorKind.OVERLOADED, detail, _RETRY_AFTER_MS, RunStatus.NO)
        return Failure(ErrorKind.OUTCOME_UNKNOWN, "the call came before")

    def _end(self, incoming: _IncomingStream, call: IncomingCall) -> None:
        """Keep the answer of a call that is over, and send it to who asked."""
        call_id = call.head.call_id
        incoming.calls.pop(call_id, None)
        # An idempotent call that was sent again has taken the place already.
        if self._running.get(call.key) is call:
            del self._running[call.key]
        if not call.is_remembered:
            return
        kept = call.kept
        if call.task.cancelled():
            kept = KeptAnswer.of_failure(Failure(ErrorKind.CANCELLED))
        self._memory.finish(call.key, kept)
        if call.asker is not None:
            self._streams[incoming.sender].calls.pop(call_id, None)
            self._send_recalled(self._streams[incoming.sender], call.key)

    async def _answer(self, call: IncomingCall) -> None:
        """Run a call and send its answer, or the failure that ended it."""
        call.kept = await self._run_and_relay(call)

    async def _run_and_relay(self, call: IncomingCall) -> KeptAnswer | None:
        try:
            response = await self._run(call.head, call.body)
            try:
                return await call.relay(response)
            finally:
                response.cancel()
        except PepperstairError as error:
            failure = error.failure
        except ConnectionLostError as error:
            failure = Failure(ErrorKind.TARGET_FAILED, str(error))
        except Exception:
            log.exception(Event.INTERNAL_ERROR, call_id=call.head.call_id)
            failure = Failure(ErrorKind.INTERNAL)
        call.fail(failure)
        return KeptAnswer.of_failure(failure)

    def _load_of(self, target: str) -> TargetLoad:
        for name, n_in_flight, n_queued in self.loads():
            if name == target:
                return n_in_flight, n_queued
        return 0, 0

    def _answer_query(self, incoming: _IncomingStream, call_id: int) -> None:
        key = CallKey(incoming.sender, call_id)
        call = self._running.get(key)
        if call is None:
            self._send_recalled(incoming, key)
            return
        call.asker = incoming.stream
        incoming.calls[call_id] = call

    def _send_recalled(self, asker: _IncomingStream, key: CallKey) -> None:
        """Send what is known of a call that is over, or never was."""
        recall = self._memory.look_up(key, asker.sequence, self._clock_ms())
        if recall.answer is not None:
            send_kept(asker.stream, key.call_id, recall.answer)
        else:
            asker.stream.send(failed(key.call_id, _ANSWERS[recall.state]))

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._heartbeat_ms / 1000, self._beat)

    def _beat(self) -> None:
        """Say on each stream in use that this process lives, and how loaded it is.

        Streams that carried no call lately get nothing, as each daemon may have
        one to every other one.
        """
        now_ms = self._clock_ms()
        heartbeat = Heartbeat(0, self.loads())
        active_ms = _ACTIVE_HEARTBEATS * self._heartbeat_ms
        abandoned_ms = _ABANDONED_HEARTBEATS * self._heartbeat_ms
        for incoming in list(self._streams.values()):
            idle_ms = now_ms - incoming.active_ms
            if incoming.calls or idle_ms < active_ms:
                incoming.stream.send(heartbeat)
            elif idle_ms > abandoned_ms:
                incoming.stream.close()
        self._schedule()


__all__ = ["CallRunner", "CallServer", "Loads"]
