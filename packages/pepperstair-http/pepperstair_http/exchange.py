"""One request and its answer, as presented to a handler."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final, Protocol

import h11
import structlog

from .body import BodyBuffer
from .messages import Headers, Request

log = structlog.get_logger(__name__)

_END: Final = h11.EndOfMessage()


class AnswerChannel(Protocol):
    """The part of a connection that an exchange needs to send its answer."""

    def is_next_to_answer(self, exchange: Exchange) -> bool:
        """Return whether all earlier requests of the connection are answered."""

    async def wait_for_turn(self, exchange: Exchange) -> None:
        """Wait until all earlier requests of the connection are answered."""

    def closes_after(self, exchange: Exchange) -> bool:
        """Decide whether the connection closes after this answer."""

    def is_repeatable(self, request: Request) -> bool:
        """Return whether a request may safely run twice."""

    async def write(self, data: bytes) -> None:
        """Write at the client's pace; raise ConnectionResetError after a disconnect."""

    def abort(self) -> None:
        """Reset the connection immediately."""


class Exchange:
    """One request with its body, and the methods that send its answer.

    A handler sends either a complete answer with `respond`, or an answer whose body
    is still arriving with `stream`. If it cannot complete an answer, it calls
    `abort`: the client then sees a reset connection and can't mistake a truncated
    body for a complete one.

    An answer waits until all earlier requests of the connection are answered.
    `state` is the h11 connection for this request and its answer only. `is_started` is
    set once the handler runs. `queued_s` is how long the request waited behind earlier
    requests before the handler ran; it is part of the time that the client waits.
    """

    __slots__ = (
        "_channel",
        "_waiting_answer",
        "body",
        "arrived_s",
        "has_started_answer",
        "queued_s",
        "is_started",
        "request",
        "state",
    )

    def __init__(
        self,
        channel: AnswerChannel,
        state: h11.Connection,
        request: Request,
        body: BodyBuffer,
        arrived_s: float = 0.0,
    ) -> None:
        self.arrived_s = arrived_s
        self.queued_s = 0.0
        self._channel = channel
        self._waiting_answer: BodyBuffer | None = None
        self.state = state
        self.request = request
        self.body = body
        self.has_started_answer = False
        self.is_started = False

    @property
    def is_complete(self) -> bool:
        """Return whether the whole request has arrived."""
        return self.body.is_complete

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may safely run twice."""
        return self._channel.is_repeatable(self.request)

    @property
    def n_body_bytes(self) -> int:
        """Return the number of buffered bytes of the request body."""
        return self.body.n_bytes

    @property
    def n_waiting_answer_bytes(self) -> int:
        """Return the number of answer bytes held back until earlier answers end."""
        return self._waiting_answer.n_bytes if self._waiting_answer is not None else 0

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        if not self._channel.is_next_to_answer(self):
            await self._channel.wait_for_turn(self)
        length = (b"content-length", str(len(body)).encode())
        head = self._head(status, (*headers, length))
        if body and self.request.method != "HEAD":
            await self._send(head, h11.Data(data=body), _END)
            return
        await self._send(head, _END)

    async def stream(self, status: int, headers: Headers, body: BodyBuffer) -> None:
        """Send an answer while its body arrives, at the pace the client reads.

        The parts that have already arrived are sent in one write with the head, and
        with the end if the body is complete: a small answer in three writes would
        wake the client three times. If the body fails, its error is raised.
        """
        if not self._channel.is_next_to_answer(self):
            self._waiting_answer = body
            await self._channel.wait_for_turn(self)
            self._waiting_answer = None
        events = [self._head(status, headers)]
        is_head_only = self.request.method == "HEAD"
        while True:
            while part := body.read_nowait():
                if not is_head_only:
                    events.append(h11.Data(data=part))
            if body.is_exhausted:
                await self._send(*events, _END)
                return
            if events:
                await self._send(*events)
            part = await body.read()
            events = [h11.Data(data=part)] if part and not is_head_only else []

    def abort(self) -> None:
        """Reset the connection because the answer cannot be completed."""
        self._channel.abort()

    async def _send(self, *events: h11.Event) -> None:
        """Write events in a single write."""
        data = b"".join([self.state.send(event) or b"" for event in events])
        await self._channel.write(data)

    def _head(self, status: int, headers: Headers) -> h11.Response:
        self.has_started_answer = True
        if self._channel.closes_after(self):
            headers = (*headers, (b"connection", b"close"))
        return h11.Response(status_code=status, headers=list(headers))


Handler = Callable[[Exchange], Awaitable[None]]

__all__ = ["AnswerChannel", "Exchange", "Handler"]
