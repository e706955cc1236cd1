"""A bounded buffer between the side that receives a body and its reader."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from msgspec import Struct

from .messages import Headers

HIGH_WATER_BYTES: Final = 262_144


class ConnectionLostError(Exception):
    """The connection ended before the message was whole."""


class BodyBuffer:
    """Holds the parts of one body until they are read.

    `on_consumed` is told of each part that was read, so that the receiving
    side can ask for more; without that, a slow reader of a 64 MB body would
    make this process hold all of it. `on_wait` is called when the reader begins
    to wait for a part that has not arrived.

    >>> body = BodyBuffer.of(b"loot")
    >>> asyncio.run(body.read())
    b'loot'
    """

    __slots__ = (
        "_error",
        "_is_whole",
        "_on_consumed",
        "_on_wait",
        "_parts",
        "_waiter",
        "n_bytes",
        "n_read_bytes",
    )

    def __init__(
        self,
        on_consumed: Callable[[int], None] | None = None,
        on_wait: Callable[[], None] | None = None,
    ) -> None:
        self._parts: deque[bytes] = deque()
        self._on_consumed = on_consumed
        self._on_wait = on_wait
        self._is_whole = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.n_bytes = 0
        self.n_read_bytes = 0

    @classmethod
    def of(cls, data: bytes) -> BodyBuffer:
        """Return a body that is whole already."""
        body = cls()
        if data:
            body.feed(data)
        body.finish()
        return body

    @property
    def is_whole(self) -> bool:
        """Return whether the end of the body has arrived."""
        return self._is_whole

    @property
    def is_empty(self) -> bool:
        """Return whether the body is whole and nothing is left to read."""
        return self._is_whole and not self._parts

    def feed(self, data: bytes) -> None:
        """Add a part that arrived."""
        self._parts.append(data)
        self.n_bytes += len(data)
        self._wake()

    def finish(self) -> None:
        """Mark the body as whole."""
        self._is_whole = True
        self._wake()

    def fail(self, error: Exception) -> None:
        """End the body as cut: the reader gets the error, never an end."""
        if self._is_whole or self._error is not None:
            return
        self._error = error
        self._wake()

    async def read(self) -> bytes:
        """Return the next part, b"" at the end, or raise where it was cut."""
        while not self._parts:
            if self._error is not None:
                raise self._error
            if self._is_whole:
                return b""
            if self._on_wait is not None:
                self._on_wait()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._take()

    def read_nowait(self) -> bytes:
        """Return the next part that is here already, or b""."""
        return self._take() if self._parts else b""

    async def read_all(
        self, max_bytes: int, on_part: Callable[[], None] | None = None
    ) -> bytes | None:
        """Return the whole body, or None once it exceeds the limit.

        `on_part` is called for each part that has arrived.
        """
        parts = []
        n_bytes = 0
        while part := await self.read():
            n_bytes += len(part)
            if n_bytes > max_bytes:
                return None
            if on_part is not None:
                on_part()
            parts.append(part)
        return b"".join(parts)

    async def gather(self, max_bytes: int) -> None:
        """Wait until the body is whole or fills `max_bytes`; raise where it is cut.

        Nothing is taken from the body, so that its reader still gets all of it.
        """
        while not self._is_whole and self.n_bytes < max_bytes:
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _take(self) -> bytes:
        data = self._parts.popleft()
        self.n_bytes -= len(data)
        self.n_read_bytes += len(data)
        if self._on_consumed is not None:
            self._on_consumed(len(data))
        return data

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


class StreamedResponse(Struct, frozen=True):
    """A response whose body may still be arriving.

    `cancel` says that nobody wants the rest of it; after a body that was read
    to its end it does nothing.
    """

    status: int
    headers: Headers
    body: BodyBuffer
    cancel: Callable[[], None]


__all__ = ["HIGH_WATER_BYTES", "BodyBuffer", "ConnectionLostError", "StreamedResponse"]
