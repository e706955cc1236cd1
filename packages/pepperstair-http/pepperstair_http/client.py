"""One HTTP/1.1 client connection on h11."""

from __future__ import annotations

import asyncio
from typing import Final

import h11
import structlog

from .body import HIGH_WATER_BYTES, BodyBuffer, ConnectionLostError
from .messages import Headers, ResponseHead, header_value
from .receiving import ReceivingProtocol
from .sockets import notice_silence
from .writing import WriteGate, break_transport

log = structlog.get_logger(__name__)

_HEAD_MAX_BYTES: Final = 65_536
_ANY_HOST: Final = [("host", "replayed")]


class ClientConnection(ReceivingProtocol):
    """A connection that carries one request at a time.

    `request` writes the head, `send_part` and `finish` the body, `read_head`
    waits for the answer, whose body arrives in `body`. After a whole answer
    `is_reusable` says whether another request may follow.

    A peer may send more than it was asked for: a second answer, at once or
    late, is no answer to the next request. A connection with surplus bytes is
    never used again, and an answer that echoes another request's id is skipped.
    """

    def __init__(self) -> None:
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_HEAD_MAX_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._gate = WriteGate()
        self._head: asyncio.Future[ResponseHead] | None = None
        self._echo: tuple[bytes, bytes] | None = None
        self._is_foreign = False
        self._has_surplus = False
        self.body = BodyBuffer()
        self.keep_alive_s: float | None = None
        self.idle_since_s = 0.0

    @property
    def is_reusable(self) -> bool:
        """Return whether the last exchange is complete and the peer still there."""
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
        self._gate.lose()
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
        echo: tuple[bytes, bytes] | None = None,
    ) -> None:
        """Write a request's head and, where it is whole already, its body.

        `echo` is a header that the answer has to repeat.
        """
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        self._head = asyncio.get_running_loop().create_future()
        self.body = BodyBuffer(self._on_body_consumed)
        self._echo = echo
        self._is_foreign = False
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

    def notice_silence(self, unacknowledged_ms: int) -> None:
        """Fail where the peer acknowledges nothing for so long."""
        notice_silence(self._transport, unacknowledged_ms)

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
            return
        if self._h11.their_state is h11.DONE and self._h11.trailing_data[0]:
            self._has_surplus = True

    def _take(self, event: object) -> bool:
        """Handle one event and return whether more may follow."""
        if isinstance(event, h11.Data):
            self._take_body_part(bytes(event.data))
            return True
        if isinstance(event, h11.EndOfMessage):
            if self._is_foreign:
                return self._skip_foreign()
            self.body.finish()
            return False
        if isinstance(event, h11.Response):
            head = ResponseHead(event.status_code, tuple(event.headers))
            self._is_foreign = self._answers_another(head)
            if self._is_foreign:
                return True
            self.keep_alive_s = _keep_alive_s(head.headers)
            if self._head is not None and not self._head.done():
                self._head.set_result(head)
            return True
        if isinstance(event, h11.ConnectionClosed):
            self.close()
            return False
        return isinstance(event, h11.InformationalResponse)

    def _answers_another(self, head: ResponseHead) -> bool:
        """Return whether an answer is that to another request.

        A refusal may come without an id; a success without one is nobody's.
        """
        if self._echo is None:
            return False
        name, expected = self._echo
        found = header_value(head.headers, name)
        if not found:
            return 200 <= head.status < 300
        return found != expected

    def _skip_foreign(self) -> bool:
        """Drop a whole answer that is not ours, and go on to the next one.

        h11 takes one answer for each request, so the request is replayed into
        a fresh state machine, without sending it, and fed what came behind.
        """
        surplus = self._h11.trailing_data[0]
        is_sent = self._h11.our_state is h11.DONE
        is_open = self._h11.their_state is h11.DONE
        if not is_sent or not is_open:
            self._fail(ConnectionLostError("an answer to another request"))
            self.close()
            return False
        self._has_surplus = True
        self._is_foreign = False
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_HEAD_MAX_BYTES
        )
        self._h11.send(h11.Request(method="GET", target="/", headers=_ANY_HOST))
        self._h11.send(h11.EndOfMessage())
        if surplus:
            self._h11.receive_data(surplus)
        return True

    def _take_body_part(self, data: bytes) -> None:
        if self._is_foreign:
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
            # The reader may have gone already; an error that nobody reads is
            # no fault and must not be reported by the loop as one.
            self._head.exception()
        self.body.fail(error)


def _keep_alive_s(headers: Headers) -> float | None:
    """Return for how long the peer says that it keeps an idle connection.

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
