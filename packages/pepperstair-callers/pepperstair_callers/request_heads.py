"""Parse the head of a caller's request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import structlog
from msgspec import Struct

from pepperstair_http import HeaderNames, Headers
from pepperstair_http.messages import HOP_BY_HOP

log = structlog.get_logger(__name__)

_OWN_PREFIX: Final = b"pepperstair-"
_CHUNKED: Final = (b"transfer-encoding", b"chunked")


class RequestHead(Struct, frozen=True):
    """The parsed headers of a request.

    `timeout_ms` and `n_body_bytes` are 0 if the request does not state them.
    `forwarded` holds the headers for the target. `api_key` is None if the request
    states no key, and empty, which no account's key is, if it states several.
    """

    n_body_bytes: int
    is_chunked: bool
    timeout_ms: int
    is_idempotent: bool
    request_id: str
    forwarded: Headers
    api_key: bytes | None = None

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the head."""
        return self.is_chunked or self.n_body_bytes > 0


HeadReader = Callable[[Headers], RequestHead]


def make_head_reader(names: HeaderNames, service: str = "") -> HeadReader:
    """Return a function that parses request heads with these header names.

    `service` is the name of the service to which the target on this VM belongs. It is
    added to each forwarded request if `names.caller_service` names a header for it.

    >>> read_head = make_head_reader(HeaderNames())
    >>> read_head(((b"pepperstair-timeout-ms", b"800"),)).timeout_ms
    800
    """
    replaced = names.replaced | HOP_BY_HOP
    caller = ((names.caller_service, service.encode()),)
    added = caller if names.caller_service else ()

    def read_head(headers: Headers) -> RequestHead:
        values: dict[bytes, bytes] = {}
        forwarded = []
        for item in headers:
            name, value = item
            if values.setdefault(name, value) is not value and name == names.api_key:
                values[name] = value if values[name] == value else b""
            if name not in replaced and not name.startswith(_OWN_PREFIX):
                forwarded.append(item)
        is_chunked = b"transfer-encoding" in values
        if b"connection" in values or is_chunked:
            forwarded = _without_connection_headers(forwarded, values)
        timeout = values.get(names.timeout_ms, b"")
        return RequestHead(
            n_body_bytes=int(values.get(b"content-length", 0)),
            is_chunked=is_chunked,
            timeout_ms=int(timeout) if timeout.isdigit() else 0,
            is_idempotent=values.get(names.idempotent, b"").lower() == b"true",
            request_id=values.get(names.request_id, b"").decode("latin-1"),
            forwarded=(*forwarded, *added),
            api_key=values.get(names.api_key),
        )

    return read_head


def _without_connection_headers(
    forwarded: list[tuple[bytes, bytes]], values: dict[bytes, bytes]
) -> list[tuple[bytes, bytes]]:
    """Return the headers without those that apply to the caller's connection only.

    For a chunked body, `content-length` is dropped too: two lengths for one body
    allow request smuggling (RFC 9112, section 6.3).
    """
    named = values.get(b"connection", b"").lower().split(b",")
    dropped = {name.strip() for name in named}
    is_chunked = b"transfer-encoding" in values
    if is_chunked:
        dropped.add(b"content-length")
    kept = [item for item in forwarded if item[0] not in dropped]
    return [*kept, _CHUNKED] if is_chunked else kept


__all__ = ["HeadReader", "RequestHead", "make_head_reader"]
