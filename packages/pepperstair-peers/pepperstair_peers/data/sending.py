"""Sends bodies over a data stream with credit-based flow control."""

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
    """Limits the sending of one body to the credit granted by its receiver.

    Without this limit, a receiver whose caller reads slowly would have to buffer a
    whole file (such as a map pack), or stop reading the stream and so block every
    other call on it.
    """

    __slots__ = ("_is_stream_lost", "_n_bytes", "_waiter")

    def __init__(self) -> None:
        self._n_bytes = INITIAL_CREDIT_BYTES
        self._is_stream_lost = False
        self._waiter: asyncio.Future[None] | None = None

    def add(self, n_bytes: int) -> None:
        """Add `n_bytes` of credit granted by the receiver."""
        self._n_bytes += n_bytes
        self._wake()

    def on_stream_lost(self) -> None:
        """Release the waiting sender, because no more credit can arrive."""
        self._is_stream_lost = True
        self._wake()

    def try_acquire(self, n_bytes: int) -> bool:
        """Consume credit if there is enough, and return whether there was."""
        if self._n_bytes < n_bytes or self._is_stream_lost:
            return False
        self._n_bytes -= n_bytes
        return True

    async def acquire(self, n_bytes: int) -> None:
        """Wait for credit and consume it; raise ConnectionResetError on stream loss."""
        while not self.try_acquire(n_bytes):
            if self._is_stream_lost:
                raise ConnectionResetError("stream lost while waiting for credit")
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def receive_part(body: BodyBuffer, data: bytes) -> None:
    """Add a received part to a body; raise FrameError if it exceeds the credit."""
    if body.n_bytes + len(data) > INITIAL_CREDIT_BYTES:
        raise FrameError("body part exceeds the credit granted")
    body.feed(data)


def iter_parts(data: bytes, part_bytes: int = BODY_PART_MAX_BYTES) -> Iterator[bytes]:
    """Yield body data in parts, by default of the largest size that a frame allows."""
    for start in range(0, len(data), part_bytes):
        yield data[start : start + part_bytes]


async def send_data(
    stream: FrameStream,
    call_id: int,
    data: bytes,
    credit: CreditGate,
    pacer: LinkPacer = UNPACED,
) -> None:
    """Send body data at the pacer's rate; raise ConnectionResetError on stream loss."""
    for part in iter_parts(data, pacer.part_bytes):
        await credit.acquire(len(part))
        await _wait_for_pacer(pacer, len(part))
        stream.send(BodyPart(call_id, part))
        if not stream.gate.is_open:
            await stream.gate.wait()


async def _wait_for_pacer(pacer: LinkPacer, n_bytes: int) -> None:
    now_ms = asyncio.get_running_loop().time() * 1000
    delay_ms = pacer.delay_ms(n_bytes, now_ms)
    if delay_ms > 0.0:
        await asyncio.sleep(delay_ms / 1000)


async def send_body(
    stream: FrameStream, call_id: int, body: BodyBuffer, credit: CreditGate
) -> None:
    """Send the parts of a body as they arrive, then a BodyEnd frame."""
    while data := await body.read():
        await send_data(stream, call_id, data, credit)
    stream.send(BodyEnd(call_id))


__all__ = [
    "UNPACED",
    "CreditGate",
    "iter_parts",
    "receive_part",
    "send_body",
    "send_data",
]
