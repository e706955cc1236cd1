"""Sending a body over a data stream within the receiver's credit."""

from __future__ import annotations

import asyncio

import structlog

from pepperstair_core.wire import BodyEnd, BodyPart
from pepperstair_core.wire.data import BODY_PART_MAX_BYTES, INITIAL_CREDIT_BYTES
from pepperstair_http import BodyBuffer
from pepperstair_peers import FrameStream

log = structlog.get_logger(__name__)


class CreditGate:
    """The bytes that the receiver of one body still permits.

    Without it a receiver whose caller reads slowly would have to buffer a whole
    map pack, or stop reading the stream and so block every other call on it.
    """

    __slots__ = ("_n_bytes", "_waiter")

    def __init__(self) -> None:
        self._n_bytes = INITIAL_CREDIT_BYTES
        self._waiter: asyncio.Future[None] | None = None

    def add(self, n_bytes: int) -> None:
        """Add what the receiver has permitted."""
        self._n_bytes += n_bytes
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def take_nowait(self, n_bytes: int) -> bool:
        """Use up credit if there is any, and say whether there was."""
        if self._n_bytes <= 0:
            return False
        self._n_bytes -= n_bytes
        return True

    async def take(self, n_bytes: int) -> None:
        """Wait for credit and use it up."""
        while not self.take_nowait(n_bytes):
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter


async def send_body(
    stream: FrameStream, call_id: int, body: BodyBuffer, credit: CreditGate
) -> None:
    """Send a body in parts as they arrive, then its end."""
    while data := await body.read():
        for start in range(0, len(data), BODY_PART_MAX_BYTES):
            part = data[start : start + BODY_PART_MAX_BYTES]
            await credit.take(len(part))
            stream.send(BodyPart(call_id, part))
            await stream.gate.wait()
    stream.send(BodyEnd(call_id))


__all__ = ["CreditGate", "send_body"]
