"""Large values on the wire, packed.

A document of 1,600 routes takes 312 KB as its operators write it, and 17 KB packed
(`python -m benchmarks.document`). Unpacked it would not pass as one frame, the receiver
would close the stream that carries the members too, and a VM with a link of 2.5 Mbit/s
would spend a second on it.
"""

from __future__ import annotations

import zlib
from typing import Final

# The fastest level: the slower ones gained nothing on such documents.
_LEVEL: Final = 1
UNPACKED_MAX_BYTES: Final = 16 * 1024 * 1024


def pack(data: bytes) -> bytes:
    """Return data in fewer bytes.

    >>> unpack(pack(b"routes")) == b"routes"
    True
    """
    return zlib.compress(data, _LEVEL)


def unpack(packed: bytes) -> bytes | None:
    """Return packed data, None where it is damaged or larger than anything sent.

    Without the bound a few bytes could unpack to more than the memory of the VM.
    """
    unpacking = zlib.decompressobj()
    try:
        data = unpacking.decompress(packed, UNPACKED_MAX_BYTES)
    except zlib.error:
        return None
    return data if unpacking.eof else None


__all__ = ["UNPACKED_MAX_BYTES", "pack", "unpack"]
