"""Compact deltas between versions of a document.

Documents are structured text with thousands of similar objects, of which a version
changes only a few. Both versions are split at the start of each object; the delta
references runs of pieces of the old version and contains the new pieces.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Any, Final

import msgpack

_SEPARATOR: Final = b"{"
_DIGEST_BYTES: Final = 8
_Run = tuple[int, int]


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return the delta that turns an old version into a new one.

    >>> old = b'[{"a":1},{"b":2},{"c":3}]'
    >>> new = b'[{"a":1},{"b":5},{"c":3}]'
    >>> apply_delta(old, make_delta(old, new)) == new
    True
    """
    parts = list(_iter_parts(old.split(_SEPARATOR), new.split(_SEPARATOR)))
    return msgpack.packb((_digest(new), parts))


def apply_delta(old: bytes, delta: bytes) -> bytes | None:
    """Return the new version, or None if the delta does not apply to the old one."""
    try:
        digest, parts = msgpack.unpackb(delta)
        old_pieces = old.split(_SEPARATOR)
        new = _SEPARATOR.join(_iter_pieces(old_pieces, parts))
    except (ValueError, TypeError, msgpack.UnpackException):
        return None
    return new if _digest(new) == digest else None


def _iter_parts(
    old_pieces: list[bytes], new_pieces: list[bytes]
) -> Iterator[_Run | bytes]:
    """Yield runs of old pieces and, in between, the new pieces."""
    index_of = {piece: index for index, piece in enumerate(old_pieces)}
    start, n_pieces = 0, 0
    for piece in new_pieces:
        end = start + n_pieces
        if n_pieces and end < len(old_pieces) and old_pieces[end] == piece:
            n_pieces += 1
            continue
        if n_pieces:
            yield start, n_pieces
        n_pieces = 0
        if piece in index_of:
            start, n_pieces = index_of[piece], 1
        else:
            yield piece
    if n_pieces:
        yield start, n_pieces


def _iter_pieces(old_pieces: list[bytes], parts: list[Any]) -> Iterator[bytes]:
    for part in parts:
        if isinstance(part, bytes):
            yield part
            continue
        start, n_pieces = part
        yield from old_pieces[start : start + n_pieces]


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


__all__ = ["apply_delta", "make_delta"]
