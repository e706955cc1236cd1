"""Classify the end of an attempt, for target ejection and for retries."""

from __future__ import annotations

from typing import Final

import structlog

from pepperstair_core.calls import EndKind
from pepperstair_core.errors import ErrorKind, Failure

log = structlog.get_logger(__name__)

_REFUSAL_KINDS: Final = frozenset(
    {
        ErrorKind.BUSY,
        ErrorKind.DRAINING,
        ErrorKind.NOT_READY,
        ErrorKind.NO_TARGET,
        ErrorKind.OVERLOADED,
        ErrorKind.TARGET_REFUSED,
        ErrorKind.TOO_MANY_CONNECTIONS,
        ErrorKind.VERSION_HELD,
        ErrorKind.VERSION_SUPERSEDED,
    }
)
_TARGET_ERROR_KINDS: Final = frozenset(
    {
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.TARGET_CRASHED,
        ErrorKind.TARGET_FAILED,
        ErrorKind.TARGET_UNREACHABLE,
    }
)
# Statuses by which a target reports a failure of its own and after which the call is
# retried on another target. A 504 is not among them: the retry would have less time
# than the first attempt and would time out too.
FAILED_STATUSES: Final = frozenset({500, 502})
# Minimum share of a call's timeout that must remain for a retry. With less time,
# another attempt rarely ends before the deadline.
RETRY_MIN_TIME_SHARE: Final = 0.25
# Failures that prove that the call reached no target.
_NOT_DELIVERED_KINDS: Final = frozenset(
    {
        ErrorKind.BUSY,
        ErrorKind.DRAINING,
        ErrorKind.NOT_READY,
        ErrorKind.NO_TARGET,
        ErrorKind.OVERLOADED,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.QUARANTINED,
        ErrorKind.TARGET_UNREACHABLE,
        ErrorKind.DEADLINE_BEFORE_RUN,
        ErrorKind.VERSION_HELD,
        ErrorKind.VERSION_SUPERSEDED,
    }
)
_SHEDDING_STATUSES: Final = frozenset({429, 503})
# Minimum share of the route's timeout at which a caller's timeout is treated as the
# full timeout. A caller's timeout may be slightly shorter than the route's because
# callers send their remaining time, in whole milliseconds.
FULL_TIMEOUT_SHARE: Final = 0.9


def classify_failure(failure: Failure, is_full_timeout: bool) -> EndKind:
    """Return the EndKind of an attempt that failed."""
    if failure.kind in _REFUSAL_KINDS:
        return EndKind.REFUSED
    if failure.kind is ErrorKind.PEER_UNREACHABLE:
        return EndKind.UNREACHABLE
    if failure.kind in _TARGET_ERROR_KINDS:
        return EndKind.ERROR
    if failure.kind is ErrorKind.TIMEOUT and is_full_timeout:
        return EndKind.ERROR
    return EndKind.ABANDONED


def classify_answer(status: int, is_complete: bool) -> EndKind:
    """Return the EndKind of an attempt that was answered.

    `is_complete` is false if the answer was truncated while it was relayed.
    """
    if is_complete and status in _SHEDDING_STATUSES:
        return EndKind.REFUSED
    if not is_complete or status >= 500:
        return EndKind.ERROR
    return EndKind.GOOD


def may_have_reached_target(failure: Failure) -> bool:
    """Return whether a failed call may have reached a target."""
    return failure.kind not in _NOT_DELIVERED_KINDS


__all__ = [
    "FAILED_STATUSES",
    "FULL_TIMEOUT_SHARE",
    "RETRY_MIN_TIME_SHARE",
    "classify_answer",
    "classify_failure",
    "may_have_reached_target",
]
