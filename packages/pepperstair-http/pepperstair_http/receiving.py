"""Receiving into one buffer that all connections of the process share."""

from __future__ import annotations

import asyncio
from typing import Final

import structlog

log = structlog.get_logger(__name__)

RECEIVE_BUFFER_BYTES: Final = 65_536

_buffer: Final = bytearray(RECEIVE_BUFFER_BYTES)
_view: Final = memoryview(_buffer)


class ReceivingProtocol(asyncio.BufferedProtocol):
    """Calls `data_received` with the bytes of each read.

    A plain asyncio.Protocol makes the loop allocate 256 KB for each read and
    shrink it to what came, which for small messages costs more than the read
    itself. One buffer serves all connections, since the loop fills it and hands
    it over without running anything else in between.
    """

    def get_buffer(self, sizehint: int) -> bytearray:
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(_view[:nbytes].tobytes())

    def data_received(self, data: bytes) -> None:
        """Take the bytes of one read."""
        raise NotImplementedError


__all__ = ["RECEIVE_BUFFER_BYTES", "ReceivingProtocol"]
