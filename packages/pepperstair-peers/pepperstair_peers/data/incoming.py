"""A call received from another daemon, and the relay of its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import structlog

from pepperstair_core.calls import LinkPacer
from pepperstair_core.calls.run_memory import (
    ANSWER_KEPT_MAX_BYTES,
    CallKey,
    KeptAnswer,
)
from pepperstair_core.errors import Failure
from pepperstair_core.wire import (
    AnswerHead,
    BodyEnd,
    BodyPart,
    CallFailed,
    CallHead,
    Credit,
    FrameError,
    Reset,
)
from pepperstair_http import BodyBuffer, ConnectionLostError, StreamedResponse

from ..stream import FrameStream
from .sending import CreditGate, iter_parts, receive_part, send_data

log = structlog.get_logger(__name__)


TargetLoad = tuple[int, int]
LoadLookup = Callable[[str], TargetLoad]


class IncomingCall:
    """Represents a call that runs at this daemon.

    `stream` is the stream to which the answer is relayed as it arrives, and None
    once that stream is lost. `query_stream` is a later stream on which the caller
    queried the call; it receives the complete answer when the call has finished.
    """

    __slots__ = (
        "_load_of",
        "query_stream",
        "body",
        "credit",
        "head",
        "kept",
        "key",
        "pacer",
        "stream",
        "task",
    )

    def __init__(
        self,
        key: CallKey,
        head: CallHead,
        stream: FrameStream,
        load_of: LoadLookup,
        pacer: LinkPacer,
    ) -> None:
        self.pacer = pacer
        self._load_of = load_of
        self.key = key
        self.head = head
        self.stream: FrameStream | None = stream
        self.query_stream: FrameStream | None = None
        self.credit = CreditGate()
        self.kept: KeptAnswer | None = None
        self.task: asyncio.Task[None] | None = None
        self.body = BodyBuffer(self._send_credit)
        if not head.has_body:
            self.body.finish()

    @property
    def is_recorded(self) -> bool:
        """Return whether the outcome is recorded so that the caller can query it."""
        return not self.head.is_idempotent

    def receive(self, frame: Any) -> None:
        """Process a frame that belongs to the call, or raise FrameError."""
        if isinstance(frame, BodyPart):
            receive_part(self.body, frame.data)
        elif isinstance(frame, BodyEnd):
            self.body.finish()
        elif isinstance(frame, Credit):
            self.credit.add(frame.n_bytes)
        elif isinstance(frame, Reset):
            self.task.cancel()
        else:
            raise FrameError(f"unexpected {type(frame).__name__} in a request")

    def on_stream_lost(self) -> None:
        """Handle the loss of the stream.

        A non-idempotent call continues, so that its answer can be queried. An
        incomplete request body fails, so that the target never sees it as complete.
        """
        self.stream = None
        self.credit.on_stream_lost()
        if not self.is_recorded:
            self.task.cancel()
            return
        self.body.fail(ConnectionLostError("stream lost during the request"))

    async def relay(self, response: StreamedResponse) -> KeptAnswer | None:
        """Send an answer as it arrives, and return it if it is to be recorded."""
        load = self._load_of(self.head.target)
        head = AnswerHead(self.head.call_id, response.status, response.headers, *load)
        part = response.body.read_nowait()
        may_send_in_one_write = (
            response.body.is_exhausted and self.pacer.may_send_in_one_write(len(part))
        )
        if may_send_in_one_write and self.credit.try_acquire(len(part)):
            parts = [BodyPart(self.head.call_id, data) for data in iter_parts(part)]
            self.send(head, *parts, BodyEnd(self.head.call_id))
            return self._keep(response, [part]) if self.is_recorded else None
        self.send(head)
        kept = await self._relay_body(response, part)
        self.send(BodyEnd(self.head.call_id))
        return None if kept is None else self._keep(response, kept)

    def fail(self, failure: Failure) -> None:
        """Send a CallFailed frame with the failure that ended the call."""
        load = self._load_of(self.head.target)
        self.send(call_failed_frame(self.head.call_id, failure, load))

    def send(self, *frames: Any) -> None:
        """Send frames on the stream of the call, unless it is lost."""
        if self.stream is not None:
            self.stream.send(*frames)

    async def _relay_body(
        self, response: StreamedResponse, part: bytes
    ) -> list[bytes] | None:
        """Send a body and return its parts for the record of the call.

        Return None if the call is not recorded or the body is too large to be kept.
        """
        kept: list[bytes] | None = [] if self.is_recorded else None
        n_kept_bytes = 0
        data = part or await response.body.read()
        while data:
            if kept is not None:
                n_kept_bytes += len(data)
                kept.append(data)
            if n_kept_bytes > ANSWER_KEPT_MAX_BYTES:
                kept = None
            await self._send_data(data)
            if self.stream is None and kept is None:
                return None
            data = await response.body.read()
        return kept

    async def _send_data(self, data: bytes) -> None:
        if self.stream is None:
            return
        try:
            await send_data(
                self.stream, self.head.call_id, data, self.credit, self.pacer
            )
        except ConnectionResetError:
            self.stream = None

    def _keep(self, response: StreamedResponse, parts: list[bytes]) -> KeptAnswer:
        return KeptAnswer(response.status, response.headers, b"".join(parts))

    def _send_credit(self, n_bytes: int) -> None:
        """Grant more credit for the request body, unless it is complete.

        Unneeded credit would cost a write here and a wake-up of the other daemon
        for each small call.
        """
        if self.body.is_complete:
            return
        self.send(Credit(self.head.call_id, n_bytes))


def send_kept_answer(stream: FrameStream, call_id: int, answer: KeptAnswer) -> None:
    """Send a kept answer, which always fits into the initial credit of a call."""
    if answer.failure is not None:
        stream.send(call_failed_frame(call_id, answer.failure))
        return
    parts = [BodyPart(call_id, part) for part in iter_parts(answer.body)]
    head = AnswerHead(call_id, answer.status, answer.headers)
    stream.send(head, *parts, BodyEnd(call_id))


def call_failed_frame(
    call_id: int, failure: Failure, load: TargetLoad = (0, 0)
) -> CallFailed:
    """Return the CallFailed frame for a failure."""
    return CallFailed(
        call_id,
        failure.kind,
        failure.run_status,
        failure.detail,
        failure.retry_after_ms,
        *load,
    )


__all__ = [
    "IncomingCall",
    "LoadLookup",
    "TargetLoad",
    "call_failed_frame",
    "send_kept_answer",
]
