"""Large values on the wire, packed.

A document of thousands of routes, as its operators write it, would not pass as one
frame: the receiver would close the stream that carries the members too. On a narrow
link it would hold up all calls.
"""

from __future__ import annotations

import zlib
from typing import Final

# The fastest level: the slower ones gained nothing on such documents.
_LEVEL: Final = 1
DECOMPRESSED_MAX_BYTES: Final = 16 * 1024 * 1024


def compress(data: bytes) -> bytes:
    """Return data in fewer bytes.

    >>> decompress(compress(b"routes")) == b"routes"
    True
    """
    return zlib.compress(data, _LEVEL)


def decompress(compressed: bytes) -> bytes | None:
    """Return packed data, None where it is damaged or larger than anything sent.

    Without the bound a few bytes could unpack to more than the memory of the VM.
    """
    unpacking = zlib.decompressobj()
    try:
        data = unpacking.decompress(compressed, DECOMPRESSED_MAX_BYTES)
    except zlib.error:
        return None
    return data if unpacking.eof else None


__all__ = ["DECOMPRESSED_MAX_BYTES", "compress", "decompress"]
