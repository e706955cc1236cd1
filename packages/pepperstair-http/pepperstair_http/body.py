"""A buffer with backpressure between the receiver of a body and its reader."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from msgspec import Struct

from .messages import Headers

# A connection stops reading while more than this number of bytes of a body is buffered.
HIGH_WATER_BYTES: Final = 262_144


class ConnectionLostError(Exception):
    """The connection closed before the message was complete."""


class BodyBuffer:
    """Buffers the parts of one body until they are read.

    `on_consumed` is called with the size of each part that is read, so that the
    receiver can resume reading. Without this backpressure, a slow reader of a 64 MB
    body would make this process hold all of it. `on_wait` is called when the reader
    starts to wait for a part that has not arrived.

    >>> body = BodyBuffer.of(b"loot")
    >>> asyncio.run(body.read())
    b'loot'
    """

    __slots__ = (
        "_error",
        "_is_complete",
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
        self._is_complete = False
        self._error: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.n_bytes = 0
        self.n_read_bytes = 0

    @classmethod
    def of(cls, data: bytes) -> BodyBuffer:
        """Return a complete body that contains `data`."""
        body = cls()
        if data:
            body.feed(data)
        body.finish()
        return body

    @property
    def is_complete(self) -> bool:
        """Return whether the end of the body has arrived."""
        return self._is_complete

    @property
    def is_exhausted(self) -> bool:
        """Return whether the body is complete and has been read to its end."""
        return self._is_complete and not self._parts

    def feed(self, data: bytes) -> None:
        """Append a received part."""
        self._parts.append(data)
        self.n_bytes += len(data)
        self._wake()

    def finish(self) -> None:
        """Mark the body as complete."""
        self._is_complete = True
        self._wake()

    def fail(self, error: Exception) -> None:
        """Mark an incomplete body as truncated; `read` then raises the error."""
        if self._is_complete or self._error is not None:
            return
        self._error = error
        self._wake()

    async def read(self) -> bytes:
        """Return the next part, b"" at the end, or raise if the body is truncated."""
        while not self._parts:
            if self._error is not None:
                raise self._error
            if self._is_complete:
                return b""
            if self._on_wait is not None:
                self._on_wait()
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._pop_part()

    def read_nowait(self) -> bytes:
        """Return the next part that has already arrived, or b""."""
        return self._pop_part() if self._parts else b""

    async def read_all(
        self, max_bytes: int, on_part: Callable[[], None] | None = None
    ) -> bytes | None:
        """Return the complete body, or None if it exceeds `max_bytes`.

        `on_part` is called after each part is read.
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

    async def prefetch(self, max_bytes: int) -> None:
        """Wait until the body is complete or `max_bytes` of it are buffered.

        Raise if the body is truncated. Nothing is consumed, so that the reader still
        gets the complete body.
        """
        while not self._is_complete and self.n_bytes < max_bytes:
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _pop_part(self) -> bytes:
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

    `cancel` ends the exchange: it stops the receipt of a body that is still arriving
    and releases the resources of the exchange, such as the slot of a target. A body
    that has arrived completely can still be read afterwards.
    """

    status: int
    headers: Headers
    body: BodyBuffer
    cancel: Callable[[], None]


__all__ = ["HIGH_WATER_BYTES", "BodyBuffer", "ConnectionLostError", "StreamedResponse"]
