"""Waiting for a transport whose peer reads slowly, and breaking one."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Final

_LINGER_ZERO: Final = struct.pack("ii", 1, 0)


def break_transport(transport: asyncio.Transport) -> None:
    """Reset a connection, so that the peer can't take what it got for the whole.

    A plain close looks like an orderly end: a caller that reads an answer
    without length until the end would take half of it for all of it.
    """
    opened = transport.get_extra_info("socket")
    if opened is not None and not transport.is_closing():
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()


class WriteGate:
    """Closed while the transport's buffer is full.

    Without it a peer that stops reading makes the buffer of its connection
    grow with every answer until the process runs out of memory.
    """

    __slots__ = ("_is_lost", "_waiters", "is_open")

    def __init__(self) -> None:
        self.is_open = True
        self._is_lost = False
        self._waiters: list[asyncio.Future[None]] = []

    def close(self) -> None:
        """Make writers wait, as `pause_writing` asks."""
        self.is_open = False

    def open(self) -> None:
        """Let writers go on, as `resume_writing` permits."""
        self.is_open = True
        self._release()

    def lose(self) -> None:
        """Release every writer, as the connection is gone."""
        self._is_lost = True
        self._release()

    async def wait(self) -> None:
        """Return once writing is permitted, or raise where the peer is gone."""
        while not self.is_open and not self._is_lost:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
        if self._is_lost:
            raise ConnectionResetError("the connection is gone")

    def _release(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()


__all__ = ["WriteGate", "break_transport"]
