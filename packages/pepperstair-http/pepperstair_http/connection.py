"""One client's connection to the server: h11's state and the current request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import h11
import structlog

from pepperstair_core.events import Event

from .body import HIGH_WATER_BYTES, BodyBuffer, ConnectionLostError
from .exchange import Exchange
from .messages import Request
from .receiving import ReceivingProtocol
from .writing import WriteGate, break_transport

if TYPE_CHECKING:
    from .server import HttpServer

log = structlog.get_logger(__name__)

_TEXT: Final = (b"content-type", b"text/plain; charset=utf-8")
_PIPELINED_MAX_BYTES: Final = 65_536
_DISCARD_S: Final = 1.0


class ServerConnection(ReceivingProtocol):
    """Receives requests, runs the handler for each and writes its answer."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.header_max_bytes
        )
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._gate = WriteGate()
        self._body: BodyBuffer | None = None
        self._task: asyncio.Task[None] | None = None
        self._n_pipelined_bytes = 0
        self._is_discarding = False
        self._waiting_since_s = self._loop.time()
        self._head_since_s: float | None = None

    @property
    def is_last_exchange(self) -> bool:
        """Return whether the connection closes after the current answer."""
        return self._server.is_draining

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress."""
        return self._task is None

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

    def data_received(self, data: bytes) -> None:
        if self._is_discarding:
            return
        now_s = self._waiting_since_s = self._loop.time()
        if self._task is None and self._head_since_s is None:
            self._head_since_s = now_s
        self._h11.receive_data(data)
        if self._body is not None and self._body.is_whole:
            self._hold_pipelined(len(data))
            return
        self._advance()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._gate.lose()
        if self._body is not None:
            self._body.fail(ConnectionLostError("the client left"))
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._waiting_since_s = self._loop.time()
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
            break_transport(self._transport)

    def close_if_stalled(self, now_s: float) -> bool:
        """Close a connection whose client has done nothing for too long.

        Clients that vanish without closing, send a head byte by byte or stop
        reading would otherwise hold connections, and the slots of targets behind
        them, until the caps are reached and everybody else is refused. While
        the handler is at work nothing is expected of the client.
        """
        limits = self._server.limits
        if self._task is None and self._head_since_s is not None:
            if now_s - self._head_since_s <= limits.head_limit_s:
                return False
            self._end_slow_head()
            return True
        is_awaited = (
            self._task is None or not self._body.is_whole or not self._gate.is_open
        )
        silent_s = now_s - self._waiting_since_s
        if not is_awaited or silent_s < limits.idle_timeout_ms / 1000:
            return False
        if self._task is None:
            self.close()
        else:
            self.abort()
        return True

    def _end_slow_head(self) -> None:
        """Say that the head took too long, where its time has a limit of its own."""
        if self._server.limits.header_timeout_ms:
            self._write_error(408, "the head of the request did not arrive in time")
        else:
            self.abort()

    async def send(self, *events: h11.Event) -> None:
        """Write events in one piece and wait while the client reads slowly."""
        data = b"".join([self._h11.send(event) or b"" for event in events])
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the client left")
        if data:
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
                return
            self._take(event)
            if isinstance(event, h11.ConnectionClosed) or self._is_discarding:
                return

    def _take(self, event: object) -> None:
        if isinstance(event, h11.Data):
            self._take_body_part(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._body.finish()
        elif isinstance(event, h11.Request):
            if _has_two_lengths(event):
                self._server.counters.n_malformed += 1
                self._write_error(400, "both a length and chunks")
                return
            self._start_request(event)
        elif isinstance(event, h11.ConnectionClosed):
            self.close()

    def _start_request(self, event: h11.Request) -> None:
        self._head_since_s = None
        request = Request(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            tuple(event.headers),
        )
        self._body = BodyBuffer(self._on_body_consumed, self._offer_continue)
        exchange = Exchange(self, request, self._body)
        self._task = self._loop.create_task(self._handle(exchange))

    def _take_body_part(self, data: bytes) -> None:
        self._body.feed(data)
        if self._body.n_bytes > HIGH_WATER_BYTES:
            self._transport.pause_reading()

    def _on_body_consumed(self, n_bytes: int) -> None:
        if self._body.n_bytes <= HIGH_WATER_BYTES and not self._transport.is_closing():
            self._transport.resume_reading()

    def _offer_continue(self) -> None:
        """Ask for the body only once the handler reads it: it may refuse it."""
        if self._h11.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(response))

    def _hold_pipelined(self, n_bytes: int) -> None:
        """Stop reading from a client that sends requests far ahead of answers.

        They wait in memory; without a bound one client could fill it.
        """
        self._n_pipelined_bytes += n_bytes
        if self._n_pipelined_bytes > _PIPELINED_MAX_BYTES:
            self._transport.pause_reading()

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._server.handler(exchange)
        except (ConnectionResetError, ConnectionLostError, asyncio.CancelledError):
            self.abort()
            return
        except Exception:
            log.exception(Event.INTERNAL_ERROR, path=exchange.request.path)
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
        self._waiting_since_s = self._loop.time()
        states = (self._h11.our_state, self._h11.their_state)
        if states != (h11.DONE, h11.DONE) or self._transport.is_closing():
            self._close_discarding()
            return
        if self._n_pipelined_bytes > _PIPELINED_MAX_BYTES:
            self._transport.resume_reading()
        self._n_pipelined_bytes = 0
        self._h11.start_next_cycle()
        if self._h11.trailing_data[0]:
            self._head_since_s = self._loop.time()
        self._advance()

    def _close_discarding(self) -> None:
        """Close, but first read and drop for a moment what is still arriving.

        Closing with unread bytes makes the system reset the connection, and the
        client then loses the refusal that it has not read yet.
        """
        if self._transport.is_closing():
            return
        self._is_discarding = True
        self._transport.write_eof()
        self._transport.resume_reading()
        self._loop.call_later(_DISCARD_S, self.close)

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
        self._close_discarding()


def _has_two_lengths(event: h11.Request) -> bool:
    """Return whether a head states both a length and chunks.

    Two readers may take different ones for the end of the body, and what one
    holds for the rest of it the other runs as a request (RFC 9112, section 6.1).
    """
    names = {name for name, _ in event.headers}
    return b"content-length" in names and b"transfer-encoding" in names


__all__ = ["ServerConnection"]
