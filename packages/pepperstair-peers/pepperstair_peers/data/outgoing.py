"""A call sent to another daemon."""

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
from .sending import CreditGate, iter_parts, receive_part, send_body, send_data

log = structlog.get_logger(__name__)


class OutgoingCall:
    """Represents a call in flight: its request, its answer's head and its body."""

    __slots__ = (
        "_deadline_ms",
        "_n_received_bytes",
        "_n_bytes_to_skip",
        "_request",
        "_body_task",
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
        self._body_task: asyncio.Task[None] | None = None
        self._request: tuple[Any, ...] | None = None
        self._n_received_bytes = 0
        self._n_bytes_to_skip = 0

    def send(self, stream: FrameStream, body: BodyBuffer) -> None:
        """Send the request, in a single write if its whole body is available."""
        head = self.head
        self.stream = stream
        if not head.has_body:
            self._request = ()
            stream.send(head)
            return
        part = body.read_nowait() if body.is_complete else b""
        if body.is_exhausted and self.credit.try_acquire(len(part)):
            parts = [BodyPart(head.call_id, data) for data in iter_parts(part)]
            self._request = (*parts, BodyEnd(head.call_id))
            stream.send(head, *self._request)
            return
        stream.send(head)
        sending = self._send_body(stream, part, body)
        self._body_task = asyncio.get_running_loop().create_task(sending)

    def receive(self, frame: Any) -> bool:
        """Process a frame of the answer, and return whether the call is finished."""
        if isinstance(frame, BodyPart):
            self._receive_part(frame.data)
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
            raise FrameError(f"unexpected {type(frame).__name__} in an answer")
        return False

    @property
    def is_resendable(self) -> bool:
        """Return whether the whole request is buffered and no answer has started."""
        return self._request is not None and not self.answer.done()

    def resend(self, stream: FrameStream, start_id: int, now_ms: int) -> None:
        """Resend a request that did not run or is idempotent."""
        self.stream = stream
        self.start_id = start_id
        self.credit = CreditGate()
        time_left_ms = max(0, self._deadline_ms - now_ms)
        self.head = replace(self.head, time_left_ms=time_left_ms)
        stream.send(self.head, *self._request)

    def query_outcome(self, stream: FrameStream) -> None:
        """Query the outcome of the call on a new stream.

        The bytes of the answer that were received on an earlier stream are skipped.
        """
        self.stream = stream
        stream.send(CallQuery(self.head.call_id))
        self._n_bytes_to_skip = self._n_received_bytes

    def stop_sending(self) -> None:
        """Stop sending the request body when the stream is lost or the call ends."""
        if self._body_task is not None:
            self._body_task.cancel()

    def fail(self, failure: Failure) -> None:
        """Fail the call for its reader, whether or not the answer has started."""
        error = PepperstairError(failure)
        self.stop_sending()
        if self.answer.done():
            self.body.fail(error)
            return
        self.answer.set_exception(error)
        # The caller may have disconnected already. Retrieving the exception keeps the
        # event loop from logging it as never retrieved.
        self.answer.exception()

    def _receive_part(self, data: bytes) -> None:
        n_skipped = min(self._n_bytes_to_skip, len(data))
        self._n_bytes_to_skip -= n_skipped
        new_data = data[n_skipped:] if n_skipped else data
        if new_data:
            self._n_received_bytes += len(new_data)
            receive_part(self.body, new_data)

    async def _send_body(
        self, stream: FrameStream, part: bytes, body: BodyBuffer
    ) -> None:
        """Send the request body, and fail the call if the body is truncated.

        If the call did not fail, the target would wait for the rest of the body until
        its timeout and occupy a slot meanwhile.
        """
        call_id = self.head.call_id
        try:
            await send_data(stream, call_id, part, self.credit)
            await send_body(stream, call_id, body, self.credit)
        except ConnectionResetError:
            return
        except (ConnectionLostError, PepperstairError):
            self._body_task = None
            self.fail(Failure(ErrorKind.CANCELLED, "request body truncated"))


__all__ = ["OutgoingCall"]
