"""One request and the means to answer it, as a handler sees them."""

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
    """The connection of an exchange, as far as answering needs it."""

    def owns_writing(self, exchange: Exchange) -> bool:
        """Return whether the answer to this request is the next one to go out."""

    async def wait_for_turn(self, exchange: Exchange) -> None:
        """Return once all earlier requests are answered."""

    def closes_after(self, exchange: Exchange) -> bool:
        """Decide whether the connection ends with this answer."""

    def is_repeatable(self, request: Request) -> bool:
        """Return whether running a request twice does no harm."""

    async def write(self, data: bytes) -> None:
        """Write and wait while the client reads slowly, or raise where it left."""

    def abort(self) -> None:
        """Break the connection at once."""


class Exchange:
    """One request with its body, and the means to answer it.

    A handler sends either one whole answer with `respond`, or an answer whose
    body is still arriving with `stream`. Where it cannot finish what it began,
    it calls `abort`, so that the client sees a broken connection and never
    takes a cut body for a whole one.

    An answer that comes before its turn waits until those to earlier requests of
    the connection are out. `state` is h11's for this request and its answer alone;
    `is_started` says whether the handler has been given it, `held_s` for how long it
    stood behind others before: its client has waited for that time already.
    """

    __slots__ = (
        "_channel",
        "_held",
        "body",
        "arrived_s",
        "has_answered",
        "held_s",
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
        self.held_s = 0.0
        self._channel = channel
        self._held: BodyBuffer | None = None
        self.state = state
        self.request = request
        self.body = body
        self.has_answered = False
        self.is_started = False

    @property
    def is_whole(self) -> bool:
        """Return whether the request has arrived to its end."""
        return self.body.is_whole

    @property
    def is_repeatable(self) -> bool:
        """Return whether running the request twice does no harm."""
        return self._channel.is_repeatable(self.request)

    @property
    def n_body_bytes(self) -> int:
        """Return how many bytes of the request's body are held."""
        return self.body.n_bytes

    @property
    def n_held_bytes(self) -> int:
        """Return how many bytes of the answer wait for their turn."""
        return self._held.n_bytes if self._held is not None else 0

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send one whole answer."""
        if not self._channel.owns_writing(self):
            await self._channel.wait_for_turn(self)
        length = (b"content-length", str(len(body)).encode())
        head = self._head(status, (*headers, length))
        if body and self.request.method != "HEAD":
            await self._send(head, h11.Data(data=body), _END)
            return
        await self._send(head, _END)

    async def stream(self, status: int, headers: Headers, body: BodyBuffer) -> None:
        """Send an answer while its body arrives, at the pace the client reads.

        What is here already goes out in one write with the head, and with the
        end where the body is whole: three writes of a small answer would cost
        the client three wake-ups. An error of the body is raised to the caller.
        """
        if not self._channel.owns_writing(self):
            self._held = body
            await self._channel.wait_for_turn(self)
            self._held = None
        events = [self._head(status, headers)]
        is_head_only = self.request.method == "HEAD"
        while True:
            while part := body.read_nowait():
                if not is_head_only:
                    events.append(h11.Data(data=part))
            if body.is_empty:
                await self._send(*events, _END)
                return
            if events:
                await self._send(*events)
            part = await body.read()
            events = [h11.Data(data=part)] if part and not is_head_only else []

    def abort(self) -> None:
        """Break the connection, as the answer cannot be completed."""
        self._channel.abort()

    async def _send(self, *events: h11.Event) -> None:
        """Write events in one piece."""
        data = b"".join([self.state.send(event) or b"" for event in events])
        await self._channel.write(data)

    def _head(self, status: int, headers: Headers) -> h11.Response:
        self.has_answered = True
        if self._channel.closes_after(self):
            headers = (*headers, (b"connection", b"close"))
        return h11.Response(status_code=status, headers=list(headers))


Handler = Callable[[Exchange], Awaitable[None]]

__all__ = ["AnswerChannel", "Exchange", "Handler"]
