"""The calls to one daemon, sent over one stream at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import structlog

from pepperstair_core.calls import Load
from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, RunStatus
from pepperstair_core.wire import (
    AnswerHead,
    CallFailed,
    CallHead,
    CallsDone,
    Credit,
    FrameError,
    Heartbeat,
    QuotaGrant,
    Reset,
    Welcome,
)
from pepperstair_http import BodyBuffer, StreamedResponse

from ..dialling import Dialler
from ..stream import FrameStream
from .outgoing import OutgoingCall

log = structlog.get_logger(__name__)

_ANSWERS_TO_QUESTIONS: Final = (QuotaGrant,)
_N_RECOVERIES_MAX: Final = 3
N_SILENT_HEARTBEATS: Final = 2
_N_IDLE_HEARTBEATS: Final = 60
_N_COMPLETED_IDS_MAX: Final = 4096
# An idempotent call on a silent stream is recovered only if its initial `time_left_ms`
# exceeds this number of heartbeat intervals. Recovery by three dials, with the pauses
# between them, takes four to five intervals, less than a quarter of the time of such a
# call.
_N_URGENT_HEARTBEATS: Final = 20


class PeerLink:
    """Sends calls to one daemon and recovers them when a stream is lost.

    After the loss of its stream, the outcome of a non-idempotent call is queried on a
    new stream, but only from the process that accepted the call, because no other
    process knows the outcome. A call is resent if it is idempotent or was never
    received.
    """

    def __init__(
        self,
        address: str,
        dialler: Dialler,
        heartbeat_ms: int,
        silence_ms: int,
        clock_ms: Callable[[], int],
    ) -> None:
        self._own_silence_ms = self._silence_ms = silence_ms
        self._address = address
        self._dialler = dialler
        self._heartbeat_ms = heartbeat_ms
        self._clock_ms = clock_ms
        self._stream: FrameStream | None = None
        self._start_id = 0
        self._calls: dict[int, OutgoingCall] = {}
        self._completed_call_ids: list[int] = []
        # Maps the numbers of open questions to the futures of their answers.
        self._questions: dict[int, asyncio.Future[Any]] = {}
        self._unsent_questions: list[Any] = []
        # When the first question after the last answer was sent, or None.
        self._unanswered_since_ms: int | None = None
        self._open_task: asyncio.Task[None] | None = None
        self._recovery_task: asyncio.Task[None] | None = None
        self._n_last_received_bytes = 0
        self._last_received_ms = 0
        self._last_used_ms = clock_ms()
        self.loads: dict[str, Load] = {}
        self.n_dropped_frames = 0
        self.n_replaced_streams = 0

    @property
    def n_calls(self) -> int:
        """Return the number of unfinished calls."""
        return len(self._calls)

    async def run(self, head: CallHead, body: BodyBuffer) -> StreamedResponse:
        """Send a call and return its answer once the head has arrived."""
        if not self._is_open:
            await self._ensure_open()
        call_id = head.call_id
        now_ms = self._clock_ms()
        call = OutgoingCall(
            head, self._start_id, now_ms, lambda n: self._send_credit(call_id, n)
        )
        if not self._calls:
            self._last_received_ms = now_ms
        self._calls[call_id] = call
        call.send(self._stream, body)
        try:
            answer = await call.answer
        except BaseException:
            self._abandon(call_id)
            raise
        return StreamedResponse(
            answer.status, answer.headers, call.body, lambda: self._abandon(call_id)
        )

    async def ask(self, frame: Any) -> Any:
        """Send a question and return its answer, the frame with the same `number`.

        Raise PepperstairError if the stream can't be opened or is lost.
        """
        answer = asyncio.get_running_loop().create_future()
        self._questions[frame.number] = answer
        try:
            if not self._is_open:
                await self._ensure_open()
            self._send_soon(frame)
            return await answer
        finally:
            self._questions.pop(frame.number, None)

    @property
    def is_unused(self) -> bool:
        """Return whether the link has no calls and no open or opening stream."""
        return not (self._is_open or self._calls or self._open_task)

    def tick(self, now_ms: int) -> None:
        """Report completed calls, and close a silent or idle stream."""
        if not self._is_open:
            return
        if self._stream.n_received_bytes != self._n_last_received_bytes:
            self._n_last_received_bytes = self._stream.n_received_bytes
            self._last_received_ms = now_ms
        if self._completed_call_ids:
            self._stream.send(CallsDone(tuple(self._completed_call_ids)))
            self._completed_call_ids.clear()
        if self._calls:
            self._last_used_ms = now_ms
            self._replace_silent_stream(now_ms)
        elif self._is_ignored(now_ms) or self._is_idle(now_ms):
            self._stream.close()

    def reset_silence_timer(self, now_ms: int) -> None:
        """Restart the silence timeout after this process was paused or blocked."""
        self._last_received_ms = now_ms
        self._unanswered_since_ms = None

    def close(self) -> None:
        """Close the stream, and fail unfinished calls with `outcome_unknown`."""
        for task in (self._open_task, self._recovery_task):
            if task is not None:
                task.cancel()
        calls = list(self._calls.values())
        self._calls.clear()
        for call in calls:
            call.fail(Failure(ErrorKind.OUTCOME_UNKNOWN, "this daemon is stopping"))
        self._fail_questions("this daemon is stopping")
        if self._stream is not None:
            self._stream.finish()

    @property
    def _is_open(self) -> bool:
        return self._stream is not None and not self._stream.is_closed

    def _send_soon(self, question: Any) -> None:
        """Send a question in one write with others of the same loop iteration."""
        if not self._unsent_questions:
            asyncio.get_running_loop().call_soon(self._send_questions)
        self._unsent_questions.append(question)

    def _send_questions(self) -> None:
        questions, self._unsent_questions = self._unsent_questions, []
        if self._is_open:
            self._last_used_ms = now_ms = self._clock_ms()
            if self._unanswered_since_ms is None:
                self._unanswered_since_ms = now_ms
            self._stream.send(*questions)

    def _is_idle(self, now_ms: int) -> bool:
        return now_ms - self._last_used_ms >= _N_IDLE_HEARTBEATS * self._heartbeat_ms

    def _is_ignored(self, now_ms: int) -> bool:
        """Return whether questions were not answered for the silence timeout."""
        since_ms = self._unanswered_since_ms
        return since_ms is not None and now_ms - since_ms >= self._silence_ms

    def _fail_questions(self, detail: str) -> None:
        for answer in self._questions.values():
            if not answer.done():
                answer.set_exception(_unreachable_error(detail))

    def _replace_silent_stream(self, now_ms: int) -> None:
        """Close a stream that is silent while calls are waiting.

        A middlebox between two daemons can lose the state of a connection: both ends
        keep it open, but nothing arrives any more. The callers would wait until their
        deadlines, although a new connection works immediately.

        The silence timeout is the larger of the values configured at both ends for
        their links. A large answer on a 5 Mbit/s link delays everything behind it
        for most of a second. If streams were closed because of that delay, all of
        them would be reopened on the same link, and calls would fail on healthy VMs.
        """
        if now_ms - self._last_received_ms >= self._silence_ms:
            self._stream.close()
            self._fail_urgent_calls()
            self._on_stream_lost(self._stream)

    def _fail_urgent_calls(self) -> None:
        """Fail idempotent calls with too little time left for recovery.

        The daemon may be paused or partitioned. Recovery takes several heartbeats; in
        that time, a retry at another target can be answered.
        """
        limit_ms = _N_URGENT_HEARTBEATS * self._heartbeat_ms
        for call_id, call in list(self._calls.items()):
            if call.head.is_idempotent and call.head.time_left_ms <= limit_ms:
                del self._calls[call_id]
                call.fail(
                    Failure(ErrorKind.OUTCOME_UNKNOWN, "no data received on the stream")
                )

    async def _ensure_open(self) -> None:
        """Open a stream; concurrent calls share one attempt."""
        if self._open_task is None:
            self._open_task = asyncio.get_running_loop().create_task(self._open())
            self._open_task.add_done_callback(self._on_opened)
        await asyncio.shield(self._open_task)
        if not self._is_open:
            raise _unreachable_error("the stream was closed immediately")

    def _on_opened(self, open_task: asyncio.Task[None]) -> None:
        self._open_task = None
        if not open_task.cancelled():
            open_task.exception()

    async def _open(self) -> None:
        try:
            await self._dialler.dial(self._address, self._on_welcome)
        except (OSError, TimeoutError) as error:
            raise _unreachable_error(str(error) or "no answer in time") from error

    def _on_welcome(self, stream: FrameStream, welcome: Welcome) -> None:
        self._stream = stream
        self._unanswered_since_ms = None
        self._start_id = welcome.start_id
        self._silence_ms = max(self._own_silence_ms, welcome.silence_ms)
        self._last_received_ms = self._last_used_ms = self._clock_ms()
        self._n_last_received_bytes = stream.n_received_bytes
        stream.on_frame = lambda frame: self._on_frame(stream, frame)
        stream.closed_callbacks.append(lambda reason: self._on_stream_lost(stream))

    def _send_credit(self, call_id: int, n_bytes: int) -> None:
        if call_id in self._calls and self._is_open:
            self._stream.send(Credit(call_id, n_bytes))

    def _abandon(self, call_id: int) -> None:
        """Drop an unfinished call and send a Reset for it."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return
        call.stop_sending()
        if self._is_open:
            self._stream.send(Reset(call_id))

    def _on_frame(self, stream: FrameStream, frame: Any) -> None:
        if stream is not self._stream:
            return
        if isinstance(frame, Heartbeat):
            self._update_loads(frame)
            return
        if isinstance(frame, _ANSWERS_TO_QUESTIONS):
            self._answer_question(frame)
            return
        call_id = getattr(frame, "call_id", None)
        if call_id is None:
            raise FrameError(f"unexpected {type(frame).__name__} on a data stream")
        call = self._calls.get(call_id)
        if call is None:
            # This is a late answer to an abandoned call. Matching by id prevents the
            # answer from being delivered to another call.
            self.n_dropped_frames += 1
            return
        if isinstance(frame, (AnswerHead, CallFailed)):
            # The load in this frame is newer than the load in the last heartbeat. If
            # targets were chosen by loads that are a second old, a target that has
            # become full would receive a burst of calls.
            load = Load(frame.n_in_flight, frame.n_queued)
            self.loads[call.head.target] = load
        if self._resend_undelivered(call, frame):
            return
        if call.receive(frame):
            del self._calls[call_id]
            if (
                not call.head.is_idempotent
                and len(self._completed_call_ids) < _N_COMPLETED_IDS_MAX
            ):
                self._completed_call_ids.append(call_id)

    def _answer_question(self, frame: Any) -> None:
        self._unanswered_since_ms = None
        answer = self._questions.get(frame.number)
        if answer is None or answer.done():
            self.n_dropped_frames += 1
        else:
            answer.set_result(frame)

    def _resend_undelivered(self, call: OutgoingCall, frame: Any) -> bool:
        """Resend a call that did not reach the peer, and return whether it was resent.

        The peer has replied to an outcome query that it never received the call. From
        then on the peer refuses the call on any earlier stream, so the call can't run
        twice.
        """
        if not isinstance(frame, CallFailed) or frame.run is not RunStatus.NO:
            return False
        is_undelivered = frame.kind is ErrorKind.PEER_UNREACHABLE
        if not is_undelivered or not call.is_resendable:
            return False
        call.resend(self._stream, self._start_id, self._clock_ms())
        return True

    def _update_loads(self, frame: Heartbeat) -> None:
        self.loads = {
            name: Load(n_in_flight, n_queued)
            for name, n_in_flight, n_queued in frame.loads
        }

    def _on_stream_lost(self, stream: FrameStream) -> None:
        """Start recovery, and fail idempotent calls that cannot be resent.

        Recovery resends idempotent calls and queries the outcome of the other calls.
        """
        if stream is not self._stream:
            return
        self._stream = None
        self.loads = {}
        self._completed_call_ids.clear()
        self._fail_questions("the stream was lost")
        for call_id, call in list(self._calls.items()):
            call.stop_sending()
            if call.head.is_idempotent and not call.is_resendable:
                del self._calls[call_id]
                call.fail(
                    Failure(
                        ErrorKind.OUTCOME_UNKNOWN, "the stream was lost during the call"
                    )
                )
        if self._calls and self._recovery_task is None:
            self.n_replaced_streams += 1
            self._start_recovery(0)

    def _start_recovery(self, delay_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._recovery_task = loop.create_task(self._recover(delay_ms))
        self._recovery_task.add_done_callback(self._on_recovered)

    def _on_recovered(self, recovery_task: asyncio.Task[None]) -> None:
        self._recovery_task = None
        if self._calls and not self._is_open and not recovery_task.cancelled():
            self._start_recovery(self._heartbeat_ms / 4)

    async def _recover(self, delay_ms: float) -> None:
        """Open a new stream, and resend or query the calls of the lost stream.

        A call may have run once its head was written. It therefore fails with
        `outcome_unknown` if the daemon is unreachable, or if the process that accepted
        the call has exited and the call is not idempotent.
        """
        await asyncio.sleep(delay_ms / 1000)
        for _ in range(_N_RECOVERIES_MAX):
            try:
                await self._ensure_open()
                break
            except PepperstairError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    break
                await asyncio.sleep(self._heartbeat_ms / 1000 / 4)
        for call_id, call in list(self._calls.items()):
            if self._is_open and call.stream is self._stream:
                continue
            if self._is_open and call.head.is_idempotent:
                call.resend(self._stream, self._start_id, self._clock_ms())
                continue
            if self._is_open and call.start_id == self._start_id:
                call.query_outcome(self._stream)
                continue
            del self._calls[call_id]
            detail = "the daemon restarted or is unreachable"
            call.fail(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))


def _unreachable_error(detail: str) -> PepperstairError:
    """Return the error for a call whose head was never written."""
    return PepperstairError(
        Failure(ErrorKind.PEER_UNREACHABLE, detail, run=RunStatus.NO)
    )


__all__ = ["N_SILENT_HEARTBEATS", "PeerLink"]
