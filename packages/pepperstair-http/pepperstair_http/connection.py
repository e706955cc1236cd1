"""One client's connection to the server: its requests and their answers in order."""

from __future__ import annotations

import asyncio
from typing import Final

import h11
import structlog

from pepperstair_core.events import Event

from .body import HIGH_WATER_BYTES, BodyBuffer, ConnectionLostError
from .exchange import Exchange
from .malformed import TEXT, Rejection, error_answer_events, has_ambiguous_length
from .messages import Request
from .pipeline import Pipeline
from .receiving import ReceivingProtocol
from .server_state import ServerState
from .writing import WriteGate, reset_connection

log = structlog.get_logger(__name__)

# Time for which incoming data is read and discarded before the connection closes, so
# that the client can still read an error answer.
_DISCARD_S: Final = 1.0


class ServerConnection(ReceivingProtocol):
    """Receives requests, runs the handler for each and writes their answers.

    An h11 connection handles one request at a time, so each request has its own.
    When requests are pipelined, the bytes that follow a request are passed to a new
    h11 connection.
    """

    def __init__(self, server: ServerState) -> None:
        self._server = server
        self._h11 = self._new_h11_connection()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._gate = WriteGate()
        self._pipeline: Pipeline[Exchange] = Pipeline()
        self._tasks: dict[Exchange, asyncio.Task[None]] = {}
        self._turns: dict[Exchange, asyncio.Future[None]] = {}
        self._n_unparsed_bytes = 0
        self._rejection: Rejection | None = None
        self._is_close_announced = False
        self._is_discarding = False
        self._last_activity_s = self._loop.time()
        self._head_start_s: float | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress."""
        return not self._pipeline

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._server.connections.add(self)
        counters = self._server.counters
        counters.n_connections += 1
        # Without this limit, one client that keeps opening connections would use up the
        # file descriptors, and all others would have their connections refused.
        if len(self._server.connections) > self._server.limits.n_connections_max:
            counters.n_refused += 1
            self._write_error(503, "too many connections")

    def data_received(self, data: bytes) -> None:
        if self._is_discarding or self._rejection is not None:
            return
        now_s = self._last_activity_s = self._loop.time()
        if not self._pipeline and self._head_start_s is None:
            self._head_start_s = now_s
        self._h11.receive_data(data)
        self._n_unparsed_bytes += len(data)
        self._process_events()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._gate.mark_lost()
        newest = self._pipeline.newest
        if newest is not None:
            newest.body.fail(ConnectionLostError("the client disconnected"))
        for task in self._tasks.values():
            task.cancel()

    def pause_writing(self) -> None:
        self._last_activity_s = self._loop.time()
        self._gate.close()

    def resume_writing(self) -> None:
        self._gate.open()

    def close(self) -> None:
        """Close the connection once all written data has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection immediately."""
        if self._transport is not None:
            reset_connection(self._transport)

    def close_if_stalled(self, now_s: float) -> bool:
        """Close the connection if its client stalls; return whether it was closed.

        Clients that vanish without closing, send a head byte by byte or stop reading
        would otherwise hold connections, and the slots of targets behind them, until
        the limits are reached and all other clients are refused. No timeout applies
        while the connection waits only for the handler.
        """
        limits = self._server.limits
        if not self._pipeline and self._head_start_s is not None:
            if now_s - self._head_start_s <= limits.head_timeout_s:
                return False
            self._reject_slow_head()
            return True
        newest = self._pipeline.newest
        is_waiting_for_client = (
            newest is None or not newest.is_complete or not self._gate.is_open
        )
        silent_s = now_s - self._last_activity_s
        if not is_waiting_for_client or silent_s < limits.idle_timeout_ms / 1000:
            return False
        if newest is None:
            self.close()
        else:
            self.abort()
        return True

    def is_next_to_answer(self, exchange: Exchange) -> bool:
        """Return whether all earlier requests of the connection are answered."""
        return self._pipeline.first is exchange

    async def wait_for_turn(self, exchange: Exchange) -> None:
        """Wait until all earlier requests of the connection are answered."""
        turn = self._turns[exchange] = self._loop.create_future()
        try:
            await turn
        finally:
            del self._turns[exchange]

    def closes_after(self, exchange: Exchange) -> bool:
        """Decide whether the connection closes after this answer.

        While the server drains, the connection closes after the last request that has
        begun. An earlier close would lose the answers to the later requests, and the
        client would assume that these were not processed and send them again. Requests
        that have not begun by then never run.
        """
        if self._server.is_draining and self._pipeline.is_last_started(exchange):
            self._is_close_announced = True
        return self._is_close_announced

    def is_repeatable(self, request: Request) -> bool:
        """Return whether a request may safely run twice."""
        return self._server.is_repeatable(request)

    async def write(self, data: bytes) -> None:
        """Write at the client's pace; raise ConnectionResetError after a disconnect."""
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError("the client disconnected")
        if data:
            self._transport.write(data)
        if not self._gate.is_open:
            await self._gate.wait()

    def _new_h11_connection(self) -> h11.Connection:
        header_max_bytes = self._server.limits.header_max_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=header_max_bytes)

    def _reject_slow_head(self) -> None:
        """Answer 408 if `header_timeout_ms` is set, otherwise reset the connection."""
        if self._server.limits.header_timeout_ms:
            self._write_error(408, "the head of the request did not arrive in time")
        else:
            self.abort()

    def _process_events(self) -> None:
        """Process all complete events that the pipeline has room for."""
        while self._may_read_event():
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(error)
                break
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._n_unparsed_bytes = 0
                break
            self._handle_event(event)
            if isinstance(event, h11.ConnectionClosed) or self._is_discarding:
                break
        self._start_requests()
        self._pause_or_resume_reading()

    def _may_read_event(self) -> bool:
        """Return whether the next event may be read.

        After the end of a request, create the h11 connection for the next request.
        """
        if self._rejection is not None:
            return False
        if self._h11.their_state is not h11.DONE:
            return self._h11.their_state is not h11.MUST_CLOSE
        surplus = self._h11.trailing_data[0]
        if not surplus:
            self._n_unparsed_bytes = 0
        if not surplus or self._is_close_announced:
            return False
        limits = self._server.limits.pipelining
        if not self._pipeline.has_room(
            limits.n_requests_max, limits.request_max_bytes, limits.answer_max_bytes
        ):
            return False
        self._h11 = self._new_h11_connection()
        self._h11.receive_data(surplus)
        return True

    def _pause_or_resume_reading(self) -> None:
        """Read from the client only while the buffered data is within its limits.

        If a client disconnects while reading is paused, the disconnection is detected
        only when the next of its requests is answered.
        """
        if self._transport is None or self._transport.is_closing():
            return
        newest = self._pipeline.newest
        is_body_full = newest is not None and newest.n_body_bytes > HIGH_WATER_BYTES
        n_unparsed_max = self._server.limits.pipelining.request_max_bytes
        if is_body_full or self._n_unparsed_bytes > n_unparsed_max:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Data):
            self._pipeline.newest.body.feed(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._pipeline.newest.body.finish()
        elif isinstance(event, h11.Request):
            if has_ambiguous_length(event):
                self._reject_with(400, "both content-length and transfer-encoding")
                return
            self._add_request(event)
        elif isinstance(event, h11.ConnectionClosed):
            self.close()

    def _add_request(self, event: h11.Request) -> None:
        self._head_start_s = None
        request = Request(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            tuple(event.headers),
        )
        h11_connection = self._h11
        body = BodyBuffer(
            lambda n_bytes: self._pause_or_resume_reading(),
            lambda: self._send_continue(h11_connection),
        )
        exchange = Exchange(self, h11_connection, request, body, self._loop.time())
        self._pipeline.add(exchange)

    def _start_requests(self) -> None:
        """Start the handler for every request that may begin."""
        if self._is_discarding or self._is_close_announced:
            return
        for exchange in self._pipeline.startable():
            if exchange is not self._pipeline.first:
                if self._server.is_draining:
                    return
                self._server.counters.n_ahead += 1
            exchange.is_started = True
            exchange.queued_s = self._loop.time() - exchange.arrived_s
            self._tasks[exchange] = self._loop.create_task(self._handle(exchange))

    def _send_continue(self, h11_connection: h11.Connection) -> None:
        """Send `100 Continue` once the handler reads the body.

        It is not sent earlier, because a handler may refuse a request without reading
        its body.
        """
        if h11_connection.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(h11_connection.send(response))

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
        finally:
            self._tasks.pop(exchange, None)
        self._finish(exchange)

    async def _answer_internal_error(self, exchange: Exchange) -> None:
        if exchange.has_started_answer:
            self.abort()
            return
        await exchange.respond(500, (TEXT,), b"an unexpected error\n")
        self._finish(exchange)

    def _finish(self, exchange: Exchange) -> None:
        """Continue with the next request, or close if the body is incomplete.

        If the connection stayed open, the remaining bytes of an incomplete body would
        be parsed as the next request, and the client would match the answer to them
        with the wrong request.
        """
        self._pipeline.remove_first()
        self._last_activity_s = self._loop.time()
        states = (exchange.state.our_state, exchange.state.their_state)
        if states != (h11.DONE, h11.DONE) or self._transport.is_closing():
            self._drop_unanswered()
            self._close_discarding()
            return
        next_exchange = self._pipeline.first
        if next_exchange is not None:
            turn = self._turns.get(next_exchange)
            if turn is not None and not turn.done():
                turn.set_result(None)
        elif self._rejection is not None:
            self._write_error(self._rejection.status, self._rejection.text)
            return
        elif exchange.state is self._h11 and not self._h11.trailing_data[0]:
            self._h11.start_next_cycle()
        if self._h11.trailing_data[0] and not self._pipeline:
            self._head_start_s = self._loop.time()
        self._process_events()

    def _drop_unanswered(self) -> None:
        """Drop the requests that have not begun and cancel those that are running."""
        n_dropped = self._pipeline.drop_unstarted()
        self._server.counters.n_dropped += n_dropped
        for task in self._tasks.values():
            task.cancel()

    def _close_discarding(self) -> None:
        """Close the connection after discarding incoming data for `_DISCARD_S`.

        If a socket is closed with unread data, the kernel resets the connection, and
        the client loses an error answer that it has not read yet.
        """
        if self._transport.is_closing():
            return
        self._is_discarding = True
        self._transport.write_eof()
        self._transport.resume_reading()
        self._loop.call_later(_DISCARD_S, self.close)

    def _reject(self, error: h11.RemoteProtocolError) -> None:
        """Reject malformed bytes after all earlier requests are answered.

        If the malformed bytes belong to a request that has already begun, its outcome
        is unknown, and the connection is reset.
        """
        newest = self._pipeline.newest
        if newest is not None and not newest.is_complete:
            if newest.is_started:
                self._server.counters.n_malformed += 1
                self.abort()
                return
            self._pipeline.remove_newest()
        # The part after the colon quotes the malformed bytes, which may hold a secret.
        reason = str(error).partition(":")[0]
        self._reject_with(error.error_status_hint, reason)

    def _reject_with(self, status: int, text: str) -> None:
        self._server.counters.n_malformed += 1
        self._rejection = Rejection(status, text)
        if not self._pipeline:
            self._write_error(status, text)

    def _write_error(self, status: int, text: str) -> None:
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            events = error_answer_events(status, text)
            self._transport.write(b"".join([self._h11.send(event) for event in events]))
        self._close_discarding()


__all__ = ["ServerConnection"]
