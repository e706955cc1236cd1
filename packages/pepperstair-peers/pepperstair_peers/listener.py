"""Accepts streams from other daemons and dispatches them by stream kind."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Final

import structlog

from pepperstair_core.events import Event
from pepperstair_core.wire import Hello, StreamKind
from pepperstair_core.wire.control import PROTOCOL_VERSION

from .counters import FrameCounters
from .identity import Identity
from .stream import FrameStream

log = structlog.get_logger(__name__)

_HELLO_TIMEOUT_S: Final = 5.0

StreamHandler = Callable[[FrameStream, Hello], None]


class PeerListener:
    """Accepts streams from other daemons; each must open with a Hello frame."""

    def __init__(
        self,
        identity: Identity,
        frame_max_bytes: int,
        handlers: Mapping[StreamKind, StreamHandler],
        counters: Mapping[StreamKind, FrameCounters],
    ) -> None:
        self._identity = identity
        self._frame_max_bytes = frame_max_bytes
        self._handlers = handlers
        self._counters = counters
        self._server: asyncio.Server | None = None
        self._streams: set[FrameStream] = set()
        self.n_rejected = 0

    async def listen(self, host: str, port: int) -> int:
        """Start listening and return the bound port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: FrameStream(self._frame_max_bytes, self._on_opened),
            host,
            port,
            backlog=1024,
        )
        return self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening, and close every stream after its buffered data is sent."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams):
            stream.finish()

    def _on_opened(self, stream: FrameStream) -> None:
        self._streams.add(stream)
        # Without this timeout, clients that connect and send nothing would hold
        # their sockets forever and exhaust the process's file descriptors.
        loop = asyncio.get_running_loop()
        timer = loop.call_later(_HELLO_TIMEOUT_S, stream.close)

        def on_first_frame(frame: Any) -> None:
            timer.cancel()
            if not self._is_valid_hello(frame):
                self._reject(
                    stream,
                    f"expected Hello v{PROTOCOL_VERSION}, got {type(frame).__name__}",
                )
                return
            stream.counters = self._counters[frame.stream_kind]
            stream.send(self._identity.welcome())
            self._handlers[frame.stream_kind](stream, frame)

        def on_closed(reason: str) -> None:
            timer.cancel()
            self._streams.discard(stream)
            if reason:
                self._reject(stream, reason)

        stream.on_frame = on_first_frame
        stream.closed_callbacks.append(on_closed)

    def _is_valid_hello(self, frame: Any) -> bool:
        return isinstance(frame, Hello) and frame.protocol_version == PROTOCOL_VERSION

    def _reject(self, stream: FrameStream, reason: str) -> None:
        self.n_rejected += 1
        log.warning(Event.FRAME_REJECTED, reason=reason)
        stream.close()


__all__ = ["PeerListener", "StreamHandler"]
