"""An HTTP/1.1 server on h11: one handler call for each request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import h11
import structlog

from pepperstair_core.events import Event

from .body import HIGH_WATER_BYTES, BodyBuffer, ConnectionLostError
from .messages import Headers, Request
from .writing import WriteGate

log = structlog.get_logger(__name__)

_TEXT: Final = (b"content-type", b"text/plain; charset=utf-8")


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What one server takes from its clients."""

    n_connections_max: int = 1000
    header_max_bytes: int = 16_384
    idle_timeout_ms: int = 60_000


@dataclass(slots=True)
class ServerCounters:
    """What a server met, for metrics."""

    n_connections: int = 0
    n_refused: int = 0
    n_malformed: int = 0
    n_idle_closed: int = 0


class Exchange:
    """One request with its body, and the means to answer it.

    A handler sends either one whole answer with `respond`, or a head, parts and
    an end. Where it cannot finish what it began, it calls `abort`, so that the
    client sees a broken connection and never takes a cut body for a whole one.
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
        self.has_answered = True
        events = [_response(status, (*headers, length))]
        if body and self.request.method != "HEAD":
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        await self._connection.send(*events)

    async def send_head(self, status: int, headers: Headers) -> None:
        """Begin an answer."""
        self.has_answered = True
        await self._connection.send(_response(status, headers))

    async def send_part(self, data: bytes) -> None:
        """Send a piece of the body, waiting while the client reads slowly."""
        await self._connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """Mark the answer as whole."""
        await self._connection.send(h11.EndOfMessage())

    def abort(self) -> None:
        """Break the connection, as the answer cannot be completed."""
        self._connection.abort()


Handler = Callable[[Exchange], Awaitable[None]]


class HttpServer:
    """Listens on one address and hands each request to the handler."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.counters = ServerCounters()
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start listening and return the port, chosen by the system for 0."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Take no further connections; those that are open go on."""
        if self._server is not None:
            self._server.close()

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()


class ServerConnection(asyncio.Protocol):
    """One client's connection: h11's state and the request in progress."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_max_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._gate = WriteGate()
        self._body: BodyBuffer | None = None
        self._task: asyncio.Task[None] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._server.connections.add(self)
        counters = self._server.counters
        counters.n_connections += 1
        # One client that opens connections without end would use up the file
        # descriptors of all the others, who would see refused connections.
        if len(self._server.connections) > self._server.limits.n_connections_max:
            counters.n_refused += 1
            self._write_error(503, "too many connections")
            return
        self._restart_idle_timer()

    def data_received(self, data: bytes) -> None:
        self._h11.receive_data(data)
        self._advance()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._gate.lose()
        self._stop_idle_timer()
        if self._body is not None:
            self._body.fail(ConnectionLostError("the client left"))
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._gate.close()

    def resume_writing(self) -> None:
        self._gate.open()

    def close(self) -> None:
        """Close the connection after what was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Break the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    async def send(self, *events: h11.Event) -> None:
        """Write events in one piece and wait while the client reads slowly."""
        data = b"".join([self._h11.send(event) or b"" for event in events])
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the client left")
        self._transport.write(data)
        if not self._gate.is_open:
            await self._gate.wait()

    def _advance(self) -> None:
        """Take every event that is complete."""
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._offer_continue()
                return
            self._take(event)
            if isinstance(event, h11.ConnectionClosed):
                return

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Data):
            self._take_body_part(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            if self._body is not None:
                self._body.finish()
        elif isinstance(event, h11.Request):
            self._start_request(event)
        elif isinstance(event, h11.ConnectionClosed):
            self.close()

    def _start_request(self, event: h11.Request) -> None:
        self._stop_idle_timer()
        request = Request(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            tuple(event.headers),
        )
        self._body = BodyBuffer(self._on_body_consumed)
        exchange = Exchange(self, request, self._body)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._handle(exchange))

    def _take_body_part(self, data: bytes) -> None:
        if self._body is None:
            return
        self._body.feed(data)
        if self._body.n_bytes > HIGH_WATER_BYTES:
            self._transport.pause_reading()

    def _on_body_consumed(self, n_bytes: int) -> None:
        if self._body.n_bytes <= HIGH_WATER_BYTES and not self._transport.is_closing():
            self._transport.resume_reading()

    def _offer_continue(self) -> None:
        if self._body is None or not self._h11.they_are_waiting_for_100_continue:
            return
        response = h11.InformationalResponse(status_code=100, headers=[])
        self._transport.write(self._h11.send(response))

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._server.handler(exchange)
        except (ConnectionResetError, ConnectionLostError, asyncio.CancelledError):
            self.abort()
            return
        except Exception:
            log.exception(Event.INTERNAL_ERROR)
            await self._answer_internal_error(exchange)
            return
        self._finish_cycle()

    async def _answer_internal_error(self, exchange: Exchange) -> None:
        if exchange.has_answered:
            self.abort()
            return
        await exchange.respond(500, (_TEXT,), b"an unexpected error\n")
        self.close()

    def _finish_cycle(self) -> None:
        """Go on to the next request, or close where the body was left unread.

        Bytes of a body that nobody read would otherwise be taken for the next
        request, and its answer would go to the wrong one.
        """
        self._task = None
        self._body = None
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self._restart_idle_timer()
            self._advance()
            return
        self.close()

    def _reject(self, error: h11.RemoteProtocolError) -> None:
        self._server.counters.n_malformed += 1
        if self._task is not None:
            self.abort()
            return
        self._write_error(error.error_status_hint, str(error))

    def _write_error(self, status: int, text: str) -> None:
        body = f"{text}\n".encode()
        headers = [
            _TEXT,
            (b"content-length", str(len(body)).encode()),
            (b"pepperstair-run", b"no"),
            (b"connection", b"close"),
        ]
        events = (
            h11.Response(status_code=status, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._transport.write(b"".join([self._h11.send(event) for event in events]))
        self.close()

    def _restart_idle_timer(self) -> None:
        """Close the connection where no whole request head comes in time.

        Clients that vanish without closing, or that send a head byte by byte,
        would otherwise hold connections until the cap is reached.
        """
        self._stop_idle_timer()
        loop = asyncio.get_running_loop()
        timeout_s = self._server.limits.idle_timeout_ms / 1000
        self._idle_timer = loop.call_later(timeout_s, self._close_idle)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _close_idle(self) -> None:
        self._server.counters.n_idle_closed += 1
        self.close()


def _response(status: int, headers: Headers) -> h11.Response:
    return h11.Response(status_code=status, headers=list(headers))


__all__ = [
    "Exchange",
    "Handler",
    "HttpServer",
    "ServerConnection",
    "ServerCounters",
    "ServerLimits",
]
