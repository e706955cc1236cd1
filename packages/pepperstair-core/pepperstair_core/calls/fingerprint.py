"""Fingerprints that identify equal requests, independent of their request ids."""

from __future__ import annotations

from hashlib import blake2b
from typing import Final

FINGERPRINT_BYTES: Final = 8


def fingerprint(method: str, host: str, path: str, service: str, body: bytes) -> bytes:
    """Return a short digest of the request that a target is to run.

    `service` is the caller's service, `path` includes the query string, and `body` may
    be only the beginning of the request's body. Requests with equal fingerprints do the
    same work, so if one of them crashes its target, the others are likely to do so too.

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
