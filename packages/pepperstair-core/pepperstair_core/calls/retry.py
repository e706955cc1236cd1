"""Whether a failed call is sent again, and when.

A call is sent again only where that can't make it run twice: it provably did
not run, or it is idempotent. A budget keeps retries a fixed share of calls, as
blind retries multiply the load on a service just when it can bear it least.
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
BUDGET_FIRST_PERCENT: Final = 1_000
BUDGET_MAX_PERCENT: Final = 10_000
# What less urgent calls leave in the budget: under overload their refusals
# would else use all of it, and a refused booking could not go elsewhere.
RESERVED_PERCENT: Final = {"urgent": 0, "normal": 500, "deferrable": 900}

# What an idempotent call may be sent again after, though it may have run.
_LOST_ANSWERS: Final = frozenset(
    {ErrorKind.TARGET_FAILED, ErrorKind.TARGET_CRASHED, ErrorKind.OUTCOME_UNKNOWN}
)


class GiveUpCause(StrEnum):
    """Why a failed call is not sent again."""

    MAY_HAVE_RUN = "it may have run"
    FINAL = "another attempt would end the same"
    ATTEMPTS = "it was tried often enough"
    DEADLINE = "too little time is left"
    BUDGET = "the retry budget is used up"
    NO_OTHER = "no other target is known"
    NO_ROOM = "no other target has room"


class Attempt(Struct, frozen=True):
    """A failed attempt: the failure and what it left to work with.

    `earlier_run` is what the attempts before it say of whether the call ran,
    `has_arrived` whether it may have reached a target in any of them.
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
        """Return whether the call ran, over all attempts.

        The last refusal proves nothing of an earlier attempt whose answer was
        lost: telling its caller `no` could make it book a second time.
        """
        if self.earlier_run is RunStatus.NO:
            return self.failure.run_status
        return RunStatus.UNKNOWN


class Retry(Struct, frozen=True):
    """Send the call again, to another target, after a delay."""

    delay_ms: float


class GiveUp(Struct, frozen=True):
    """Answer with the failure at once."""

    cause: GiveUpCause


class RetryBudget(Protocol):
    """What may be sent again, in whatever way it is counted."""

    def add_call(self, percent: int) -> None:
        """Take note of a call, which permits this share of a retry."""

    def take(self, priority: str, has_arrived: bool = True) -> bool:
        """Use up one retry, and say whether there was one.

        `has_arrived` says whether a target may have seen the call before.
        """


class TokenRetryBudget:
    """A token bucket that each call fills a little and each retry takes from.

    >>> budget = TokenRetryBudget()
    >>> budget.take("urgent")
    True
    """

    __slots__ = ("_percent",)

    def __init__(self) -> None:
        self._percent = BUDGET_FIRST_PERCENT

    def add_call(self, percent: int) -> None:
        """Take note of a call, which permits this share of a retry."""
        self._percent = min(BUDGET_MAX_PERCENT, self._percent + percent)

    def take(self, priority: str, has_arrived: bool = True) -> bool:
        """Use up one retry, and say whether there was one.

        Every retry counts here, whether or not a target has seen the call.
        """
        if self._percent < 100 + RESERVED_PERCENT[priority]:
            return False
        self._percent -= 100
        return True


def decide_retry(attempt: Attempt, budget: RetryBudget, rng: Random) -> Retry | GiveUp:
    """Decide what follows a failed attempt; a retry is taken from the budget."""
    failure = attempt.failure
    if attempt.run_status is not RunStatus.NO and not attempt.is_idempotent:
        return GiveUp(GiveUpCause.MAY_HAVE_RUN)
    is_lost = failure.kind in _LOST_ANSWERS
    is_refused = failure.answer.is_retryable and failure.run_status is RunStatus.NO
    if not (is_refused or is_lost) or not attempt.is_replayable:
        return GiveUp(GiveUpCause.FINAL)
    if attempt.n_attempts >= attempt.n_attempts_max:
        return GiveUp(GiveUpCause.ATTEMPTS)
    # Full jitter: callers that failed together must not come back together.
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
