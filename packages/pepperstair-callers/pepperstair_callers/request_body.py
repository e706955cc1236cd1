"""Request bodies, limited in size and buffered for retries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import structlog

from pepperstair_core.errors import ErrorKind, Failure, PepperstairError
from pepperstair_http import BodyBuffer

log = structlog.get_logger(__name__)

# Maximum size of a body that is read completely before the first attempt, so that a
# refused call can be retried on another target. Larger bodies are streamed: once an
# attempt has started to read such a body, the body can't be sent again.
REPLAY_MAX_BYTES: Final = 65_536


class RequestBody:
    """A request's body, which is sent again on a retry if the body is replayable."""

    __slots__ = (
        "_buffered",
        "_max_bytes",
        "_source",
        "_streamed",
        "failure",
        "on_failed",
    )

    def __init__(self, source: BodyBuffer, max_bytes: int) -> None:
        self._source = source
        self._max_bytes = max_bytes
        self._buffered = b""
        self._streamed: StreamedBody | None = None
        self.failure: Failure | None = None
        self.on_failed: Callable[[], None] = lambda: None

    @property
    def is_replayable(self) -> bool:
        """Return whether another attempt would send the same body."""
        return self._streamed is None or not self._streamed.is_read_started

    @property
    def prefix(self) -> bytes:
        """Return the first `REPLAY_MAX_BYTES` bytes of the body.

        The prefix does not depend on how the body is split into parts on arrival, so
        it is the same each time a caller sends the same body.
        """
        return self._buffered[:REPLAY_MAX_BYTES]

    def buffer_nowait(self) -> bool:
        """Buffer the body if it is small and has arrived completely.

        Return whether the body was buffered.
        """
        source = self._source
        if not source.is_complete or source.n_bytes > REPLAY_MAX_BYTES:
            return False
        parts = []
        while part := source.read_nowait():
            parts.append(part)
        self._buffered = b"".join(parts)
        self._check_buffered_size()
        return True

    async def buffer(self) -> None:
        """Buffer a complete small body, or the start of a larger one."""
        parts = []
        n_bytes = 0
        while n_bytes <= REPLAY_MAX_BYTES and (part := await self._source.read()):
            parts.append(part)
            n_bytes += len(part)
        self._buffered = b"".join(parts)
        self._check_buffered_size()
        if n_bytes > REPLAY_MAX_BYTES:
            self._streamed = StreamedBody(self, self._source, self._buffered)

    def _check_buffered_size(self) -> None:
        if len(self._buffered) > self._max_bytes:
            raise PepperstairError(Failure(ErrorKind.BODY_TOO_LARGE))

    def body_for_attempt(self) -> BodyBuffer:
        """Return the body for one attempt."""
        if self._streamed is not None:
            return self._streamed
        return BodyBuffer.of(self._buffered)

    def check_size(self, n_bytes: int) -> None:
        """Raise if the bytes received exceed the size limit.

        A chunked body has no length in its headers: without this check, a caller
        could send without end and hold a slot indefinitely.
        """
        if n_bytes > self._max_bytes:
            self.failure = Failure(ErrorKind.BODY_TOO_LARGE)
            self.on_failed()
            raise PepperstairError(self.failure)


class StreamedBody(BodyBuffer):
    """A body that is still arriving, starting with the bytes already buffered."""

    __slots__ = ("_n_total_bytes", "_owner", "_source", "is_read_started")

    def __init__(self, owner: RequestBody, source: BodyBuffer, kept: bytes) -> None:
        super().__init__()
        self.feed(kept)
        self._owner = owner
        self._source = source
        self._n_total_bytes = len(kept)
        self.is_read_started = False

    async def read(self) -> bytes:
        """Return the next part, b"" at the end, or raise if the body is truncated."""
        self.is_read_started = True
        if kept := super().read_nowait():
            return kept
        part = await self._source.read()
        self._n_total_bytes += len(part)
        self._owner.check_size(self._n_total_bytes)
        if not part:
            self.finish()
        return part

    def read_nowait(self) -> bytes:
        """Return b"" always, because only `read` checks the size limit."""
        return b""


__all__ = ["REPLAY_MAX_BYTES", "RequestBody", "StreamedBody"]
