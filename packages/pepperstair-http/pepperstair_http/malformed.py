"""What is no proper request, and the answer to it."""

from __future__ import annotations

from typing import Final

import h11
import structlog
from msgspec import Struct

log = structlog.get_logger(__name__)

TEXT: Final = (b"content-type", b"text/plain; charset=utf-8")


class Rejection(Struct, frozen=True):
    """What is said of malformed bytes, after the answers to what came before."""

    status: int
    text: str


def error_events(status: int, text: str) -> tuple[h11.Event, ...]:
    """Return the answer of a server that closes the connection, as not run."""
    body = f"{text}\n".encode()
    headers = [
        TEXT,
        (b"content-length", str(len(body)).encode()),
        (b"pepperstair-run", b"no"),
        (b"connection", b"close"),
    ]
    head = h11.Response(status_code=status, headers=headers)
    return head, h11.Data(data=body), h11.EndOfMessage()


def has_two_lengths(event: h11.Request) -> bool:
    """Return whether a head states both a length and chunks.

    Two readers may take different ones for the end of the body, and what one
    holds for the rest of it the other runs as a request (RFC 9112, section 6.1).
    """
    names = {name for name, _ in event.headers}
    return b"content-length" in names and b"transfer-encoding" in names


__all__ = ["TEXT", "Rejection", "error_events", "has_two_lengths"]
