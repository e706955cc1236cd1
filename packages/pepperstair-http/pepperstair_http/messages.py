"""Immutable HTTP requests and responses."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that apply to a single connection only (RFC 9110, section 7.6.1) and are
# therefore never forwarded.
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class Request(Struct, frozen=True):
    """The head of a request."""

    method: str
    path: str
    headers: Headers

    @property
    def host(self) -> str:
        """Return the host without its port, or an empty string."""
        host = header_value(self.headers, b"host").decode("latin-1")
        return host.rpartition(":")[0] if ":" in host else host


class ResponseHead(Struct, frozen=True):
    """The head of a response."""

    status: int
    headers: Headers


class Response(Struct, frozen=True):
    """A complete response with its body in memory."""

    status: int
    headers: Headers
    body: bytes


def header_value(headers: Headers, name: bytes) -> bytes:
    """Return the first value of the header `name` (in lower case), or b""."""
    for key, value in headers:
        if key == name:
            return value
    return b""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are forwarded to the next hop."""
    named = header_value(headers, b"connection").lower()
    dropped = {name.strip() for name in named.split(b",") if name.strip()}
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in dropped
    )


__all__ = [
    "HOP_BY_HOP",
    "Headers",
    "Request",
    "Response",
    "ResponseHead",
    "end_to_end_headers",
    "header_value",
]
