"""One call that was sent to another daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import structlog
from msgspec.structs import replace

from pepperstair_core.errors import ErrorKind, Failure, PepperstairError
from pepperstair_core.wire import (
    AnswerHead,
    BodyEnd,
    BodyPart,
    CallFailed,
    CallHead,
    CallQuery,
    Credit,
    FrameError,
)
from pepperstair_http import BodyBuffer, ConnectionLostError

from ..stream import FrameStream
from .sending import CreditGate, iter_parts, send_body, send_data, take_part

log = structlog.get_logger(__name__)


class OutgoingCall:
    """Waits for the head of an answer, then feeds its body to the reader."""

    __slots__ = (
        "_deadline_ms",
        "_n_received_bytes",
        "_n_skipped_bytes",
        "_request",
        "_sender",
        "body",
        "credit",
        "answer",
        "head",
        "start_id",
        "stream",
    )

    def __init__(
        self,
        head: CallHead,
        start_id: int,
        now_ms: int,
        on_consumed: Callable[[int], None],
    ) -> None:
        loop = asyncio.get_running_loop()
        self.head = head
        self.start_id = start_id
        self._deadline_ms = now_ms + head.time_left_ms
        self.stream: FrameStream | None = None
        self.answer: asyncio.Future[AnswerHead] = loop.create_future()
        self.body = BodyBuffer(on_consumed)
        self.credit = CreditGate()
        self._sender: asyncio.Task[None] | None = None
        self._request: tuple[Any, ...] | None = None
        self._n_received_bytes = 0
        self._n_skipped_bytes = 0

    def send(self, stream: FrameStream, body: BodyBuffer) -> None:
        """Write the request, in one piece where its body is here already."""
        head = self.head
        self.stream = stream
        if not head.has_body:
            self._request = ()
            stream.send(head)
            return
        part = body.read_nowait() if body.is_whole else b""
        if body.is_empty and self.credit.take_nowait(len(part)):
            parts = [BodyPart(head.call_id, data) for data in iter_parts(part)]
            self._request = (*parts, BodyEnd(head.call_id))
            stream.send(head, *self._request)
            return
        stream.send(head)
        sending = self._send_body(stream, part, body)
        self._sender = asyncio.get_running_loop().create_task(sending)

    def take(self, frame: Any) -> bool:
        """Take a frame of the answer, and return whether the call is over."""
        if isinstance(frame, BodyPart):
            self._take_part(frame.data)
        elif isinstance(frame, AnswerHead):
            if not self.answer.done():
                self.answer.set_result(frame)
        elif isinstance(frame, BodyEnd):
            self.body.finish()
            return True
        elif isinstance(frame, CallFailed):
            self.fail(
                Failure(frame.kind, frame.detail, frame.retry_after_ms, frame.run)
            )
            return True
        elif isinstance(frame, Credit):
            self.credit.add(frame.n_bytes)
        else:
            raise FrameError(f"{type(frame).__name__} is no part of an answer")
        return False

    @property
    def may_be_resent(self) -> bool:
        """Return whether the whole request is here and no answer has begun."""
        return self._request is not None and not self.answer.done()

    def resend(self, stream: FrameStream, start_id: int, now_ms: int) -> None:
        """Send the request once more, where it did not run or may run twice."""
        self.stream = stream
        self.start_id = start_id
        self.credit = CreditGate()
        time_left_ms = max(0, self._deadline_ms - now_ms)
        self.head = replace(self.head, time_left_ms=time_left_ms)
        stream.send(self.head, *self._request)

    def ask_again(self, stream: FrameStream) -> None:
        """Ask on another stream, and skip what of the answer is here already."""
        self.stream = stream
        stream.send(CallQuery(self.head.call_id))
        self._n_skipped_bytes = self._n_received_bytes

    def stop_sending(self) -> None:
        """Stop the request's body, as its stream is lost or nobody wants it."""
        if self._sender is not None:
            self._sender.cancel()

    def fail(self, failure: Failure) -> None:
        """End the call for its reader, whether or not the answer had begun."""
        error = PepperstairError(failure)
        self.stop_sending()
        if self.answer.done():
            self.body.fail(error)
            return
        self.answer.set_exception(error)
        # The caller may have left already; an error that nobody reads is no
        # fault and must not be reported by the loop as one.
        self.answer.exception()

    def _take_part(self, data: bytes) -> None:
        skipped = min(self._n_skipped_bytes, len(data))
        self._n_skipped_bytes -= skipped
        fresh = data[skipped:] if skipped else data
        if fresh:
            self._n_received_bytes += len(fresh)
            take_part(self.body, fresh)

    async def _send_body(
        self, stream: FrameStream, part: bytes, body: BodyBuffer
    ) -> None:
        """Send the request's body, and take the call back where it is cut.

        The target would otherwise wait for the rest of it until its timeout,
        with a slot taken all the while.
        """
        call_id = self.head.call_id
        try:
            await send_data(stream, call_id, part, self.credit)
            await send_body(stream, call_id, body, self.credit)
        except ConnectionResetError:
            return
        except (ConnectionLostError, PepperstairError):
            self._sender = None
            self.fail(Failure(ErrorKind.CANCELLED, "the request's body was cut"))


__all__ = ["OutgoingCall"]
