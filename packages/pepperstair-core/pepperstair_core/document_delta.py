"""What changed from one version of a document to the next, as a few bytes.

Documents are structured text of thousands of similar objects, of which a version
changes a handful. Both versions are cut before each object; the delta names runs of
pieces that the old version has and holds the others.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Any, Final

import msgpack

_CUT: Final = b"{"
_DIGEST_BYTES: Final = 8
_Run = tuple[int, int]


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return what turns an old version into a new one.

    >>> old = b'[{"a":1},{"b":2},{"c":3}]'
    >>> new = b'[{"a":1},{"b":5},{"c":3}]'
    >>> apply_delta(old, make_delta(old, new)) == new
    True
    """
    parts = list(_iter_parts(old.split(_CUT), new.split(_CUT)))
    return msgpack.packb((_digest(new), parts))


def apply_delta(old: bytes, delta: bytes) -> bytes | None:
    """Return the new version, or None where the delta does not belong to the old."""
    try:
        digest, parts = msgpack.unpackb(delta)
        known = old.split(_CUT)
        new = _CUT.join(_iter_pieces(known, parts))
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
    return new if _digest(new) == digest else None


def _iter_parts(known: list[bytes], wanted: list[bytes]) -> Iterator[_Run | bytes]:
    """Yield runs of known pieces and, between them, the pieces that are new."""
    place_of = {piece: place for place, piece in enumerate(known)}
    start, n_pieces = 0, 0
    for piece in wanted:
        end = start + n_pieces
        if n_pieces and end < len(known) and known[end] == piece:
            n_pieces += 1
            continue
        if n_pieces:
            yield start, n_pieces
        n_pieces = 0
        if piece in place_of:
            start, n_pieces = place_of[piece], 1
        else:
            yield piece
    if n_pieces:
        yield start, n_pieces


def _iter_pieces(known: list[bytes], parts: list[Any]) -> Iterator[bytes]:
    for part in parts:
        if isinstance(part, bytes):
            yield part
            continue
        start, n_pieces = part
        yield from known[start : start + n_pieces]


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


__all__ = ["apply_delta", "make_delta"]
