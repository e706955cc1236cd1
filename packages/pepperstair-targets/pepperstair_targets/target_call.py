"""Send one call to one target and receive its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import structlog
from msgspec import Struct

from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, RunStatus
from pepperstair_core.wire import CallHead
from pepperstair_http import (
    MISDIRECTED_STATUS,
    PRODUCT_HEADERS,
    BodyBuffer,
    ClientConnection,
    ConnectionLostError,
    HeaderNames,
    Headers,
    ResponseHead,
    StreamedResponse,
    TargetStatement,
    header_value,
    is_signed,
    read_statement,
)

from .answer_body import AnswerBody
from .pool import ConnectionPool

log = structlog.get_logger(__name__)

# Maximum time after which a reused connection fails if its target had closed it before
# the request was sent: one round trip on the same VM, some tenths of a millisecond, and
# a reserve for a busy event loop. If the connection fails later, the target may have
# been running the request: with a limit of 20 ms, requests that took a target 10 to
# 20 ms were still sent twice (tests/soak, seed 23).
STALE_CONNECTION_MAX_MS: Final = 5


class TargetOptions(Struct, frozen=True):
    """The options of all calls on the targets of this VM.

    Answers of up to `n_buffered_max_bytes` are buffered completely before any part is
    relayed, so that a call with a truncated answer can still be retried on another
    target.
    """

    names: HeaderNames = PRODUCT_HEADERS
    n_buffered_max_bytes: int = 0


DEFAULT_OPTIONS: Final = TargetOptions()


class TargetCall:
    """A call that holds a slot until `end` is called; repeated calls do nothing.

    `on_end` frees the slot; its argument is whether the request was sent. `on_sent` is
    called whenever the request is sent; its argument is whether it was sent before, on
    a stale connection. `on_statement` is called with the statement of each answer that
    the target itself made, and with whether that answer is signed.
    """

    __slots__ = (
        "_body",
        "_body_error",
        "_body_sender",
        "_connection",
        "_head",
        "_is_ended",
        "_is_sent",
        "_n_buffered_max_bytes",
        "_names",
        "_on_end",
        "_on_sent",
        "_on_statement",
        "_pool",
        "_sent_s",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        head: CallHead,
        body: BodyBuffer,
        on_end: Callable[[bool], None],
        options: TargetOptions = DEFAULT_OPTIONS,
        on_sent: Callable[[bool], None] = lambda is_resend: None,
        on_statement: Callable[[TargetStatement, bool], None] = lambda *args: None,
    ) -> None:
        self._on_sent = on_sent
        self._on_statement = on_statement
        self._names = options.names
        self._n_buffered_max_bytes = options.n_buffered_max_bytes
        self._pool = pool
        self._head = head
        self._body = body
        self._on_end = on_end
        self._connection: ClientConnection | None = None
        self._body_sender: asyncio.Task[None] | None = None
        self._body_error: Exception | None = None
        self._is_sent = False
        self._sent_s = 0.0
        self._is_ended = False

    @property
    def fingerprint(self) -> bytes:
        """Return the fingerprint, which all requests for the same work share."""
        return self._head.fingerprint

    @property
    def is_sent(self) -> bool:
        """Return whether the target may have started to run the request."""
        return self._is_sent

    @property
    def is_connected(self) -> bool:
        """Return whether the connection of the call is open."""
        return self._connection is not None and not self._connection.is_closed

    async def run(self, time_left_ms: float) -> StreamedResponse:
        """Return the answer, or raise PepperstairError.

        The slot is freed when `cancel` of the answer is called, or before the error is
        raised.
        """
        try:
            async with asyncio.timeout(max(0.0, time_left_ms) / 1000):
                answer = await self._exchange(time_left_ms)
                self._report_statement(answer)
                self._check_answer(answer)
                await self._buffer_answer(answer)
        except TimeoutError as error:
            self._abort()
            raise self._timeout_error() from error
        except PepperstairError as error:
            # A refusal is a complete answer, so its connection is reused. If the
            # connection were closed, a target that refuses every second call would cost
            # a new connection for each refusal: in one fleet, such connections were
            # 1,500 of the 2,000 connections opened in fifty seconds.
            if error.failure.kind is ErrorKind.TARGET_REFUSED:
                self.end()
            else:
                self._abort()
            raise
        except BaseException:
            self._abort()
            raise
        body = self._connection.body
        if not body.is_complete:
            body = AnswerBody(self._connection)
        return StreamedResponse(answer.status, answer.headers, body, self.end)

    def end(self) -> None:
        """Free the slot, and close the connection if the answer is not complete."""
        if self._is_ended:
            return
        self._is_ended = True
        if self._body_sender is not None:
            self._body_sender.cancel()
        if self._connection is not None:
            self._pool.release(self._connection)
        self._on_end(self._is_sent)

    async def _exchange(self, time_left_ms: float) -> ResponseHead:
        headers = self._headers(time_left_ms)
        reused = self._pool.take_idle(is_fresh_wanted=not self._is_idempotent)
        if reused is not None:
            try:
                return await self._send(reused, headers)
            except (ConnectionLostError, ConnectionResetError) as error:
                if not self._may_resend():
                    raise self._lost_connection_error(error) from error
                reused.close()
        # A target's usual idle timeout may close a reused connection just as a request
        # is sent, so an idempotent call is sent again on a new connection. A
        # non-idempotent call is not sent again, because it may have run before the
        # connection closed.
        opened = await self._pool.open()
        try:
            return await self._send(opened, headers)
        except (ConnectionLostError, ConnectionResetError) as error:
            raise self._lost_connection_error(error) from error

    def _headers(self, time_left_ms: float) -> Headers:
        """Return the request's headers with the timeout and expected target added."""
        names = self._names
        added = [(names.timeout_ms, b"%d" % max(1, time_left_ms))]
        if names.expected_target:
            added.append((names.expected_target, self._head.target.encode()))
        return (*self._head.headers, *added)

    def _report_statement(self, answer: ResponseHead) -> None:
        """Report the target's statement, if the target itself made the answer.

        A 421 comes from another target that has taken over the address, and so may an
        unsigned answer that is not a refusal.
        """
        if answer.status == MISDIRECTED_STATUS:
            return
        names = self._names
        is_answer_signed = is_signed(answer.headers, names)
        is_refusal = names.not_run and header_value(answer.headers, names.not_run)
        if is_answer_signed or is_refusal:
            statement = read_statement(answer.headers, names)
            self._on_statement(statement, is_answer_signed)

    def _check_answer(self, answer: ResponseHead) -> None:
        """Raise if the answer is invalid or states that the request did not run.

        Another target that has taken over the address answers 421 without a signature.
        A successful answer without the target's signature, or with a content encoding
        that was not requested, was not made by the target.
        """
        names = self._names
        if not names.signature:
            return
        if names.not_run and header_value(answer.headers, names.not_run):
            failure = Failure(
                ErrorKind.TARGET_REFUSED, self._head.target, run=RunStatus.NO
            )
            raise PepperstairError(failure)
        is_answer_signed = is_signed(answer.headers, names)
        if answer.status == MISDIRECTED_STATUS and not is_answer_signed:
            failure = Failure(ErrorKind.NO_TARGET, self._head.target, run=RunStatus.NO)
            raise PepperstairError(failure)
        is_encoded = bool(header_value(answer.headers, b"content-encoding"))
        if answer.status < 300 and (is_encoded or not is_answer_signed):
            detail = "the answer is unsigned or has an unexpected content encoding"
            raise PepperstairError(Failure(ErrorKind.TARGET_FAILED, detail))

    async def _buffer_answer(self, answer: ResponseHead) -> None:
        """Wait until the body is complete or `n_buffered_max_bytes` are buffered."""
        try:
            await self._connection.body.prefetch(self._n_buffered_max_bytes)
        except ConnectionLostError as error:
            raise self._lost_connection_error(error) from error

    @property
    def _is_idempotent(self) -> bool:
        return self._head.is_idempotent

    def _may_resend(self) -> bool:
        """Return whether a reused connection broke before its request was run.

        A connection also breaks if a target fails after it has run the request. If the
        request were sent again here, it would run twice, and neither the route's limit
        on attempts nor the retry budget would count it: a service whose answers get
        lost would be given more work than the budget allows.
        """
        if not self._is_sent:
            return True
        elapsed_s = asyncio.get_running_loop().time() - self._sent_s
        is_stale = elapsed_s * 1000 <= STALE_CONNECTION_MAX_MS
        return is_stale and self._is_idempotent and not self._head.has_body

    async def _send(
        self, connection: ClientConnection, headers: Headers
    ) -> ResponseHead:
        self._connection = connection
        body = _complete_body(self._head, self._body)
        echo = None
        if self._names.is_id_echoed:
            echo = (self._names.request_id, self._head.request_id.encode("latin-1"))
        connection.start(self._head.method, self._head.path, headers, body, echo)
        is_resend = self._is_sent
        self._is_sent = True
        self._sent_s = asyncio.get_running_loop().time()
        self._on_sent(is_resend)
        if body is None:
            loop = asyncio.get_running_loop()
            self._body_sender = loop.create_task(self._send_body(connection))
        return await connection.read_head()

    async def _send_body(self, connection: ClientConnection) -> None:
        """Send the request's body while waiting for the answer.

        A target may answer before it has read the whole body. Sending the whole body
        before reading the answer could then deadlock both sides.
        """
        try:
            while part := await self._body.read():
                await connection.send_part(part)
            connection.finish()
        except (ConnectionLostError, ConnectionResetError, PepperstairError) as error:
            self._body_error = error
            connection.close()

    def _lost_connection_error(self, error: Exception) -> PepperstairError:
        if isinstance(self._body_error, PepperstairError):
            failure = self._body_error.failure
            return PepperstairError(
                Failure(failure.kind, failure.detail, run=RunStatus.UNKNOWN)
            )
        if not self._is_sent:
            failure = Failure(
                ErrorKind.TARGET_UNREACHABLE, str(error), run=RunStatus.NO
            )
            return PepperstairError(failure)
        return PepperstairError(Failure(ErrorKind.TARGET_FAILED, str(error)))

    def _timeout_error(self) -> PepperstairError:
        kind = ErrorKind.TIMEOUT if self._is_sent else ErrorKind.DEADLINE_BEFORE_RUN
        return PepperstairError(Failure(kind, self._head.target))

    def _abort(self) -> None:
        """Close the connection, which signals the target to stop its work."""
        if self._connection is not None:
            self._connection.close()
        self.end()


def _complete_body(head: CallHead, body: BodyBuffer) -> bytes | None:
    """Return the body if it has arrived completely, to send it in one write."""
    if not head.has_body:
        return b""
    if not body.is_complete:
        return None
    parts = []
    while part := body.read_nowait():
        parts.append(part)
    return b"".join(parts)


__all__ = ["DEFAULT_OPTIONS", "TargetCall", "TargetOptions"]
