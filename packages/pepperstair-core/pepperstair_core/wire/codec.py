"""Frames as msgpack arrays: a kind number and the fields in order.

A frame is a subclass of `Frame` whose tag is its kind number. Nothing that arrives
becomes a frame unless every field has its declared type, so the code behind the
decoder never meets a malformed one.
"""

from __future__ import annotations

import functools
import operator
from collections.abc import Iterator
from typing import Any, Final

import msgpack
import msgspec

from ..array_record import ArrayRecord


class Frame(ArrayRecord):
    """A message on a stream between two daemons."""


class FrameError(Exception):
    """Bytes that are no frame: the stream that carried them is closed."""


def encode_frame(message: Frame) -> bytes:
    """Return the msgpack form of a frame."""
    return _ENCODER.encode(message)


class FrameDecoder:
    """Cuts a stream of bytes into frames, within a cap on the size of each.

    A peer that announced a huge array or string would otherwise make this
    process buffer without bound; the operator would see its memory climb. The
    unpacker refuses to hold more than one frame of the permitted size.
    """

    def __init__(self, frame_max_bytes: int) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=2 * frame_max_bytes)
        self._frame_max_bytes = frame_max_bytes
        self._decode = _frame_decoder().decode
        self._buffer = bytearray()
        # Bytes of the stream that came before the buffer.
        self._n_decoded_bytes = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield each frame that the bytes complete, or raise FrameError."""
        self._buffer += data
        try:
            self._unpacker.feed(data)
            for end in self._iter_ends():
                self._check_size(end)
                frame = self._decode(self._buffer[:end])
                del self._buffer[:end]
                self._n_decoded_bytes += end
                yield frame
        except (ValueError, msgpack.UnpackException, msgpack.BufferFull) as error:
            raise FrameError(f"undecodable frame: {error!r}") from error
        self._check_size(len(self._buffer))

    def _iter_ends(self) -> Iterator[int]:
        """Yield where each complete frame ends in the buffer of that moment."""
        while True:
            try:
                self._unpacker.skip()
            except msgpack.OutOfData:
                return
            yield self._unpacker.tell() - self._n_decoded_bytes

    def _check_size(self, n_bytes: int) -> None:
        if n_bytes > self._frame_max_bytes:
            raise FrameError(f"frame of over {self._frame_max_bytes} bytes")


@functools.cache
def _frame_decoder() -> msgspec.msgpack.Decoder:
    """Return the decoder of every frame, made once all of them are declared."""
    return msgspec.msgpack.Decoder(
        functools.reduce(operator.or_, Frame.__subclasses__())
    )


_ENCODER: Final = msgspec.msgpack.Encoder()


__all__ = ["Frame", "FrameDecoder", "FrameError", "encode_frame"]
