"""Tells which requests are the same, whatever ids their callers give them."""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

FINGERPRINT_BYTES: Final = 8


def fingerprint(method: str, host: str, path: str, service: str, body: bytes) -> bytes:
    """Return a short digest of what a target is asked to do.

    `service` is that of the caller, `path` includes the query, `body` may be the
    beginning of a larger one. Requests with equal fingerprints do the same work, so
    what one of them did to its target says what the others would do.

    >>> first = fingerprint("GET", "maps.example", "/logs/1", "", b"")
    >>> first == fingerprint("GET", "maps.example", "/logs/1", "", b"")
    True
    >>> first == fingerprint("GET", "maps.example", "/logs/2", "", b"")
    False
    """
    head = "\0".join((method, host, path, service, ""))
    digest = blake2b(head.encode(), digest_size=FINGERPRINT_BYTES)
    digest.update(body)
    return digest.digest()


__all__ = ["FINGERPRINT_BYTES", "fingerprint"]
