"""One call that another daemon sent here, and where its answer goes."""

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
from .sending import CreditGate, iter_parts, send_data, take_part

log = structlog.get_logger(__name__)


TargetLoad = tuple[int, int]
LoadOf = Callable[[str], TargetLoad]


class IncomingCall:
    """A call that runs here.

    `stream` is where the answer goes while it comes, None once that stream is
    lost. `asker` is a later stream on which the caller asked for the call: it
    gets the whole answer when there is one.
    """

    __slots__ = (
        "_load_of",
        "asker",
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
        load_of: LoadOf,
        pacer: LinkPacer,
    ) -> None:
        self.pacer = pacer
        self._load_of = load_of
        self.key = key
        self.head = head
        self.stream: FrameStream | None = stream
        self.asker: FrameStream | None = None
        self.credit = CreditGate()
        self.kept: KeptAnswer | None = None
        self.task: asyncio.Task[None] | None = None
        self.body = BodyBuffer(self._grant)
        if not head.has_body:
            self.body.finish()

    @property
    def is_remembered(self) -> bool:
        """Return whether what becomes of the call is kept for asking again."""
        return not self.head.is_idempotent

    def take(self, frame: Any) -> None:
        """Take a frame that belongs to the call."""
        if isinstance(frame, BodyPart):
            take_part(self.body, frame.data)
        elif isinstance(frame, BodyEnd):
            self.body.finish()
        elif isinstance(frame, Credit):
            self.credit.add(frame.n_bytes)
        elif isinstance(frame, Reset):
            self.task.cancel()
        else:
            raise FrameError(f"{type(frame).__name__} is no part of a request")

    def lose(self) -> None:
        """Take the loss of the stream.

        A non-idempotent call runs on, so that its answer can be asked for; of a
        request that is not whole the target must never see an end.
        """
        self.stream = None
        self.credit.lose()
        if not self.is_remembered:
            self.task.cancel()
            return
        self.body.fail(ConnectionLostError("the stream was lost"))

    async def relay(self, response: StreamedResponse) -> KeptAnswer | None:
        """Send an answer as it comes, and return it where it is to be kept."""
        load = self._load_of(self.head.target)
        head = AnswerHead(self.head.call_id, response.status, response.headers, *load)
        part = response.body.read_nowait()
        is_whole = response.body.is_empty and self.pacer.may_send_whole(len(part))
        if is_whole and self.credit.take_nowait(len(part)):
            parts = [BodyPart(self.head.call_id, data) for data in iter_parts(part)]
            self.send(head, *parts, BodyEnd(self.head.call_id))
            return self._keep(response, [part]) if self.is_remembered else None
        self.send(head)
        kept = await self._relay_body(response, part)
        self.send(BodyEnd(self.head.call_id))
        return None if kept is None else self._keep(response, kept)

    def fail(self, failure: Failure) -> None:
        """Send the failure that ended the call."""
        load = self._load_of(self.head.target)
        self.send(failed(self.head.call_id, failure, load))

    def send(self, *frames: Any) -> None:
        """Send frames to the stream of the call, while there is one."""
        if self.stream is not None:
            self.stream.send(*frames)

    async def _relay_body(
        self, response: StreamedResponse, part: bytes
    ) -> list[bytes] | None:
        """Send a body and collect it, None where it grew too large to keep."""
        kept: list[bytes] | None = [] if self.is_remembered else None
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

    def _grant(self, n_bytes: int) -> None:
        """Permit more of the request's body, unless all of it is here.

        A credit that nobody needs would cost a write here and a wake-up of the
        other daemon for each small call.
        """
        if self.body.is_whole:
            return
        self.send(Credit(self.head.call_id, n_bytes))


def send_kept(stream: FrameStream, call_id: int, answer: KeptAnswer) -> None:
    """Send a kept answer; it fits the credit that every call starts with."""
    if answer.failure is not None:
        stream.send(failed(call_id, answer.failure))
        return
    parts = [BodyPart(call_id, part) for part in iter_parts(answer.body)]
    head = AnswerHead(call_id, answer.status, answer.headers)
    stream.send(head, *parts, BodyEnd(call_id))


def failed(call_id: int, failure: Failure, load: TargetLoad = (0, 0)) -> CallFailed:
    """Return the frame that ends a call with a failure."""
    return CallFailed(
        call_id,
        failure.kind,
        failure.run_status,
        failure.detail,
        failure.retry_after_ms,
        *load,
    )


__all__ = ["IncomingCall", "LoadOf", "TargetLoad", "failed", "send_kept"]
