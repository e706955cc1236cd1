"""Headers by which daemons tell each other about a call and its target."""

from __future__ import annotations

from typing import Final

import structlog
from msgspec.structs import replace

from pepperstair_core.wire import CallHead
from pepperstair_http import (
    KNOWN_LIMIT_HEADER,
    StreamedResponse,
    header_value,
    parse_rate_limit,
)

from .local_target import LocalTarget

log = structlog.get_logger(__name__)

WAITED_HEADER: Final = b"pepperstair-waited-ms"

_OWN_PREFIX: Final = b"pepperstair-"


def take_known_limit(head: CallHead, local: LocalTarget, now_ms: float) -> CallHead:
    """Apply the rate limit that the sender of a call knows of the target.

    Return the head without the header that carries the limit.
    """
    value = header_value(head.headers, KNOWN_LIMIT_HEADER)
    if not value:
        return head
    limit_per_s = parse_rate_limit(value)
    if limit_per_s is not None:
        local.slots.admission.rate_limiter.suggest(limit_per_s, now_ms)
    headers = tuple(item for item in head.headers if item[0] != KNOWN_LIMIT_HEADER)
    return replace(head, headers=headers)


def with_wait_header(response: StreamedResponse, waited_ms: int) -> StreamedResponse:
    """Return the response with a header that states how long the call waited.

    The header is omitted if the call did not wait for its slot. Target choice needs
    the latency without the wait: under overload the wait depends on the priority of
    the call and would hide which target is slow. Headers with the `pepperstair-` prefix
    that the target itself sends are removed, because they could wrongly state that
    the request did not run.
    """
    headers = response.headers
    if any(name.startswith(_OWN_PREFIX) for name, _ in headers):
        headers = tuple(item for item in headers if not item[0].startswith(_OWN_PREFIX))
    if waited_ms >= 1:
        headers = (*headers, (WAITED_HEADER, b"%d" % waited_ms))
    if headers is response.headers:
        return response
    return replace(response, headers=headers)


__all__ = ["WAITED_HEADER", "take_known_limit", "with_wait_header"]
