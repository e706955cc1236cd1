"""One call on one target: sent, answered, ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import structlog
from msgspec import Struct

from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, RunStatus
from pepperstair_core.wire import CallHead
from pepperstair_http import (
    PRODUCT_HEADERS,
    BodyBuffer,
    ClientConnection,
    ConnectionLostError,
    HeaderNames,
    Headers,
    ResponseHead,
    StreamedResponse,
    header_value,
)

from .answer_body import AnswerBody
from .pool import ConnectionPool

log = structlog.get_logger(__name__)

_MISDIRECTED: Final = 421
# A kept connection that its target has dropped already says so within the time of
# one round trip on the own VM, some tenths of a millisecond, here with room for a busy
# loop. What breaks later may have been at work on the request: with 20 ms, requests
# that took a target 10 to 20 ms were still sent twice (tests/soak, seed 23).
DROPPED_MS: Final = 5


class TargetOptions(Struct, frozen=True):
    """How every call on the targets of this VM is made.

    Answers of up to `n_gathered_max_bytes` are read whole before any of it is
    passed on, so that a cut one can still be fetched from another target.
    """

    names: HeaderNames = PRODUCT_HEADERS
    n_gathered_max_bytes: int = 0


DEFAULT_OPTIONS: Final = TargetOptions()


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
        "_n_gathered_max_bytes",
        "_names",
        "_on_end",
        "_pool",
        "_sender",
        "_sent_s",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        head: CallHead,
        body: BodyBuffer,
        on_end: Callable[[bool], None],
        options: TargetOptions = DEFAULT_OPTIONS,
    ) -> None:
        self._names = options.names
        self._n_gathered_max_bytes = options.n_gathered_max_bytes
        self._pool = pool
        self._head = head
        self._body = body
        self._on_end = on_end
        self._connection: ClientConnection | None = None
        self._sender: asyncio.Task[None] | None = None
        self._body_error: Exception | None = None
        self._is_sent = False
        self._sent_s = 0.0
        self._is_ended = False

    @property
    def fingerprint(self) -> bytes:
        """Return what is equal for requests that ask for the same work."""
        return self._head.fingerprint

    @property
    def is_sent(self) -> bool:
        """Return whether the target may have begun to run the request."""
        return self._is_sent

    @property
    def is_connected(self) -> bool:
        """Return whether the connection of the call is open."""
        return self._connection is not None and not self._connection.is_closed

    async def run(self, time_left_ms: float) -> StreamedResponse:
        """Return the answer, whose end frees the slot, or raise."""
        try:
            async with asyncio.timeout(max(0.0, time_left_ms) / 1000):
                answer = await self._exchange(time_left_ms)
                self._check(answer)
                await self._gather(answer)
        except TimeoutError as error:
            self._break()
            raise self._timed_out() from error
        except PepperstairError as error:
            # A refusal ends as any whole answer does. Were its connection closed, a
            # target that turns away every second call would cost a new one for each:
            # 1,500 of the 2,000 that one fleet opened in fifty seconds (from its log).
            if error.failure.kind is ErrorKind.TARGET_REFUSED:
                self.end()
            else:
                self._break()
            raise
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
        headers = self._headers(time_left_ms)
        kept = self._pool.take_idle(is_fresh_wanted=not self._may_run_twice)
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

    def _headers(self, time_left_ms: float) -> Headers:
        """Return the request's headers with what the target is to be told."""
        names = self._names
        added = [(names.timeout_ms, b"%d" % max(1, time_left_ms))]
        if names.expected_target:
            added.append((names.expected_target, self._head.target.encode()))
        return (*self._head.headers, *added)

    def _check(self, answer: ResponseHead) -> None:
        """Raise where the answer says that the request was not run, or is no answer.

        An address may have gone to another target, which says so; what comes
        without the target's signature, or in an encoding that nobody asked for,
        is not what the target made.
        """
        names = self._names
        if not names.signature:
            return
        if names.not_run and header_value(answer.headers, names.not_run):
            failure = Failure(
                ErrorKind.TARGET_REFUSED, self._head.target, run=RunStatus.NO
            )
            raise PepperstairError(failure)
        is_signed = bool(header_value(answer.headers, names.signature))
        if answer.status == _MISDIRECTED and not is_signed:
            failure = Failure(ErrorKind.NO_TARGET, self._head.target, run=RunStatus.NO)
            raise PepperstairError(failure)
        is_encoded = bool(header_value(answer.headers, b"content-encoding"))
        if answer.status < 300 and (is_encoded or not is_signed):
            detail = "an answer that is not the target's own"
            raise PepperstairError(Failure(ErrorKind.TARGET_FAILED, detail))

    async def _gather(self, answer: ResponseHead) -> None:
        """Wait for the whole of an answer that is small enough to hold."""
        try:
            await self._connection.body.gather(self._n_gathered_max_bytes)
        except ConnectionLostError as error:
            raise self._cut(error) from error

    @property
    def _may_run_twice(self) -> bool:
        return self._head.is_idempotent

    def _may_resend(self) -> bool:
        """Return whether a kept connection broke before its request was worked on.

        A target that loses its answers breaks its connections too. Sent again here,
        the request would run twice, and neither the attempts of its route nor the
        retry budget would count it. One would notice a service that is given more
        work, just while its answers get lost, than the budget allows.
        """
        if not self._is_sent:
            return True
        lasted_s = asyncio.get_running_loop().time() - self._sent_s
        is_dropped = lasted_s * 1000 <= DROPPED_MS
        return is_dropped and self._may_run_twice and not self._head.has_body

    async def _send(
        self, connection: ClientConnection, headers: Headers
    ) -> ResponseHead:
        self._connection = connection
        body = _whole_body(self._head, self._body)
        echo = None
        if self._names.is_id_echoed:
            echo = (self._names.request_id, self._head.request_id.encode("latin-1"))
        connection.start(self._head.method, self._head.path, headers, body, echo)
        self._is_sent = True
        self._sent_s = asyncio.get_running_loop().time()
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
                Failure(failure.kind, failure.detail, run=RunStatus.UNKNOWN)
            )
        if not self._is_sent:
            failure = Failure(
                ErrorKind.TARGET_UNREACHABLE, str(error), run=RunStatus.NO
            )
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


__all__ = ["DEFAULT_OPTIONS", "TargetCall", "TargetOptions"]
