"""Compression of large values in frames.

An uncompressed document with thousands of routes exceeds the frame size limit. The
receiver would close the control stream, which also carries the member records. On a
link of low bandwidth the document would delay all calls.
"""

from __future__ import annotations

import zlib
from typing import Final

# The fastest level, because slower levels compress documents of routes no better.
_LEVEL: Final = 1
DECOMPRESSED_MAX_BYTES: Final = 16 * 1024 * 1024


def compress(data: bytes) -> bytes:
    """Return the data compressed with zlib.

    >>> decompress(compress(b"routes")) == b"routes"
    True
    """
    return zlib.compress(data, _LEVEL)


def decompress(compressed: bytes) -> bytes | None:
    """Return the decompressed data, or None if it is damaged or too large.

    The limit exceeds the size of every value that daemons send. Without the limit, a
    few bytes could decompress to more than the memory of the VM.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, DECOMPRESSED_MAX_BYTES)
    except zlib.error:
        return None
    return data if decompressor.eof else None


__all__ = ["DECOMPRESSED_MAX_BYTES", "compress", "decompress"]
