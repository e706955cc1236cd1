"""Write flow control for transports, and resetting a connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Final

_LINGER_ZERO: Final = struct.pack("ii", 1, 0)


def reset_connection(transport: asyncio.Transport) -> None:
    """Reset a connection, so that the peer can't mistake partial data for the whole.

    A plain close looks like a regular end: a caller that reads an answer without
    content-length until the connection closes would accept a part of the answer as
    the whole.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()


class WriteGate:
    """Blocks writers while the transport's write buffer is full.

    Without this gate, a peer that stops reading would make the write buffer of its
    connection grow with every answer until the process runs out of memory.
    """

    __slots__ = ("_is_lost", "_waiters", "is_open")

    def __init__(self) -> None:
        self.is_open = True
        self._is_lost = False
        self._waiters: list[asyncio.Future[None]] = []

    def close(self) -> None:
        """Block writers; called by `pause_writing`."""
        self.is_open = False

    def open(self) -> None:
        """Release all waiting writers; called by `resume_writing`."""
        self.is_open = True
        self._release()

    def mark_lost(self) -> None:
        """Make all current and later waits raise because the connection is closed."""
        self._is_lost = True
        self._release()

    async def wait(self) -> None:
        """Wait until writing is permitted; raise if the connection is closed."""
        while not self.is_open and not self._is_lost:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
        if self._is_lost:
            raise ConnectionResetError("the connection is closed")

    def _release(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()


__all__ = ["WriteGate", "reset_connection"]
