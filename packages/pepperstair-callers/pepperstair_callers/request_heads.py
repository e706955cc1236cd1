"""What the head of a caller's request says about its call."""

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
    """The headers of a request, read once for all decisions about its call.

    `timeout_ms` and `n_body_bytes` are 0 where none is stated; `passed` are the
    headers that the target gets.
    """

    n_body_bytes: int
    is_chunked: bool
    timeout_ms: int
    is_idempotent: bool
    request_id: str
    passed: Headers

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the head."""
        return self.is_chunked or self.n_body_bytes > 0


HeadReader = Callable[[Headers], RequestHead]


def make_head_reader(names: HeaderNames, service: str = "") -> HeadReader:
    """Return the function that reads heads whose headers have these names.

    `service` is that of the VM's own target; it goes with each request that is
    passed on, where a header for it is in use.

    >>> read_head = make_head_reader(HeaderNames())
    >>> read_head(((b"pepperstair-timeout-ms", b"800"),)).timeout_ms
    800
    """
    replaced = names.replaced | HOP_BY_HOP
    caller = ((names.caller_service, service.encode()),)
    added = caller if names.caller_service else ()

    def read_head(headers: Headers) -> RequestHead:
        known: dict[bytes, bytes] = {}
        passed = []
        for item in headers:
            name, value = item
            known.setdefault(name, value)
            if name not in replaced and not name.startswith(_OWN_PREFIX):
                passed.append(item)
        is_chunked = b"transfer-encoding" in known
        if b"connection" in known or is_chunked:
            passed = _without_connection_headers(passed, known)
        timeout = known.get(names.timeout_ms, b"")
        return RequestHead(
            n_body_bytes=int(known.get(b"content-length", 0)),
            is_chunked=is_chunked,
            timeout_ms=int(timeout) if timeout.isdigit() else 0,
            is_idempotent=known.get(names.idempotent, b"").lower() == b"true",
            request_id=known.get(names.request_id, b"").decode("latin-1"),
            passed=(*passed, *added),
        )

    return read_head


def _without_connection_headers(
    passed: list[tuple[bytes, bytes]], known: dict[bytes, bytes]
) -> list[tuple[bytes, bytes]]:
    """Drop what concerns the caller's connection only.

    With chunks, a stated length is left out: two lengths for one body are how
    a request is smuggled past a proxy (RFC 9112, section 6.3).
    """
    named = known.get(b"connection", b"").lower().split(b",")
    dropped = {name.strip() for name in named}
    is_chunked = b"transfer-encoding" in known
    if is_chunked:
        dropped.add(b"content-length")
    kept = [item for item in passed if item[0] not in dropped]
    return [*kept, _CHUNKED] if is_chunked else kept


__all__ = ["HeadReader", "RequestHead", "make_head_reader"]
