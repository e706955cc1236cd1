"""The limit that a target sets on the rate of its calls."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

# Size of the token bucket, as the time in which the limit fills it, in seconds. Calls
# arrive irregularly: without a burst, a target would get fewer calls than it accepts.
BURST_S: Final = 0.5
# Time before a new or lowered limit whose calls are charged to it, in seconds. An
# overloaded target states a limit because of the calls that it has just received.
CHARGED_S: Final = 1.0
# Maximum time for which the calls charged to a new limit stop all further calls, in
# seconds. Without calls, the end of the limit would go unnoticed.
STOPPED_MAX_S: Final = 3.0
# Minimum rate of calls to a target. One that accepts no calls at all still gets a call
# from time to time, because only an answer shows that its limit has ended.
RATE_MIN_PER_S: Final = 0.5
# Maximum time after which a refused caller is told to try the target again.
TURN_MAX_MS: Final = 1_000.0


class RateLimiter:
    """Limits the calls to one target to the rate that the target states.

    It is a token bucket for the calls of all daemons, because only the daemon on the
    target's VM sends it calls. Without a stated limit, calls are only recorded. Times
    are in milliseconds of one monotonic clock.

    >>> limiter = RateLimiter()
    >>> limiter.apply_statement(2.0, sent_ms=0, now_ms=0)
    >>> limiter.has_token(0)
    True
    >>> limiter.take(0)
    >>> limiter.has_token(0), limiter.has_token(500)
    (False, True)
    """

    __slots__ = (
        "_has_own_statement",
        "_next_turn_ms",
        "_stated_ms",
        "_taken_ms",
        "_tokens",
        "_updated_ms",
        "rate_per_s",
    )

    def __init__(self) -> None:
        self.rate_per_s: float | None = None
        self._has_own_statement = False
        self._stated_ms = -math.inf
        self._tokens = 0.0
        self._updated_ms = 0.0
        self._next_turn_ms = 0.0
        # When each call of the last `CHARGED_S` was sent.
        self._taken_ms: deque[float] = deque()

    def apply_statement(
        self, rate_per_s: float | None, sent_ms: float, now_ms: float
    ) -> None:
        """Apply the limit that an answer states, or None for no limit.

        `sent_ms` is when the request of the answer was sent. Answers can overtake each
        other, so only the answer to a request sent after the last statement of a limit
        can end the limit.
        """
        if rate_per_s is None and sent_ms < self._stated_ms:
            return
        self._has_own_statement = True
        if rate_per_s is not None:
            self._stated_ms = now_ms
        self._set_rate(rate_per_s, now_ms)

    def suggest(self, rate_per_s: float, now_ms: float) -> None:
        """Apply a limit known from another daemon, until the target itself answers.

        After a restart of this process, the daemons whose calls the target answered
        before still know its limit.
        """
        if not self._has_own_statement:
            self._set_rate(rate_per_s, now_ms)

    def has_token(self, now_ms: float) -> bool:
        """Return whether a call may be sent now."""
        if self.rate_per_s is None:
            return True
        self._refill(now_ms)
        return self._tokens >= 1.0

    def take(self, now_ms: float) -> None:
        """Record that a call is sent, whether or not there is a token for it."""
        self._taken_ms.append(now_ms)
        self._forget_old(now_ms)
        if self.rate_per_s is not None:
            self._refill(now_ms)
            self._tokens -= 1.0

    def refund(self) -> None:
        """Return the token of a call that was not sent after all."""
        if self._taken_ms:
            self._taken_ms.pop()
        self._tokens += 1.0

    def retry_after_ms(self, now_ms: float) -> int:
        """Return the time after which the caller of a refused call should try again.

        Each refused caller gets a later turn than the one before. If all came back for
        the same token, all but one would be refused again.
        """
        if self.rate_per_s is None:
            return 0
        self._refill(now_ms)
        interval_ms = 1000.0 / self.rate_per_s
        token_ms = now_ms + max(0.0, 1.0 - self._tokens) * interval_ms
        turn_ms = min(max(token_ms, self._next_turn_ms), now_ms + TURN_MAX_MS)
        self._next_turn_ms = turn_ms + interval_ms
        return math.ceil(turn_ms - now_ms)

    def _set_rate(self, rate_per_s: float | None, now_ms: float) -> None:
        known_per_s = self.rate_per_s
        if rate_per_s is None:
            self.rate_per_s = None
            return
        rate_per_s = max(rate_per_s, RATE_MIN_PER_S)
        if rate_per_s == known_per_s:
            return
        self._refill(now_ms)
        self.rate_per_s = rate_per_s
        if known_per_s is None:
            self._tokens = self._burst
            self._updated_ms = now_ms
        if known_per_s is None or rate_per_s < known_per_s:
            self._forget_old(now_ms)
            uncharged = rate_per_s * CHARGED_S - len(self._taken_ms)
            uncharged = max(uncharged, -rate_per_s * STOPPED_MAX_S)
            self._tokens = min(self._tokens, self._burst, uncharged)

    @property
    def _burst(self) -> float:
        return max(1.0, self.rate_per_s * BURST_S)

    def _refill(self, now_ms: float) -> None:
        if self.rate_per_s is None:
            return
        elapsed_s = max(0.0, now_ms - self._updated_ms) / 1000
        self._tokens = min(self._burst, self._tokens + elapsed_s * self.rate_per_s)
        self._updated_ms = now_ms

    def _forget_old(self, now_ms: float) -> None:
        oldest_ms = now_ms - CHARGED_S * 1000
        while self._taken_ms and self._taken_ms[0] < oldest_ms:
            self._taken_ms.popleft()


__all__ = ["BURST_S", "CHARGED_S", "RATE_MIN_PER_S", "STOPPED_MAX_S", "RateLimiter"]
