"""The body of a caller's request: capped, and kept while it can be sent again."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import structlog

from pepperstair_core.errors import ErrorKind, Failure, PepperstairError
from pepperstair_http import BodyBuffer

log = structlog.get_logger(__name__)

# Bodies up to this size are read whole before the first attempt, so that a
# refused call can go to another target. Larger ones stream, and can be sent
# again only while nothing of them was read.
REPLAY_MAX_BYTES: Final = 65_536


class RequestBody:
    """Hands a body to one attempt after another, as far as that is possible."""

    __slots__ = ("_kept", "_max_bytes", "_source", "_streamed", "failure", "on_failed")

    def __init__(self, source: BodyBuffer, max_bytes: int) -> None:
        self._source = source
        self._max_bytes = max_bytes
        self._kept = b""
        self._streamed: CappedBody | None = None
        self.failure: Failure | None = None
        self.on_failed: Callable[[], None] = lambda: None

    @property
    def is_replayable(self) -> bool:
        """Return whether another attempt would send the same body."""
        return self._streamed is None or not self._streamed.was_read

    @property
    def beginning(self) -> bytes:
        """Return as many of the first bytes as are kept of any body.

        However a larger body arrives, these are the same each time that it is sent.
        """
        return self._kept[:REPLAY_MAX_BYTES]

    def keep_nowait(self) -> bool:
        """Keep a small body that is here already, and say whether it was."""
        source = self._source
        if not source.is_whole or source.n_bytes > REPLAY_MAX_BYTES:
            return False
        parts = []
        while part := source.read_nowait():
            parts.append(part)
        self._kept = b"".join(parts)
        self._check_kept()
        return True

    async def keep(self) -> None:
        """Read a small body to its end, or as much of a larger one as is kept."""
        parts = []
        n_bytes = 0
        while n_bytes <= REPLAY_MAX_BYTES and (part := await self._source.read()):
            parts.append(part)
            n_bytes += len(part)
        self._kept = b"".join(parts)
        self._check_kept()
        if n_bytes > REPLAY_MAX_BYTES:
            self._streamed = CappedBody(self, self._source, self._kept)

    def _check_kept(self) -> None:
        if len(self._kept) > self._max_bytes:
            raise PepperstairError(Failure(ErrorKind.BODY_TOO_LARGE))

    def for_attempt(self) -> BodyBuffer:
        """Return the body for one attempt."""
        if self._streamed is not None:
            return self._streamed
        return BodyBuffer.of(self._kept)

    def check(self, n_bytes: int) -> None:
        """Refuse what goes over the cap.

        A chunked body states no length beforehand: without counting, one
        caller could send for ever and hold a slot all the while.
        """
        if n_bytes > self._max_bytes:
            self.failure = Failure(ErrorKind.BODY_TOO_LARGE)
            self.on_failed()
            raise PepperstairError(self.failure)


class CappedBody(BodyBuffer):
    """A body that is still arriving, with the part that was read before it."""

    __slots__ = ("_n_total_bytes", "_owner", "_source", "was_read")

    def __init__(self, owner: RequestBody, source: BodyBuffer, kept: bytes) -> None:
        super().__init__()
        self.feed(kept)
        self._owner = owner
        self._source = source
        self._n_total_bytes = len(kept)
        self.was_read = False

    async def read(self) -> bytes:
        """Return the next part, b"" at the end, or raise where it was cut."""
        self.was_read = True
        if kept := super().read_nowait():
            return kept
        part = await self._source.read()
        self._n_total_bytes += len(part)
        self._owner.check(self._n_total_bytes)
        if not part:
            self.finish()
        return part

    def read_nowait(self) -> bytes:
        """Return nothing: what arrives is counted by `read` alone."""
        return b""


__all__ = ["REPLAY_MAX_BYTES", "CappedBody", "RequestBody"]
