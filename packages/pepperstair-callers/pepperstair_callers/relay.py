"""Relay answers and failures to the caller."""

from __future__ import annotations

from typing import Final

import structlog

from pepperstair_core.errors import (
    ANSWERS,
    ErrorKind,
    Failure,
    PepperstairError,
    RunStatus,
)
from pepperstair_http import (
    ConnectionLostError,
    Exchange,
    HeaderNames,
    StreamedResponse,
    end_to_end_headers,
)

log = structlog.get_logger(__name__)

RUN_HEADER: Final = b"pepperstair-run"
ERROR_HEADER: Final = b"pepperstair-error"
RETRY_AFTER_MS_HEADER: Final = b"pepperstair-retry-after-ms"

# Retry-after time sent to callers after a transient failure that states no such time,
# for example if the only target is draining while another target starts.
RETRY_AFTER_DEFAULT_MS: Final = 1_000

_NOT_RUN_STATUSES: Final = frozenset({429, 503})
_RUN_YES: Final = (RUN_HEADER, RunStatus.YES.encode())
_TEXT: Final = (b"content-type", b"text/plain; charset=utf-8")


async def relay(exchange: Exchange, response: StreamedResponse) -> bool:
    """Relay an answer and return whether it was relayed completely.

    If the answer is truncated, the caller's connection is reset, so that the caller
    gets an error and can't mistake a partial answer for a complete one.
    """
    headers = (*end_to_end_headers(response.headers), _RUN_YES)
    try:
        await exchange.stream(response.status, headers, response.body)
    except (PepperstairError, ConnectionLostError):
        exchange.abort()
        return False
    return True


async def answer_failure(
    exchange: Exchange, failure: Failure, names: HeaderNames
) -> None:
    """Send the answer that the `ANSWERS` table defines for a failure."""
    answer = failure.answer
    headers = [
        _TEXT,
        (RUN_HEADER, failure.run_status.encode()),
        (ERROR_HEADER, failure.kind.encode()),
    ]
    retry_after_ms = failure.retry_after_ms
    if not retry_after_ms and answer.is_retryable:
        retry_after_ms = RETRY_AFTER_DEFAULT_MS
    if retry_after_ms:
        headers.append((b"retry-after", _retry_after(retry_after_ms, names)))
        headers.append((RETRY_AFTER_MS_HEADER, b"%d" % retry_after_ms))
    body = f"{failure.text}\n".encode()
    await exchange.respond(_status_of(failure), tuple(headers), body)


def _status_of(failure: Failure) -> int:
    """Return the HTTP status of the answer to a failed request.

    Callers take 429 and 503 as proof that the request did not run, so another
    status replaces them if it may have run. For example, if the answer to the first
    attempt is lost and the second attempt is refused, the first one may have run.
    """
    status = failure.answer.status
    if status in _NOT_RUN_STATUSES and failure.run_status is not RunStatus.NO:
        return ANSWERS[ErrorKind.OUTCOME_UNKNOWN].status
    return status


def _retry_after(retry_after_ms: int, names: HeaderNames) -> bytes:
    if names.has_retry_after_fractions:
        return b"%.3f" % (retry_after_ms / 1000)
    return b"%d" % -(-retry_after_ms // 1000)


__all__ = [
    "ERROR_HEADER",
    "RETRY_AFTER_DEFAULT_MS",
    "RETRY_AFTER_MS_HEADER",
    "RUN_HEADER",
    "answer_failure",
    "relay",
]
