"""One request and the means to answer it, as a handler sees them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

import h11
import structlog

from .messages import Headers, Request

if TYPE_CHECKING:
    from .body import BodyBuffer
    from .connection import ServerConnection

log = structlog.get_logger(__name__)

_END: Final = h11.EndOfMessage()


class Exchange:
    """One request with its body, and the means to answer it.

    A handler sends either one whole answer with `respond`, or an answer whose
    body is still arriving with `stream`. Where it cannot finish what it began,
    it calls `abort`, so that the client sees a broken connection and never
    takes a cut body for a whole one.
    """

    __slots__ = ("_connection", "body", "has_answered", "request")

    def __init__(
        self, connection: ServerConnection, request: Request, body: BodyBuffer
    ) -> None:
        self._connection = connection
        self.request = request
        self.body = body
        self.has_answered = False

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send one whole answer."""
        length = (b"content-length", str(len(body)).encode())
        head = self._head(status, (*headers, length))
        if body and self.request.method != "HEAD":
            await self._connection.send(head, h11.Data(data=body), _END)
            return
        await self._connection.send(head, _END)

    async def stream(self, status: int, headers: Headers, body: BodyBuffer) -> None:
        """Send an answer while its body arrives, at the pace the client reads.

        What is here already goes out in one write with the head, and with the
        end where the body is whole: three writes of a small answer would cost
        the client three wake-ups. An error of the body is raised to the caller.
        """
        events = [self._head(status, headers)]
        is_head_only = self.request.method == "HEAD"
        while True:
            while part := body.read_nowait():
                if not is_head_only:
                    events.append(h11.Data(data=part))
            if body.is_empty:
                await self._connection.send(*events, _END)
                return
            if events:
                await self._connection.send(*events)
            part = await body.read()
            events = [h11.Data(data=part)] if part and not is_head_only else []

    def abort(self) -> None:
        """Break the connection, as the answer cannot be completed."""
        self._connection.abort()

    def _head(self, status: int, headers: Headers) -> h11.Response:
        self.has_answered = True
        if self._connection.is_last_exchange:
            headers = (*headers, (b"connection", b"close"))
        return h11.Response(status_code=status, headers=list(headers))


Handler = Callable[[Exchange], Awaitable[None]]

__all__ = ["Exchange", "Handler"]
