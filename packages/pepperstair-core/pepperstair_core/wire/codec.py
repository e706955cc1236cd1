"""Codec for frames, which are msgpack arrays of a kind number and the fields.

A frame is a subclass of `Frame` whose tag is its kind number. The decoder rejects
a frame unless every field has its declared type, so the code that handles frames
never receives a malformed one.
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
    """Raised for bytes that are not a valid frame; the stream is then closed."""


def encode_frame(message: Frame) -> bytes:
    """Return the msgpack encoding of a frame."""
    return _ENCODER.encode(message)


class FrameDecoder:
    """Decodes a byte stream into frames of limited size.

    Without the limit, a peer that sends the header of a huge array or string would
    make this process buffer data without bound. The unpacker's buffer is limited to
    twice the maximum frame size.
    """

    def __init__(self, frame_max_bytes: int) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=2 * frame_max_bytes)
        self._frame_max_bytes = frame_max_bytes
        self._decode = _frame_decoder().decode
        self._buffer = bytearray()
        # Offset in the stream at which the buffer starts.
        self._n_decoded_bytes = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield each frame that the bytes complete.

        Raises FrameError for a malformed or oversized frame.
        """
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
        """Yield the end offset of each complete frame in the current buffer."""
        while True:
            try:
                self._unpacker.skip()
            except msgpack.OutOfData:
                return
            yield self._unpacker.tell() - self._n_decoded_bytes

    def _check_size(self, n_bytes: int) -> None:
        if n_bytes > self._frame_max_bytes:
            raise FrameError(
                f"frame exceeds the limit of {self._frame_max_bytes} bytes"
            )


@functools.cache
def _frame_decoder() -> msgspec.msgpack.Decoder:
    """Return the decoder for all frames.

    It is created on first use, when all frame classes are declared.
    """
    return msgspec.msgpack.Decoder(
        functools.reduce(operator.or_, Frame.__subclasses__())
    )


_ENCODER: Final = msgspec.msgpack.Encoder()


__all__ = ["Frame", "FrameDecoder", "FrameError", "encode_frame"]
