"""One HTTP/1.1 client connection on h11."""

from __future__ import annotations

import asyncio
from typing import Final

import h11
import structlog

from .body import HIGH_WATER_BYTES, BodyBuffer, ConnectionLostError
from .messages import Headers, ResponseHead
from .receiving import ReceivingProtocol
from .writing import WriteGate, break_transport

log = structlog.get_logger(__name__)

_HEAD_MAX_BYTES: Final = 65_536


class ClientConnection(ReceivingProtocol):
    """A connection that carries one request at a time.

    `request` writes the head, `send_part` and `finish` the body, `read_head`
    waits for the answer, whose body arrives in `body`. After a whole answer
    `is_reusable` says whether another request may follow.
    """

    def __init__(self) -> None:
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_HEAD_MAX_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._gate = WriteGate()
        self._head: asyncio.Future[ResponseHead] | None = None
        self.body = BodyBuffer()

    @property
    def is_reusable(self) -> bool:
        """Return whether the last exchange is complete and the peer still there."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
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
        self._gate.lose()
        self._fail(ConnectionLostError("the connection was lost"))

    def pause_writing(self) -> None:
        self._gate.close()

    def resume_writing(self) -> None:
        self._gate.open()

    def start(
        self, method: str, path: str, headers: Headers, body: bytes | None = None
    ) -> None:
        """Write a request's head and, where it is whole already, its body."""
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        self._head = asyncio.get_running_loop().create_future()
        self.body = BodyBuffer(self._on_body_consumed)
        request = h11.Request(method=method, target=path, headers=list(headers))
        data = self._h11.send(request)
        if body is not None:
            if body:
                data += self._h11.send(h11.Data(data=body))
            data += self._h11.send(h11.EndOfMessage()) or b""
        self._write(data)

    async def send_part(self, data: bytes) -> None:
        """Write a piece of the body, waiting while the peer reads slowly."""
        self._write(self._h11.send(h11.Data(data=data)))
        if not self._gate.is_open:
            await self._gate.wait()

    def finish(self) -> None:
        """Mark the request's body as whole."""
        self._write(self._h11.send(h11.EndOfMessage()) or b"")

    async def read_head(self) -> ResponseHead:
        """Wait for the answer's head, or raise ConnectionLostError."""
        return await self._head

    def close(self) -> None:
        """Break the connection, which cancels a request in progress."""
        if self._transport is not None:
            break_transport(self._transport)

    def _write(self, data: bytes) -> None:
        if self.is_closed:
            raise ConnectionLostError("the connection was lost")
        if data:
            self._transport.write(data)

    def _receive(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            while self._take(self._h11.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self._fail(ConnectionLostError(f"a malformed answer: {error}"))
            self.close()

    def _take(self, event: object) -> bool:
        """Handle one event and return whether more may follow."""
        if isinstance(event, h11.Data):
            self._take_body_part(bytes(event.data))
            return True
        if isinstance(event, h11.EndOfMessage):
            self.body.finish()
            return False
        if isinstance(event, h11.Response):
            head = ResponseHead(event.status_code, tuple(event.headers))
            if self._head is not None and not self._head.done():
                self._head.set_result(head)
            return True
        if isinstance(event, h11.ConnectionClosed):
            self.close()
            return False
        return isinstance(event, h11.InformationalResponse)

    def _take_body_part(self, data: bytes) -> None:
        self.body.feed(data)
        if self.body.n_bytes > HIGH_WATER_BYTES:
            self._transport.pause_reading()

    def _on_body_consumed(self, n_bytes: int) -> None:
        if self.body.n_bytes <= HIGH_WATER_BYTES and not self.is_closed:
            self._transport.resume_reading()

    def _fail(self, error: Exception) -> None:
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
            # The reader may have gone already; an error that nobody reads is
            # no fault and must not be reported by the loop as one.
            self._head.exception()
        self.body.fail(error)


async def connect(host: str, port: int) -> ClientConnection:
    """Open a connection, or raise OSError."""
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(ClientConnection, host, port)
    return connection


__all__ = ["ClientConnection", "connect"]
