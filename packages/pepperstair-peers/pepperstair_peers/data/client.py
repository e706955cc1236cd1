"""The sending side of calls: one data stream to each daemon in use."""

from __future__ import annotations

import asyncio
from typing import Any

import structlog

from pepperstair_core.config import parse_address
from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, Run
from pepperstair_core.wire import (
    AnswerHead,
    BodyEnd,
    BodyPart,
    CallFailed,
    CallHead,
    Credit,
    Heartbeat,
    Reset,
    StreamKind,
    Welcome,
)
from pepperstair_http import BodyBuffer, StreamedResponse

from ..counters import FrameCounters
from ..identity import Identity
from ..stream import FrameStream, open_stream
from .sending import CreditGate, send_body

log = structlog.get_logger(__name__)


class _OutgoingCall:
    """One call that waits for its answer or is reading it."""

    __slots__ = ("body", "credit", "head", "sender")

    def __init__(self, body: BodyBuffer) -> None:
        self.head: asyncio.Future[AnswerHead] = (
            asyncio.get_running_loop().create_future()
        )
        self.body = body
        self.credit = CreditGate()
        self.sender: asyncio.Task[None] | None = None

    def fail(self, failure: Failure) -> None:
        """End the call for its reader, whether or not the answer had begun."""
        error = PepperstairError(failure)
        if self.sender is not None:
            self.sender.cancel()
        if self.head.done():
            self.body.fail(error)
            return
        self.head.set_exception(error)
        self.head.exception()


class _DataStream:
    """The calls on one stream to one daemon, matched to answers by id."""

    def __init__(self, stream: FrameStream) -> None:
        self.stream = stream
        self.calls: dict[int, _OutgoingCall] = {}
        self.loads: dict[str, tuple[int, int]] = {}
        self.n_dropped_answers = 0
        stream.on_frame = self._on_frame
        stream.closed_callbacks.append(self._on_closed)

    async def run(self, head: CallHead, body: BodyBuffer) -> StreamedResponse:
        """Send a call and wait for the head of its answer."""
        call_id = head.call_id
        call = _OutgoingCall(BodyBuffer(lambda n: self._grant(call_id, n)))
        self.calls[call_id] = call
        self._send_request(call, head, body)
        try:
            answer = await call.head
        except BaseException:
            self._abandon(call_id)
            raise
        return StreamedResponse(
            answer.status, answer.headers, call.body, lambda: self._abandon(call_id)
        )

    def _send_request(
        self, call: _OutgoingCall, head: CallHead, body: BodyBuffer
    ) -> None:
        """Write the call, in one piece where its body is here already."""
        if not head.has_body:
            self.stream.send(head)
            return
        self.stream.send(head)
        call.sender = asyncio.get_running_loop().create_task(
            send_body(self.stream, head.call_id, body, call.credit)
        )

    def _grant(self, call_id: int, n_bytes: int) -> None:
        if call_id in self.calls:
            self.stream.send(Credit(call_id, n_bytes))

    def _abandon(self, call_id: int) -> None:
        """Forget a call and tell the other side, unless it is over."""
        call = self.calls.pop(call_id, None)
        if call is None:
            return
        if call.sender is not None:
            call.sender.cancel()
        self.stream.send(Reset(call_id))

    def _on_frame(self, frame: Any) -> None:
        if isinstance(frame, Heartbeat):
            self.loads = {name: (busy, queued) for name, busy, queued in frame.loads}
            return
        if isinstance(frame, Welcome):
            return
        call = self.calls.get(frame.call_id)
        if call is None:
            # Answers to calls that were given up on arrive late; matching by
            # id keeps them from being taken for another call's answer.
            self.n_dropped_answers += 1
            return
        if isinstance(frame, AnswerHead):
            if not call.head.done():
                call.head.set_result(frame)
        elif isinstance(frame, BodyPart):
            call.body.feed(frame.data)
        elif isinstance(frame, BodyEnd):
            del self.calls[frame.call_id]
            call.body.finish()
        elif isinstance(frame, CallFailed):
            del self.calls[frame.call_id]
            call.fail(
                Failure(frame.kind, frame.detail, frame.retry_after_ms, frame.run)
            )
        elif isinstance(frame, Credit):
            call.credit.add(frame.n_bytes)

    def _on_closed(self, reason: str) -> None:
        calls = list(self.calls.values())
        self.calls.clear()
        for call in calls:
            call.fail(Failure(ErrorKind.OUTCOME_UNKNOWN, "the stream was lost"))


class CallClient:
    """Carries calls to other daemons over one stream each."""

    def __init__(
        self, identity: Identity, frame_max_bytes: int, counters: FrameCounters
    ) -> None:
        self._identity = identity
        self._frame_max_bytes = frame_max_bytes
        self._counters = counters
        self._streams: dict[str, _DataStream] = {}
        self._opening: dict[str, asyncio.Future[_DataStream]] = {}

    async def run(
        self, peer_address: str, head: CallHead, body: BodyBuffer
    ) -> StreamedResponse:
        """Send a call to the daemon at an address, or raise PepperstairError."""
        stream = self._streams.get(peer_address)
        if stream is None or stream.stream.is_closed:
            stream = await self._open_once(peer_address)
        return await stream.run(head, body)

    def close(self) -> None:
        """Break every stream."""
        for stream in self._streams.values():
            stream.stream.close()

    async def _open_once(self, peer_address: str) -> _DataStream:
        """Open a stream, sharing one attempt between the calls that need it."""
        opening = self._opening.get(peer_address)
        if opening is None:
            loop = asyncio.get_running_loop()
            opening = loop.create_task(self._open(peer_address))
            self._opening[peer_address] = opening
            opening.add_done_callback(lambda done: self._opening.pop(peer_address))
        return await asyncio.shield(opening)

    async def _open(self, peer_address: str) -> _DataStream:
        host, port = parse_address(peer_address)
        try:
            stream = await open_stream(
                host, port, self._frame_max_bytes, self._counters
            )
        except OSError as error:
            failure = Failure(ErrorKind.PEER_UNREACHABLE, str(error), run=Run.NO)
            raise PepperstairError(failure) from error
        stream.send(self._identity.hello(StreamKind.DATA))
        opened = _DataStream(stream)
        self._streams[peer_address] = opened
        return opened


__all__ = ["CallClient"]
