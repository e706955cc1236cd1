"""Opens streams to other daemons and performs the Hello/Welcome handshake."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

import structlog
from msgspec import Struct

from pepperstair_core.config import parse_address
from pepperstair_core.events import Event
from pepperstair_core.wire import StreamKind, Welcome

from .counters import FrameCounters
from .identity import Identity
from .stream import FrameStream, open_stream

log = structlog.get_logger(__name__)

_TIMEOUT_MIN_MS: Final = 250


class Dialler(Struct, frozen=True):
    """Opens streams of one kind to other daemons."""

    identity: Identity
    stream_kind: StreamKind
    frame_max_bytes: int
    counters: FrameCounters
    timeout_ms: int

    async def dial(
        self, address: str, on_welcome: Callable[[FrameStream, Welcome], None]
    ) -> FrameStream:
        """Open a stream and return it, or raise OSError or TimeoutError.

        `on_welcome` is called with the peer's Welcome frame before any later frame
        is delivered. The timeout is needed because a connection attempt to an
        address that silently drops packets would block the caller for minutes.
        """
        timeout_ms = max(self.timeout_ms, _TIMEOUT_MIN_MS)
        host, port = parse_address(address)
        async with asyncio.timeout(timeout_ms / 1000):
            stream = await open_stream(host, port, self.frame_max_bytes, self.counters)
            try:
                await self._handshake(stream, on_welcome)
            except BaseException:
                stream.close()
                raise
        return stream

    async def _handshake(
        self, stream: FrameStream, on_welcome: Callable[[FrameStream, Welcome], None]
    ) -> None:
        welcomed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def on_first_frame(frame: Any) -> None:
            if not isinstance(frame, Welcome):
                stream.close()
                return
            on_welcome(stream, frame)
            if not welcomed.done():
                welcomed.set_result(None)

        def on_closed(reason: str) -> None:
            if reason:
                self.counters.n_rejected += 1
                log.warning(Event.FRAME_REJECTED, reason=reason)
            if not welcomed.done():
                welcomed.set_exception(
                    ConnectionResetError("the stream was closed before a Welcome frame")
                )

        stream.on_frame = on_first_frame
        stream.closed_callbacks.append(on_closed)
        stream.send(self.identity.hello(self.stream_kind))
        await welcomed


__all__ = ["Dialler"]
