"""One call on one target: sent, answered, ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, Run
from pepperstair_core.wire import CallHead
from pepperstair_http import (
    BodyBuffer,
    ClientConnection,
    ConnectionLostError,
    Headers,
    ResponseHead,
    StreamedResponse,
)

from .answer_body import AnswerBody
from .pool import ConnectionPool

log = structlog.get_logger(__name__)

TIMEOUT_HEADER = b"pepperstair-timeout-ms"


class TargetCall:
    """Holds a slot from its start to `end`, which may be called repeatedly.

    `on_end` frees the slot; it is told whether the request was sent at all.
    """

    __slots__ = (
        "_body",
        "_body_error",
        "_connection",
        "_head",
        "_is_ended",
        "_is_sent",
        "_on_end",
        "_pool",
        "_sender",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        head: CallHead,
        body: BodyBuffer,
        on_end: Callable[[bool], None],
    ) -> None:
        self._pool = pool
        self._head = head
        self._body = body
        self._on_end = on_end
        self._connection: ClientConnection | None = None
        self._sender: asyncio.Task[None] | None = None
        self._body_error: Exception | None = None
        self._is_sent = False
        self._is_ended = False

    async def run(self, time_left_ms: float) -> StreamedResponse:
        """Return the answer, whose end frees the slot, or raise."""
        try:
            async with asyncio.timeout(max(0.0, time_left_ms) / 1000):
                answer = await self._exchange(time_left_ms)
        except TimeoutError as error:
            self._break()
            raise self._timed_out() from error
        except BaseException:
            self._break()
            raise
        body = self._connection.body
        if not body.is_whole:
            body = AnswerBody(self._connection)
        return StreamedResponse(answer.status, answer.headers, body, self.end)

    def end(self) -> None:
        """Free the slot; a connection whose answer is not whole is closed."""
        if self._is_ended:
            return
        self._is_ended = True
        if self._sender is not None:
            self._sender.cancel()
        if self._connection is not None:
            self._pool.give_back(self._connection)
        self._on_end(self._is_sent)

    async def _exchange(self, time_left_ms: float) -> ResponseHead:
        headers = _with_timeout(self._head.headers, time_left_ms)
        kept = self._pool.take_idle()
        if kept is not None:
            try:
                return await self._send(kept, headers)
            except (ConnectionLostError, ConnectionResetError) as error:
                if not self._may_resend():
                    raise self._cut(error) from error
                kept.close()
        # A kept connection that the target closed in this instant is the
        # target's usual idle timeout, so an idempotent call gets a new one.
        # Any other call may have run before the connection closed.
        fresh = await self._pool.open()
        try:
            return await self._send(fresh, headers)
        except (ConnectionLostError, ConnectionResetError) as error:
            raise self._cut(error) from error

    def _may_resend(self) -> bool:
        head = self._head
        return not self._is_sent or (head.is_idempotent and not head.has_body)

    async def _send(
        self, connection: ClientConnection, headers: Headers
    ) -> ResponseHead:
        self._connection = connection
        body = _whole_body(self._head, self._body)
        connection.start(self._head.method, self._head.path, headers, body)
        self._is_sent = True
        if body is None:
            loop = asyncio.get_running_loop()
            self._sender = loop.create_task(self._send_body(connection))
        return await connection.read_head()

    async def _send_body(self, connection: ClientConnection) -> None:
        """Send the request's body beside waiting for the answer.

        A target may answer before it has read the whole body; waiting for the
        body first would make both sides wait for each other.
        """
        try:
            while part := await self._body.read():
                await connection.send_part(part)
            connection.finish()
        except (ConnectionLostError, ConnectionResetError, PepperstairError) as error:
            self._body_error = error
            connection.close()

    def _cut(self, error: Exception) -> PepperstairError:
        if isinstance(self._body_error, PepperstairError):
            failure = self._body_error.failure
            return PepperstairError(
                Failure(failure.kind, failure.detail, run=Run.UNKNOWN)
            )
        if not self._is_sent:
            failure = Failure(ErrorKind.TARGET_UNREACHABLE, str(error), run=Run.NO)
            return PepperstairError(failure)
        return PepperstairError(Failure(ErrorKind.TARGET_FAILED, str(error)))

    def _timed_out(self) -> PepperstairError:
        kind = ErrorKind.TIMEOUT if self._is_sent else ErrorKind.DEADLINE_BEFORE_RUN
        return PepperstairError(Failure(kind, self._head.target))

    def _break(self) -> None:
        """Close the connection, which tells the target to stop working."""
        if self._connection is not None:
            self._connection.close()
        self.end()


def _whole_body(head: CallHead, body: BodyBuffer) -> bytes | None:
    """Return the body where all of it is here, so that one write is enough."""
    if not head.has_body:
        return b""
    if not body.is_whole:
        return None
    parts = []
    while part := body.read_nowait():
        parts.append(part)
    return b"".join(parts)


def _with_timeout(headers: Headers, time_left_ms: float) -> Headers:
    return (*headers, (TIMEOUT_HEADER, b"%d" % max(1, time_left_ms)))


__all__ = ["TIMEOUT_HEADER", "TargetCall"]
