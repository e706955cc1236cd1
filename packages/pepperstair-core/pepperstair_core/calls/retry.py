"""Retry decisions: whether and when a failed call is sent again.

A call is retried only if it provably did not run or is idempotent, so that no retry
runs a non-idempotent call twice. A budget limits retries to a fixed share of calls,
because unlimited retries multiply the load on a service when it is least able to
handle it.
"""

from __future__ import annotations

from enum import StrEnum
from random import Random
from typing import Final, Protocol

from msgspec import Struct

from ..errors import ErrorKind, Failure, RunStatus

N_ATTEMPTS_MAX: Final = 3
BACKOFF_BASE_MS: Final = 5.0
BACKOFF_MAX_MS: Final = 250.0
BUDGET_INITIAL_PERCENT: Final = 1_000
BUDGET_MAX_PERCENT: Final = 10_000
# Part of the retry budget that a call of each priority must leave unused, in percent of
# one retry: 500 reserves five retries. Without the reserve, refusals of less urgent
# calls would use up the budget under overload, and a refused urgent call could not be
# retried on another target.
RESERVED_PERCENT: Final = {"urgent": 0, "normal": 500, "deferrable": 900}

# Failures after which an idempotent call may be retried although it may have run.
_LOST_ANSWER_KINDS: Final = frozenset(
    {ErrorKind.TARGET_FAILED, ErrorKind.TARGET_CRASHED, ErrorKind.OUTCOME_UNKNOWN}
)


class GiveUpCause(StrEnum):
    """Why a failed call is not retried."""

    MAY_HAVE_RUN = "it may have run"
    FINAL = "another attempt would end the same"
    ATTEMPTS = "it was tried often enough"
    DEADLINE = "too little time is left"
    BUDGET = "the retry budget is used up"
    NO_OTHER = "no other target is known"
    NO_ROOM = "no other target has room"


class Attempt(Struct, frozen=True):
    """A failed attempt and the limits that apply to another one.

    `earlier_run` states whether the call ran in the attempts before this one, and
    `has_arrived` whether the call may have reached a target in any attempt.
    """

    failure: Failure
    priority: str
    n_attempts: int
    is_idempotent: bool
    is_replayable: bool
    time_left_ms: float
    earlier_run: RunStatus = RunStatus.NO
    n_attempts_max: int = N_ATTEMPTS_MAX
    has_arrived: bool = True

    @property
    def run_status(self) -> RunStatus:
        """Return whether the call ran in any attempt.

        A refusal of the last attempt proves nothing about an earlier attempt whose
        answer was lost: reporting `no` could make the caller repeat, for example, a
        booking.
        """
        if self.earlier_run is RunStatus.NO:
            return self.failure.run_status
        return RunStatus.UNKNOWN


class Retry(Struct, frozen=True):
    """Send the call again, to another target, after a delay."""

    delay_ms: float


class GiveUp(Struct, frozen=True):
    """Answer the caller with the failure at once."""

    cause: GiveUpCause


class RetryBudget(Protocol):
    """A limit on the number of retries."""

    def add_call(self, percent: int) -> None:
        """Count a call, which permits `percent` hundredths of a retry."""

    def take(self, priority: str, has_arrived: bool = True) -> bool:
        """Use up one retry and return whether one was available.

        `has_arrived` states whether an earlier attempt may have reached a target.
        """


class TokenRetryBudget:
    """A token bucket that calls fill and retries drain, in hundredths of a retry.

    >>> budget = TokenRetryBudget()
    >>> budget.take("urgent")
    True
    """

    __slots__ = ("_percent",)

    def __init__(self) -> None:
        self._percent = BUDGET_INITIAL_PERCENT

    def add_call(self, percent: int) -> None:
        """Count a call, which permits `percent` hundredths of a retry."""
        self._percent = min(BUDGET_MAX_PERCENT, self._percent + percent)

    def take(self, priority: str, has_arrived: bool = True) -> bool:
        """Use up one retry and return whether one was available.

        Every retry counts, whether or not the call has reached a target.
        """
        if self._percent < 100 + RESERVED_PERCENT[priority]:
            return False
        self._percent -= 100
        return True


def decide_retry(attempt: Attempt, budget: RetryBudget, rng: Random) -> Retry | GiveUp:
    """Return whether to retry after a failed attempt; a retry uses up the budget."""
    failure = attempt.failure
    if attempt.run_status is not RunStatus.NO and not attempt.is_idempotent:
        return GiveUp(GiveUpCause.MAY_HAVE_RUN)
    is_lost = failure.kind in _LOST_ANSWER_KINDS
    is_refused = failure.answer.is_retryable and failure.run_status is RunStatus.NO
    if not (is_refused or is_lost) or not attempt.is_replayable:
        return GiveUp(GiveUpCause.FINAL)
    if attempt.n_attempts >= attempt.n_attempts_max:
        return GiveUp(GiveUpCause.ATTEMPTS)
    # Full jitter, so that calls that failed together are not retried together.
    longest_ms = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** (attempt.n_attempts - 1))
    delay_ms = rng.random() * longest_ms
    if delay_ms >= attempt.time_left_ms:
        return GiveUp(GiveUpCause.DEADLINE)
    if not budget.take(attempt.priority, attempt.has_arrived):
        return GiveUp(GiveUpCause.BUDGET)
    return Retry(delay_ms)


__all__ = [
    "Attempt",
    "GiveUp",
    "GiveUpCause",
    "Retry",
    "RetryBudget",
    "TokenRetryBudget",
    "decide_retry",
]
