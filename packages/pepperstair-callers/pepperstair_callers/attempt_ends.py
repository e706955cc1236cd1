"""What the end of an attempt says of its target, and of what may follow."""

from __future__ import annotations

from typing import Final

import structlog

from pepperstair_core.calls import EndKind
from pepperstair_core.errors import ErrorKind, Failure

log = structlog.get_logger(__name__)

_REFUSALS: Final = frozenset(
    {
        ErrorKind.BUSY,
        ErrorKind.DRAINING,
        ErrorKind.NOT_READY,
        ErrorKind.NO_TARGET,
        ErrorKind.OVERLOADED,
        ErrorKind.TARGET_REFUSED,
        ErrorKind.TOO_MANY_CONNECTIONS,
    }
)
_TARGET_ERRORS: Final = frozenset(
    {
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.PEER_UNREACHABLE,
        ErrorKind.TARGET_CRASHED,
        ErrorKind.TARGET_FAILED,
        ErrorKind.TARGET_UNREACHABLE,
    }
)
# What a target answers where its work went wrong. A timeout of its own (504)
# would only end the same elsewhere, with less time.
FAILED_STATUSES: Final = frozenset({500, 502})
# With less of its time left, another attempt could rarely end in time.
RETRY_TIME_SHARE: Final = 0.25
# Failures after which no target can have seen the call.
_NOT_ARRIVED: Final = frozenset(
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
    }
)
_SHEDDING_STATUSES: Final = frozenset({429, 503})
# Callers state whole milliseconds of what is left when they send; a timeout that
# is this much of the route's counts as all of it.
WHOLE_TIMEOUT_SHARE: Final = 0.9


def end_of_failure(failure: Failure, is_whole_timeout: bool) -> EndKind:
    """Return what a failed attempt says of its target."""
    if failure.kind in _REFUSALS:
        return EndKind.REFUSED
    if failure.kind is ErrorKind.PEER_UNREACHABLE:
        return EndKind.UNREACHABLE
    if failure.kind in _TARGET_ERRORS:
        return EndKind.ERROR
    if failure.kind is ErrorKind.TIMEOUT and is_whole_timeout:
        return EndKind.ERROR
    return EndKind.ABANDONED


def end_of_answer(status: int, is_whole: bool) -> EndKind:
    """Return what an answer says of its target, passed on whole or cut."""
    if is_whole and status in _SHEDDING_STATUSES:
        return EndKind.REFUSED
    if not is_whole or status >= 500:
        return EndKind.ERROR
    return EndKind.GOOD


def may_have_arrived(failure: Failure) -> bool:
    """Return whether a target may have seen a call that failed."""
    return failure.kind not in _NOT_ARRIVED


__all__ = [
    "FAILED_STATUSES",
    "RETRY_TIME_SHARE",
    "WHOLE_TIMEOUT_SHARE",
    "end_of_answer",
    "end_of_failure",
    "may_have_arrived",
]
