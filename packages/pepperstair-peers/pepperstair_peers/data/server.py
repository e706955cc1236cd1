"""The receiving side of calls, which runs them at local targets and sends answers."""

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
from .incoming import IncomingCall, TargetLoad, call_failed_frame, send_kept_answer
from .sending import UNPACED

log = structlog.get_logger(__name__)

CallRunner = Callable[[CallHead, BodyBuffer], Awaitable[StreamedResponse]]
Loads = tuple[tuple[str, int, int], ...]

_N_ACTIVE_HEARTBEATS: Final = 5
_N_IDLE_HEARTBEATS: Final = 120
_RETRY_AFTER_MS: Final = 1000

_FAILURES_BY_STATE: Final = {
    RunState.NOT_KEPT: Failure(
        ErrorKind.OUTCOME_UNKNOWN,
        "the call ran; its answer was not kept",
        run=RunStatus.YES,
    ),
    RunState.NEVER_RUN: Failure(
        ErrorKind.PEER_UNREACHABLE, "the request was not received", run=RunStatus.NO
    ),
    RunState.UNKNOWN: Failure(
        ErrorKind.OUTCOME_UNKNOWN, "there is no record of the call"
    ),
}


class _IncomingStream:
    """A data stream opened by another daemon, with its calls."""

    def __init__(self, stream: FrameStream, hello: Hello, now_ms: int) -> None:
        self.stream = stream
        self.sender = Sender(hello.vm, hello.start_id)
        self.sequence = hello.sequence
        self.calls: dict[int, IncomingCall] = {}
        self.last_active_ms = now_ms
        self.last_asked_ms = now_ms

    def on_stream_lost(self) -> None:
        """Detach the calls from the lost stream."""
        calls = list(self.calls.values())
        self.calls.clear()
        for call in calls:
            if call.query_stream is self.stream:
                call.query_stream = None
            if call.stream is self.stream:
                call.on_stream_lost()


