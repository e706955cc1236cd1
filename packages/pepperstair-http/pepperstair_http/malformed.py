"""Detect malformed requests and build the error answers to them."""

from __future__ import annotations

from typing import Final

import h11
import structlog
from msgspec import Struct

log = structlog.get_logger(__name__)

TEXT: Final = (b"content-type", b"text/plain; charset=utf-8")


class Rejection(Struct, frozen=True):
    """The error answer to malformed bytes, sent after earlier requests are answered."""

    status: int
    text: str


def error_answer_events(status: int, text: str) -> tuple[h11.Event, ...]:
    """Return an error answer that marks the request as not run.

    The answer announces that the connection closes.
    """
    body = f"{text}\n".encode()
    headers = [
        TEXT,
        (b"content-length", str(len(body)).encode()),
        (b"pepperstair-run", b"no"),
        (b"connection", b"close"),
    ]
    head = h11.Response(status_code=status, headers=headers)
    return head, h11.Data(data=body), h11.EndOfMessage()


def has_ambiguous_length(event: h11.Request) -> bool:
    """Return whether a head has both content-length and transfer-encoding.

    A proxy and a server may disagree on where the body of such a request ends. The
    server may then run, as a separate request, bytes that the proxy considers part of
    the body. This is request smuggling (RFC 9112, section 6.1).
    """
    names = {name for name, _ in event.headers}
    return b"content-length" in names and b"transfer-encoding" in names


__all__ = ["TEXT", "Rejection", "error_answer_events", "has_ambiguous_length"]
