"""An HTTP/1.1 client connection, based on h11."""

from __future__ import annotations

import asyncio
from typing import Final

import h11
import structlog

from .body import HIGH_WATER_BYTES, BodyBuffer, ConnectionLostError
from .messages import Headers, ResponseHead, header_value
from .receiving import ReceivingProtocol
from .sockets import detect_dead_peer
from .writing import WriteGate, reset_connection

log = structlog.get_logger(__name__)

_HEAD_MAX_BYTES: Final = 65_536
# Headers of the placeholder request that prepares a new h11 connection for the next
# answer; it is never sent.
_REPLAYED_HEADERS: Final = [("host", "replayed")]


class ClientConnection(ReceivingProtocol):
    """A connection that handles one request at a time.

    `start` writes the head of a request, `send_part` and `finish` its body. `read_head`
    waits for the answer, whose body arrives in `body`. After a complete answer,
    `is_reusable` states whether another request may follow.

    A peer may send more than one answer to a request, at once or later. A surplus
    answer must not be taken as the answer to the next request: a connection with
    surplus bytes is never reused, and an answer that echoes the id of another request
    is skipped.
    """

    def __init__(self) -> None:
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_HEAD_MAX_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._gate = WriteGate()
        self._head: asyncio.Future[ResponseHead] | None = None
        self._echoed_header: tuple[bytes, bytes] | None = None
        self._is_mismatched = False
        self._has_surplus = False
        self.body = BodyBuffer()
        self.keep_alive_s: float | None = None
        self.idle_since_s = 0.0

    @property
    def is_reusable(self) -> bool:
        """Return whether the last exchange is complete and the connection open."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not self._has_surplus
            and self._h11.our_state in (h11.IDLE, h11.DONE)
            and self._h11.their_state in (h11.IDLE, h11.DONE)
        )

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closing or closed."""
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._receive(data)

    def eof_received(self) -> bool:
        self._receive(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._gate.mark_lost()
        self._fail(ConnectionLostError("the connection was lost"))

    def pause_writing(self) -> None:
        self._gate.close()

    def resume_writing(self) -> None:
        self._gate.open()

    def start(
        self,
        method: str,
        path: str,
        headers: Headers,
        body: bytes | None = None,
        echoed_header: tuple[bytes, bytes] | None = None,
    ) -> None:
        """Write the head of a request and, unless `body` is None, its whole body.

        `echoed_header` is a name and value that the answer must repeat.
        """
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        self._head = asyncio.get_running_loop().create_future()
        self.body = BodyBuffer(self._on_body_consumed)
        self._echoed_header = echoed_header
        self._is_mismatched = False
        request = h11.Request(method=method, target=path, headers=list(headers))
        data = self._h11.send(request)
        if body is not None:
            if body:
                data += self._h11.send(h11.Data(data=body))
            data += self._h11.send(h11.EndOfMessage()) or b""
        self._write(data)

    async def send_part(self, data: bytes) -> None:
        """Write a part of the body at the pace the peer reads."""
        self._write(self._h11.send(h11.Data(data=data)))
        if not self._gate.is_open:
            await self._gate.wait()

    def finish(self) -> None:
        """Write the end of the request body."""
        self._write(self._h11.send(h11.EndOfMessage()) or b"")

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the answer, or raise ConnectionLostError."""
        return await self._head

    def detect_dead_peer(self, unacknowledged_ms: int) -> None:
        """Make the connection fail if its peer no longer acknowledges data.

        Sent data may stay unacknowledged for up to `unacknowledged_ms`.
        """
        detect_dead_peer(self._transport, unacknowledged_ms)

    def close(self) -> None:
        """Reset the connection, which cancels a request in progress."""
        if self._transport is not None:
            reset_connection(self._transport)

    def _write(self, data: bytes) -> None:
        if self.is_closed:
            raise ConnectionLostError("the connection is closed")
        if data:
            self._transport.write(data)

    def _receive(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            while self._handle_event(self._h11.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self._fail(ConnectionLostError(f"malformed answer: {error}"))
            self.close()
            return
        if self._h11.their_state is h11.DONE and self._h11.trailing_data[0]:
            self._has_surplus = True

    def _handle_event(self, event: object) -> bool:
        """Process one event and return whether to read the next one."""
        if isinstance(event, h11.Data):
            self._receive_body_part(bytes(event.data))
            return True
        if isinstance(event, h11.EndOfMessage):
            if self._is_mismatched:
                return self._skip_mismatched()
            self.body.finish()
            return False
        if isinstance(event, h11.Response):
            head = ResponseHead(event.status_code, tuple(event.headers))
            self._is_mismatched = self._has_mismatched_id(head)
            if self._is_mismatched:
                return True
            self.keep_alive_s = _keep_alive_s(head.headers)
            if self._head is not None and not self._head.done():
                self._head.set_result(head)
            return True
        if isinstance(event, h11.ConnectionClosed):
            self.close()
            return False
        return isinstance(event, h11.InformationalResponse)

    def _has_mismatched_id(self, head: ResponseHead) -> bool:
        """Return whether an answer belongs to another request.

        A refusal may lack the request id; a 2xx answer without the id counts as an
        answer to another request.
        """
        if self._echoed_header is None:
            return False
        name, expected = self._echoed_header
        found = header_value(head.headers, name)
        if not found:
            return 200 <= head.status < 300
        return found != expected

    def _skip_mismatched(self) -> bool:
        """Discard a complete answer to another request and continue with the next one.

        h11 accepts one answer for each request. Therefore a placeholder request is
        replayed, without being sent, into a new h11 connection, which then parses the
        bytes that follow the discarded answer.
        """
        surplus = self._h11.trailing_data[0]
        is_request_sent = self._h11.our_state is h11.DONE
        is_kept_alive = self._h11.their_state is h11.DONE
        if not is_request_sent or not is_kept_alive:
            self._fail(ConnectionLostError("received the answer to another request"))
            self.close()
            return False
        self._has_surplus = True
        self._is_mismatched = False
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_HEAD_MAX_BYTES
        )
        self._h11.send(h11.Request(method="GET", target="/", headers=_REPLAYED_HEADERS))
        self._h11.send(h11.EndOfMessage())
        if surplus:
            self._h11.receive_data(surplus)
        return True

    def _receive_body_part(self, data: bytes) -> None:
        if self._is_mismatched:
            return
        self.body.feed(data)
        if self.body.n_bytes > HIGH_WATER_BYTES:
            self._transport.pause_reading()

    def _on_body_consumed(self, n_bytes: int) -> None:
        if self.body.n_bytes <= HIGH_WATER_BYTES and not self.is_closed:
            self._transport.resume_reading()

    def _fail(self, error: Exception) -> None:
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
            # Mark the exception as retrieved: if the reader was cancelled, asyncio
            # would otherwise log it as never retrieved.
            self._head.exception()
        self.body.fail(error)


def _keep_alive_s(headers: Headers) -> float | None:
    """Return the idle timeout that the peer announces in `keep-alive`, or None.

    >>> _keep_alive_s(((b"keep-alive", b"timeout=10, max=100"),))
    10.0
    """
    for part in header_value(headers, b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None


async def connect(host: str, port: int) -> ClientConnection:
    """Open a connection, or raise OSError."""
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(ClientConnection, host, port)
    return connection


__all__ = ["ClientConnection", "connect"]
