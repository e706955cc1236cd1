"""Sending a body over a data stream within the receiver's credit."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Final

import structlog

from pepperstair_core.calls import LinkPacer
from pepperstair_core.wire import BodyEnd, BodyPart, FrameError
from pepperstair_core.wire.data import BODY_PART_MAX_BYTES, INITIAL_CREDIT_BYTES
from pepperstair_http import BodyBuffer

from ..stream import FrameStream

log = structlog.get_logger(__name__)

UNPACED: Final = LinkPacer(0.0, BODY_PART_MAX_BYTES)


class CreditGate:
    """The bytes that the receiver of one body still permits.

    Without it a receiver whose caller reads slowly would have to buffer a whole
    map pack, or stop reading the stream and so block every other call on it.
    """

    __slots__ = ("_is_lost", "_n_bytes", "_waiter")

    def __init__(self) -> None:
        self._n_bytes = INITIAL_CREDIT_BYTES
        self._is_lost = False
        self._waiter: asyncio.Future[None] | None = None

    def add(self, n_bytes: int) -> None:
        """Add what the receiver has permitted."""
        self._n_bytes += n_bytes
        self._wake()

    def lose(self) -> None:
        """Release the sender, as no more credit will come."""
        self._is_lost = True
        self._wake()

    def take_nowait(self, n_bytes: int) -> bool:
        """Use up credit if there is enough, and say whether there was."""
        if self._n_bytes < n_bytes or self._is_lost:
            return False
        self._n_bytes -= n_bytes
        return True

    async def take(self, n_bytes: int) -> None:
        """Wait for credit and use it up, or raise where the stream is lost."""
        while not self.take_nowait(n_bytes):
            if self._is_lost:
                raise ConnectionResetError("the stream was lost")
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def take_part(body: BodyBuffer, data: bytes) -> None:
    """Take a part that arrived, or raise FrameError where it exceeds the credit."""
    if body.n_bytes + len(data) > INITIAL_CREDIT_BYTES:
        raise FrameError("body part beyond the credit")
    body.feed(data)


def iter_parts(data: bytes, part_bytes: int = BODY_PART_MAX_BYTES) -> Iterator[bytes]:
    """Yield a piece of a body in parts, by default as large as frames may carry."""
    for start in range(0, len(data), part_bytes):
        yield data[start : start + part_bytes]


async def send_data(
    stream: FrameStream,
    call_id: int,
    data: bytes,
    credit: CreditGate,
    pacer: LinkPacer = UNPACED,
) -> None:
    """Send a piece of a body at the pace of the link, or raise ConnectionResetError."""
    for part in iter_parts(data, pacer.part_bytes):
        await credit.take(len(part))
        await _wait_for_link(pacer, len(part))
        stream.send(BodyPart(call_id, part))
        if not stream.gate.is_open:
            await stream.gate.wait()


async def _wait_for_link(pacer: LinkPacer, n_bytes: int) -> None:
    now_ms = asyncio.get_running_loop().time() * 1000
    delay_ms = pacer.delay_ms(n_bytes, now_ms)
    if delay_ms > 0.0:
        await asyncio.sleep(delay_ms / 1000)


async def send_body(
    stream: FrameStream, call_id: int, body: BodyBuffer, credit: CreditGate
) -> None:
    """Send a body in parts as they arrive, then its end."""
    while data := await body.read():
        await send_data(stream, call_id, data, credit)
    stream.send(BodyEnd(call_id))


__all__ = ["UNPACED", "CreditGate", "iter_parts", "send_body", "send_data", "take_part"]
