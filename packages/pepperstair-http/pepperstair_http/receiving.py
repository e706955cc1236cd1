"""Receive data through one buffer shared by all connections of the process."""

from __future__ import annotations

import asyncio
from typing import Final

import structlog

log = structlog.get_logger(__name__)

RECEIVE_BUFFER_BYTES: Final = 65_536

_buffer: Final = bytearray(RECEIVE_BUFFER_BYTES)
_view: Final = memoryview(_buffer)


class ReceivingProtocol(asyncio.BufferedProtocol):
    """A protocol that passes the bytes of each read to `data_received`.

    With a plain asyncio.Protocol, the loop allocates 256 KB for each read and shrinks
    it to the size received, which for small messages costs more than the read itself.
    One buffer is enough for all connections, because the loop runs nothing else between
    filling the buffer and passing it to the protocol.
    """

    def get_buffer(self, sizehint: int) -> bytearray:
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(_view[:nbytes].tobytes())

    def data_received(self, data: bytes) -> None:
        """Process the bytes of one read."""
        raise NotImplementedError


__all__ = ["RECEIVE_BUFFER_BYTES", "ReceivingProtocol"]