class CallServer:
    """Runs the calls received on all incoming data streams.

    `loads` returns the numbers of requests in flight and queued at each local
    target; they are sent with the heartbeats. `was_paused` returns whether a pause of
    this process has just ended. `pacer` limits the rate of large answers on the link.
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
        # Maps a type of question to the function that returns the answer. It gets the
        # sender too.
        self.question_handlers: dict[type, Callable[[Sender, Any], Any]] = {}
        self.n_calls = 0
        self.n_dropped_frames = 0

    @property
    def n_in_flight(self) -> int:
        """Return the number of calls whose answers are not sent yet."""
        return len(self._running)

    def serve_stream(self, stream: FrameStream, hello: Hello) -> None:
        """Serve the calls of a stream, which replaces its sender's earlier stream."""
        incoming = _IncomingStream(stream, hello, self._clock_ms())
        if not self._fence.admit(incoming.sender, hello.sequence):
            stream.close()
            return
        self._drop_stream(incoming.sender)
        self._streams[incoming.sender] = incoming
        stream.may_read = lambda: not self.was_paused()
        stream.on_frame = lambda frame: self._on_frame(incoming, frame)
        stream.closed_callbacks.append(lambda reason: self._on_closed(incoming))
        if self._timer is None:
            self._schedule()

    def reset_streams(self) -> None:
        """Close every stream without reading it, after a pause of this process.

        The callers have long abandoned the calls that the kernel buffered during the
        pause. Running these calls now could repeat a non-idempotent request, such as a
        booking, whose caller received `outcome_unknown` and has sent the request
        elsewhere.
        """
        for sender in list(self._streams):
            self._drop_stream(sender)

    def close(self) -> None:
        """Stop the heartbeats."""
        if self._timer is not None:
            self._timer.cancel()

    def _drop_stream(self, sender: Sender) -> None:
        incoming = self._streams.pop(sender, None)
        if incoming is not None:
            incoming.stream.close()
            incoming.on_stream_lost()

    def _on_closed(self, incoming: _IncomingStream) -> None:
        if self._streams.get(incoming.sender) is incoming:
            del self._streams[incoming.sender]
        incoming.on_stream_lost()

    def _on_frame(self, incoming: _IncomingStream, frame: Any) -> None:
        if isinstance(frame, CallHead):
            incoming.last_active_ms = self._clock_ms()
            self._start_call(incoming, frame)
        elif isinstance(frame, CallQuery):
            incoming.last_active_ms = self._clock_ms()
            self._answer_query(incoming, frame.call_id)
        elif isinstance(frame, CallsDone):
            for call_id in frame.call_ids:
                self._memory.release(CallKey(incoming.sender, call_id))
        elif (handle := self.question_handlers.get(type(frame))) is not None:
            incoming.last_asked_ms = self._clock_ms()
            incoming.stream.send(handle(incoming.sender, frame))
        elif (call_id := getattr(frame, "call_id", None)) is None:
            raise FrameError(f"unexpected {type(frame).__name__} on a data stream")
        elif (call := incoming.calls.get(call_id)) is not None:
            call.receive(frame)
        else:
            self.n_dropped_frames += 1

    def _start_call(self, incoming: _IncomingStream, head: CallHead) -> None:
        key = CallKey(incoming.sender, head.call_id)
        if not head.is_idempotent:
            refusal = self._admit(key, head.time_left_ms, incoming.sequence)
            if refusal is not None:
                incoming.stream.send(call_failed_frame(head.call_id, refusal))
                return
        call = IncomingCall(key, head, incoming.stream, self._load_of, self._pacer)
        incoming.calls[head.call_id] = call
        self._running[key] = call
        self.n_calls += 1
        call.task = asyncio.get_running_loop().create_task(self._answer(call))
        # This is a done callback because the coroutine of a call that is reset
        # before its task's first step never starts. Clean-up in the coroutine would
        # not run, and the call would be recorded as running forever.
        call.task.add_done_callback(lambda done: self._finish_call(incoming, call))

    def _admit(self, key: CallKey, time_left_ms: int, sequence: int) -> Failure | None:
        """Record a non-idempotent call, or return the reason why it may not run."""
        now_ms = self._clock_ms()
        admission = self._memory.begin(key, sequence, time_left_ms, now_ms)
        if admission is RunAdmission.ACCEPTED:
            return None
        if admission is RunAdmission.FULL:
            detail = "the record of recent calls is full"
            return Failure(ErrorKind.OVERLOADED, detail, _RETRY_AFTER_MS, RunStatus.NO)
        return Failure(
            ErrorKind.OUTCOME_UNKNOWN, "the call id may have been used before"
        )

    def _finish_call(self, incoming: _IncomingStream, call: IncomingCall) -> None:
        """Record the answer of a finished call, and send it if it was queried."""
        call_id = call.head.call_id
        incoming.calls.pop(call_id, None)
        # A resent idempotent call may already have replaced the entry of this call.
        if self._running.get(call.key) is call:
            del self._running[call.key]
        if not call.is_recorded:
            return
        kept = call.kept
        if call.task.cancelled():
            kept = KeptAnswer.of_failure(Failure(ErrorKind.CANCELLED))
        self._memory.finish(call.key, kept)
        if call.query_stream is not None:
            self._streams[incoming.sender].calls.pop(call_id, None)
            self._send_recorded_outcome(self._streams[incoming.sender], call.key)

    async def _answer(self, call: IncomingCall) -> None:
        """Run a call, and send its answer or the failure that ended it."""
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
            self._send_recorded_outcome(incoming, key)
            return
        call.query_stream = incoming.stream
        incoming.calls[call_id] = call

    def _send_recorded_outcome(self, incoming: _IncomingStream, key: CallKey) -> None:
        """Send the recorded outcome of a call that is not running."""
        result = self._memory.look_up(key, incoming.sequence, self._clock_ms())
        if result.answer is not None:
            send_kept_answer(incoming.stream, key.call_id, result.answer)
        else:
            incoming.stream.send(
                call_failed_frame(key.call_id, _FAILURES_BY_STATE[result.state])
            )

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._heartbeat_ms / 1000, self._send_heartbeats)

    def _send_heartbeats(self) -> None:
        """Send a heartbeat with the target loads on each stream in use.

        Streams without recent calls are skipped, because each daemon may have a stream
        to every other daemon. Questions do not need heartbeats.
        """
        now_ms = self._clock_ms()
        heartbeat = Heartbeat(0, self.loads())
        active_limit_ms = _N_ACTIVE_HEARTBEATS * self._heartbeat_ms
        idle_limit_ms = _N_IDLE_HEARTBEATS * self._heartbeat_ms
        for incoming in list(self._streams.values()):
            idle_ms = now_ms - incoming.last_active_ms
            if incoming.calls or idle_ms < active_limit_ms:
                incoming.stream.send(heartbeat)
            elif min(idle_ms, now_ms - incoming.last_asked_ms) > idle_limit_ms:
                incoming.stream.close()
        self._schedule()


__all__ = ["CallRunner", "CallServer", "Loads"]
