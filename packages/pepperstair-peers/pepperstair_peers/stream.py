"""A msgpack stream of frames over one TCP connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import structlog

from pepperstair_core.wire import FrameDecoder, FrameError, encode_frame
from pepperstair_http import ReceivingProtocol, WriteGate

from .counters import FrameCounters

log = structlog.get_logger(__name__)


class FrameStream(ReceivingProtocol):
    """Sends and receives frames; its owner sets the callbacks.

    `on_frame` is called for each received frame, and may raise FrameError for a
    frame that is not valid on the stream. `may_read` is called before received
    bytes are decoded; if it returns False, the bytes are discarded, and the owner
    has closed the stream. Every function in `closed_callbacks` is called once with
    the reason: the error text if an undecodable, oversized or invalid frame closed
    the stream, otherwise an empty string.
    """

    def __init__(
        self, frame_max_bytes: int, on_opened: Callable[[FrameStream], None]
    ) -> None:
        self._decoder = FrameDecoder(frame_max_bytes)
        self._on_opened = on_opened
        self._transport: asyncio.Transport | None = None
        self._reason = ""
        self.gate = WriteGate()
        self.counters = FrameCounters()
        self.on_frame: Callable[[Any], None] = lambda frame: None
        self.closed_callbacks: list[Callable[[str], None]] = []
        self.n_received_bytes = 0
        self.may_read: Callable[[], bool] = lambda: True

    @property
    def is_closed(self) -> bool:
        """Return whether the stream is closing or closed."""
        return self._transport is None or self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._on_opened(self)

    def data_received(self, data: bytes) -> None:
        if not self.may_read():
            return
        self.n_received_bytes += len(data)
        try:
            for frame in self._decoder.feed(data):
                self.on_frame(frame)
                if self.is_closed:
                    return
        except FrameError as error:
            # The sender runs another version or is not a peer. Only this stream
            # is closed; the closed callbacks log the reason.
            self._reason = str(error)
            self.close()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.gate.mark_lost()
        for callback in self.closed_callbacks:
            callback(self._reason)

    def pause_writing(self) -> None:
        self.gate.close()

    def resume_writing(self) -> None:
        self.gate.open()

    def send(self, *frames: Any) -> None:
        """Send frames in a single write, or discard them if the stream is closed."""
        if self.is_closed:
            return
        encoded = [encode_frame(frame) for frame in frames]
        for frame, data in zip(frames, encoded, strict=True):
            self.counters.add(frame, len(data))
        self._transport.write(b"".join(encoded))

    def finish(self) -> None:
        """Close the stream after its buffered data is sent."""
        if self._transport is not None:
            self._transport.close()

    def close(self) -> None:
        """Abort the connection and discard its buffered data."""
        if self._transport is not None:
            self._transport.abort()


async def open_stream(
    host: str, port: int, frame_max_bytes: int, counters: FrameCounters
) -> FrameStream:
    """Connect to another daemon and return the stream, or raise OSError."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(
        lambda: FrameStream(frame_max_bytes, lambda opened: None), host, port
    )
    stream.counters = counters
    return stream


__all__ = ["FrameStream", "open_stream"]
