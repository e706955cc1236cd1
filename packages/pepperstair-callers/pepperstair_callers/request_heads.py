"""What the head of a caller's request says about its call."""

from __future__ import annotations

import structlog

from pepperstair_core.routing import CompiledRoute
from pepperstair_http import Headers, Request, end_to_end_headers, header_value

log = structlog.get_logger(__name__)

TIMEOUT_HEADER = b"pepperstair-timeout-ms"
IDEMPOTENT_HEADER = b"pepperstair-idempotent"
REQUEST_ID_HEADER = b"x-request-id"

_OWN_PREFIX = b"pepperstair-"
_CHUNKED = (b"transfer-encoding", b"chunked")


def content_length(headers: Headers) -> int:
    """Return the stated length of the body, 0 where none is stated."""
    value = header_value(headers, b"content-length")
    return int(value) if value else 0


def has_body(headers: Headers) -> bool:
    """Return whether a body follows the head."""
    return is_chunked(headers) or content_length(headers) > 0


def is_chunked(headers: Headers) -> bool:
    """Return whether the body comes in chunks, without a stated length."""
    return bool(header_value(headers, b"transfer-encoding"))


def timeout_ms(headers: Headers, route_timeout_ms: int) -> int:
    """Return the time for a call: the caller's, but no more than the route's."""
    stated = header_value(headers, TIMEOUT_HEADER)
    if not stated.isdigit() or int(stated) == 0:
        return route_timeout_ms
    return min(int(stated), route_timeout_ms)


def is_idempotent(headers: Headers, compiled: CompiledRoute) -> bool:
    """Return whether the route or the caller says that it may run twice."""
    if compiled.route.is_idempotent:
        return True
    return header_value(headers, IDEMPOTENT_HEADER).lower() == b"true"


def request_id(request: Request) -> str:
    """Return the caller's id of the request, or an empty string."""
    return header_value(request.headers, REQUEST_ID_HEADER).decode("latin-1")


def passed_headers(headers: Headers) -> Headers:
    """Return the headers that the target gets.

    With chunks, a stated length is left out: two lengths for one body are how
    a request is smuggled past a proxy (RFC 9112, section 6.3).
    """
    chunked = is_chunked(headers)
    kept = tuple(
        item
        for item in end_to_end_headers(headers)
        if not item[0].startswith(_OWN_PREFIX)
        and not (chunked and item[0] == b"content-length")
    )
    return (*kept, _CHUNKED) if chunked else kept


__all__ = [
    "IDEMPOTENT_HEADER",
    "REQUEST_ID_HEADER",
    "TIMEOUT_HEADER",
    "content_length",
    "has_body",
    "is_chunked",
    "is_idempotent",
    "passed_headers",
    "request_id",
    "timeout_ms",
]
