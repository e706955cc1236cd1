"""Tells which requests are the same, whatever ids their callers give them."""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

FINGERPRINT_BYTES: Final = 8
# More of a body is not looked at: it may still be arriving when its call is sent.
BODY_MAX_BYTES: Final = 65_536


def fingerprint(method: str, host: str, path: str, service: str, body: bytes) -> bytes:
    """Return a short digest of what a target is asked to do.

    `service` is that of the caller, `path` includes the query. Requests with equal
    fingerprints do the same work, so what one of them did to its target says what the
    others would do.

    >>> first = fingerprint("GET", "maps.example", "/logs/1", "", b"")
    >>> first == fingerprint("GET", "maps.example", "/logs/1", "", b"")
    True
    >>> first == fingerprint("GET", "maps.example", "/logs/2", "", b"")
    False
    """
    head = "\0".join((method, host, path, service, ""))
    digest = blake2b(head.encode(), digest_size=FINGERPRINT_BYTES)
    digest.update(body[:BODY_MAX_BYTES])
    return digest.digest()


__all__ = ["BODY_MAX_BYTES", "FINGERPRINT_BYTES", "fingerprint"]
