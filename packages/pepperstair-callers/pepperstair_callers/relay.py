"""Passes an answer on to the caller, whole or visibly cut."""

from __future__ import annotations

from typing import Final

import structlog

from pepperstair_core.errors import Failure, PepperstairError, Run
from pepperstair_http import (
    ConnectionLostError,
    Exchange,
    StreamedResponse,
    end_to_end_headers,
)

log = structlog.get_logger(__name__)

RUN_HEADER: Final = b"pepperstair-run"
ERROR_HEADER: Final = b"pepperstair-error"
RETRY_AFTER_MS_HEADER: Final = b"pepperstair-retry-after-ms"

# When to come back after a failure that passes by itself but has no time of
# its own, such as a target that leaves while another one starts.
RETRY_AFTER_DEFAULT_MS: Final = 1_000

_RAN: Final = (RUN_HEADER, Run.YES.encode())
_TEXT: Final = (b"content-type", b"text/plain; charset=utf-8")


async def relay(exchange: Exchange, response: StreamedResponse) -> bool:
    """Pass an answer on; return whether the target gave all of it.

    Where it is cut, the caller's connection is broken, so that the caller sees
    an error and never takes the part for the whole.
    """
    headers = (*end_to_end_headers(response.headers), _RAN)
    try:
        await exchange.stream(response.status, headers, response.body)
    except (PepperstairError, ConnectionLostError):
        exchange.abort()
        return False
    return True


async def answer_failure(exchange: Exchange, failure: Failure) -> None:
    """Answer with the table's answer to a failure."""
    answer = failure.answer
    headers = [
        _TEXT,
        (RUN_HEADER, failure.has_run.encode()),
        (ERROR_HEADER, failure.kind.encode()),
    ]
    retry_after_ms = failure.retry_after_ms
    if not retry_after_ms and answer.is_retryable:
        retry_after_ms = RETRY_AFTER_DEFAULT_MS
    if retry_after_ms:
        seconds = -(-retry_after_ms // 1000)
        headers.append((b"retry-after", b"%d" % seconds))
        headers.append((RETRY_AFTER_MS_HEADER, b"%d" % retry_after_ms))
    body = f"{failure.text}\n".encode()
    await exchange.respond(answer.status, tuple(headers), body)


__all__ = [
    "ERROR_HEADER",
    "RETRY_AFTER_DEFAULT_MS",
    "RETRY_AFTER_MS_HEADER",
    "RUN_HEADER",
    "answer_failure",
    "relay",
]
