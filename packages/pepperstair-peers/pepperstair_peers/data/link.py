"""The calls to one daemon, over one stream at a time."""

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
    Reset,
    Welcome,
)
from pepperstair_http import BodyBuffer, StreamedResponse

from ..dialling import Dialler
from ..stream import FrameStream
from .outgoing import OutgoingCall

log = structlog.get_logger(__name__)

_N_RECOVERIES_MAX: Final = 3
SILENT_HEARTBEATS: Final = 2
_IDLE_HEARTBEATS: Final = 60
_IDS_MAX: Final = 4096
# Three dials with their pauses take four to five heartbeats. A call is asked for
# again where that is less than a quarter of the time that it came with.
_GIVEN_BACK_HEARTBEATS: Final = 20


class PeerLink:
    """Sends calls to one daemon and recovers them when a stream is lost.

    A call whose stream was lost is asked for again on a new stream, but only
    from the very process that took it: no other one can know what became of it.
    It is sent again where it is idempotent or never arrived.
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
        self._done_ids: list[int] = []
        self._opening: asyncio.Task[None] | None = None
        self._recovering: asyncio.Task[None] | None = None
        self._n_heard_bytes = 0
        self._heard_ms = 0
        self._used_ms = clock_ms()
        self.loads: dict[str, Load] = {}
        self.n_dropped_frames = 0
        self.n_replaced_streams = 0

    @property
    def n_calls(self) -> int:
        """Return the calls that are not over."""
        return len(self._calls)

    async def run(self, head: CallHead, body: BodyBuffer) -> StreamedResponse:
        """Send a call and wait for the head of its answer."""
        if not self._is_open:
            await self._open_once()
        call_id = head.call_id
        now_ms = self._clock_ms()
        call = OutgoingCall(
            head, self._start_id, now_ms, lambda n: self._grant(call_id, n)
        )
        if not self._calls:
            self._heard_ms = now_ms
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

    @property
    def is_unused(self) -> bool:
        """Return whether the link may be dropped."""
        return not (self._is_open or self._calls or self._opening)

    def tick(self, now_ms: int) -> None:
        """Look for silence, and tell which answers need not be kept."""
        if not self._is_open:
            return
        if self._stream.n_received_bytes != self._n_heard_bytes:
            self._n_heard_bytes = self._stream.n_received_bytes
            self._heard_ms = now_ms
        if self._done_ids:
            self._stream.send(CallsDone(tuple(self._done_ids)))
            self._done_ids.clear()
        if self._calls:
            self._used_ms = now_ms
            self._replace_silent(now_ms)
        elif now_ms - self._used_ms >= _IDLE_HEARTBEATS * self._heartbeat_ms:
            self._stream.close()

    def restart_silence(self, now_ms: int) -> None:
        """Count silence from now: it was this process that did not listen."""
        self._heard_ms = now_ms

    def close(self) -> None:
        """Break the stream; nobody knows what becomes of calls that are not over."""
        for task in (self._opening, self._recovering):
            if task is not None:
                task.cancel()
        calls = list(self._calls.values())
        self._calls.clear()
        for call in calls:
            call.fail(Failure(ErrorKind.OUTCOME_UNKNOWN, "this daemon is stopping"))
        if self._stream is not None:
            self._stream.finish()

    @property
    def _is_open(self) -> bool:
        return self._stream is not None and not self._stream.is_closed

    def _replace_silent(self, now_ms: int) -> None:
        """Give up a stream that is silent while calls wait.

        Something between two daemons can lose track of a connection: both ends
        hold it open, nothing arrives any more, and the callers would wait until
        their deadlines although a new connection works at once.

        How long silence may last is what either end says of its link: a large
        answer on a link of 5 Mbit/s holds up everything behind it for the better
        part of a second, and streams given up then would all be opened anew on that
        same link. One would notice calls lost on VMs that are well.
        """
        if now_ms - self._heard_ms >= self._silence_ms:
            self._stream.close()
            self._give_back_urgent()
            self._on_lost(self._stream)

    def _give_back_urgent(self) -> None:
        """Give the calls back that may run twice and can't wait for this daemon.

        It may be frozen or cut off. Asking it again takes several heartbeats, in
        which another target could have answered.
        """
        limit_ms = _GIVEN_BACK_HEARTBEATS * self._heartbeat_ms
        for call_id, call in list(self._calls.items()):
            if call.head.is_idempotent and call.head.time_left_ms <= limit_ms:
                del self._calls[call_id]
                call.fail(Failure(ErrorKind.OUTCOME_UNKNOWN, "the stream is silent"))

    async def _open_once(self) -> None:
        """Open a stream, sharing one attempt between the calls that need it."""
        if self._opening is None:
            self._opening = asyncio.get_running_loop().create_task(self._open())
            self._opening.add_done_callback(self._on_opened)
        await asyncio.shield(self._opening)
        if not self._is_open:
            raise _unreachable("the stream was lost at once")

    def _on_opened(self, opening: asyncio.Task[None]) -> None:
        self._opening = None
        if not opening.cancelled():
            opening.exception()

    async def _open(self) -> None:
        try:
            await self._dialler.dial(self._address, self._on_welcome)
        except (OSError, TimeoutError) as error:
            raise _unreachable(str(error) or "no answer in time") from error

    def _on_welcome(self, stream: FrameStream, welcome: Welcome) -> None:
        self._stream = stream
        self._start_id = welcome.start_id
        self._silence_ms = max(self._own_silence_ms, welcome.silence_ms)
        self._heard_ms = self._used_ms = self._clock_ms()
        self._n_heard_bytes = stream.n_received_bytes
        stream.on_frame = lambda frame: self._on_frame(stream, frame)
        stream.closed_callbacks.append(lambda reason: self._on_lost(stream))

    def _grant(self, call_id: int, n_bytes: int) -> None:
        if call_id in self._calls and self._is_open:
            self._stream.send(Credit(call_id, n_bytes))

    def _abandon(self, call_id: int) -> None:
        """Forget a call and tell the other side, unless it is over."""
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
            self._take_loads(frame)
            return
        call_id = getattr(frame, "call_id", None)
        if call_id is None:
            raise FrameError(f"{type(frame).__name__} has no place on a data stream")
        call = self._calls.get(call_id)
        if call is None:
            # Answers to calls that were given up on arrive late; matching by
            # id keeps them from being taken for another call's answer.
            self.n_dropped_frames += 1
            return
        if isinstance(frame, (AnswerHead, CallFailed)):
            # Fresher than the heartbeat: a choice made on a load of a second
            # ago sends a burst where there was room before it.
            load = Load(frame.n_in_flight, frame.n_queued)
            self.loads[call.head.target] = load
        if self._resend_denied(call, frame):
            return
        if call.take(frame):
            del self._calls[call_id]
            if not call.head.is_idempotent and len(self._done_ids) < _IDS_MAX:
                self._done_ids.append(call_id)

    def _resend_denied(self, call: OutgoingCall, frame: Any) -> bool:
        """Send a call again that a lost stream never delivered.

        The daemon that was asked has never seen it, and refuses it from then on
        where it comes on an earlier stream.
        """
        if not isinstance(frame, CallFailed) or frame.run is not RunStatus.NO:
            return False
        is_undelivered = frame.kind is ErrorKind.PEER_UNREACHABLE
        if not is_undelivered or not call.may_be_resent:
            return False
        call.resend(self._stream, self._start_id, self._clock_ms())
        return True

    def _take_loads(self, frame: Heartbeat) -> None:
        self.loads = {
            name: Load(n_in_flight, n_queued)
            for name, n_in_flight, n_queued in frame.loads
        }

    def _on_lost(self, stream: FrameStream) -> None:
        """Recover the calls, save those whose request or answer can't come again."""
        if stream is not self._stream:
            return
        self._stream = None
        self.loads = {}
        self._done_ids.clear()
        for call_id, call in list(self._calls.items()):
            call.stop_sending()
            if call.head.is_idempotent and not call.may_be_resent:
                del self._calls[call_id]
                call.fail(Failure(ErrorKind.OUTCOME_UNKNOWN, "the stream was lost"))
        if self._calls and self._recovering is None:
            self.n_replaced_streams += 1
            self._start_recovery(0)

    def _start_recovery(self, delay_ms: float) -> None:
        loop = asyncio.get_running_loop()
        self._recovering = loop.create_task(self._recover(delay_ms))
        self._recovering.add_done_callback(self._on_recovered)

    def _on_recovered(self, recovering: asyncio.Task[None]) -> None:
        self._recovering = None
        if self._calls and not self._is_open and not recovering.cancelled():
            self._start_recovery(self._heartbeat_ms / 4)

    async def _recover(self, delay_ms: float) -> None:
        """Ask on a new stream what became of the calls of a lost one.

        Once a head was written it may have run, whatever happened since: where
        the process that took it is gone, or can't be reached, the answer is
        that nobody knows.
        """
        await asyncio.sleep(delay_ms / 1000)
        for _ in range(_N_RECOVERIES_MAX):
            try:
                await self._open_once()
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
                call.ask_again(self._stream)
                continue
            del self._calls[call_id]
            detail = "the daemon that took it is gone"
            call.fail(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))


def _unreachable(detail: str) -> PepperstairError:
    """Return the failure of a call whose head was never written."""
    return PepperstairError(
        Failure(ErrorKind.PEER_UNREACHABLE, detail, run=RunStatus.NO)
    )


__all__ = ["SILENT_HEARTBEATS", "PeerLink"]
