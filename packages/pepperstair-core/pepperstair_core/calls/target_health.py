"""The health of one target as one daemon sees it: load, errors, ejection, slow start.

What a target reports itself (announced state, health or load endpoints) is only a
hint, as it may lag or be wrong. The outcome of this daemon's own calls decides.
"""

from __future__ import annotations

import math
from random import Random
from typing import Final

EJECTION_BASE_MS: Final = 1_000
EJECTION_MAX_MS: Final = 30_000
EJECTION_JITTER: Final = 0.25
SLOW_START_MS: Final = 10_000
SLOW_START_MIN_SHARE: Final = 0.1
LATENCY_WEIGHT: Final = 0.2
LATENCY_HALF_LIFE_MS: Final = 5_000
# Time for which a stated rate limit affects the choice unless it is stated again. After
# it, the target is tried again: if it were left out while others have free slots, the
# end of its limit would go unnoticed.
LIMIT_VALID_MS: Final = 1_000.0
# Weight of the newest outcome in the failure rate, which covers about ten calls.
FAILURE_WEIGHT: Final = 0.1
# Minimum number of recorded failures for a failure rate; with fewer failures the rate
# is taken as 0. A target whose calls fail consecutively is ejected regardless of this
# limit.
N_FAILURES_MIN: Final = 8
# Number of successes since the last failure after which earlier ejections no longer
# lengthen the next ejection.
N_SUCCESSES_TO_FORGET: Final = 20

_NEGLIGIBLE_RATE: Final = 0.01


class TargetHealth:
    """The health of one target as this daemon sees it.

    Until `avoided_until_ms` the target gets calls only if no other target is usable.
    An ejected target gets a single call as a probe from `ejected_until_ms` on.
    `seen_ms` is the time at which the target was last among the endpoints.
    `rate_limit_per_s` is the rate limit that the target stated last, None if it stated
    none. `start` identifies the start of the target that this health belongs to.
    """

    __slots__ = (
        "_failure_rate",
        "_failure_seen_ms",
        "_latency_ms",
        "_limit_stated_ms",
        "_latency_seen_ms",
        "_n_failures",
        "_n_successes",
        "_starts",
        "_warm_since_ms",
        "avoided_until_ms",
        "ejected_until_ms",
        "is_ejected",
        "is_probed",
        "n_ejections",
        "n_errors",
        "n_in_flight",
        "rate_limit_per_s",
        "seen_ms",
        "start",
    )

    def __init__(self, seen_ms: float, *, is_new: bool, start: str = "") -> None:
        self.start = start
        self.n_in_flight = 0
        self.n_errors = 0
        self.n_ejections = 0
        self.ejected_until_ms = 0.0
        self.avoided_until_ms = 0.0
        self.is_ejected = False
        self.is_probed = False
        self.seen_ms = seen_ms
        self.rate_limit_per_s: float | None = None
        self._limit_stated_ms = -math.inf
        self._latency_ms = 0.0
        self._latency_seen_ms = seen_ms
        self._n_successes = 0
        self._starts: list[tuple[float, float]] = []
        self._failure_rate = 0.0
        self._failure_seen_ms = seen_ms
        self._n_failures = 0
        self._warm_since_ms = seen_ms if is_new else seen_ms - SLOW_START_MS

    def slow_start_share(self, is_cold: bool, now_ms: float) -> float:
        """Return the share of its slots that a target is given during its slow start.

        A target that has just started answers slowly. If it got its full share of calls
        at once, calls would queue until it has warmed up, and callers would see a
        latency spike.
        """
        if is_cold:
            self._warm_since_ms = now_ms
            return SLOW_START_MIN_SHARE
        share = (now_ms - self._warm_since_ms) / SLOW_START_MS
        return min(1.0, max(SLOW_START_MIN_SHARE, share))

    def record_limit(
        self, rate_per_s: float | None, sent_ms: float, now_ms: float
    ) -> None:
        """Record a stated rate limit; None ends it if sent after its last statement."""
        if rate_per_s is not None:
            self._limit_stated_ms = now_ms
        elif sent_ms < self._limit_stated_ms:
            return
        self.rate_limit_per_s = rate_per_s

    def valid_limit_per_s(self, now_ms: float) -> float | None:
        """Return the rate limit if it was stated recently, or None."""
        if now_ms - self._limit_stated_ms > LIMIT_VALID_MS:
            return None
        return self.rate_limit_per_s

    def latency_ms(self, now_ms: float) -> float:
        """Return the recent latency of the target's answers, 0 if unknown.

        The value halves with each half-life without an answer: a target that was slow
        gets few calls and so has few chances to show that it has recovered.
        """
        return _decayed(self._latency_ms, now_ms - self._latency_seen_ms)

    def oldest_age_ms(self, now_ms: float) -> float:
        """Return the age of the oldest timed call, multiplied by its weight.

        A target that hangs gives no answer that could be timed. Without the age of
        its calls it would look as quick as before until the first of them time out.
        """
        if not self._starts:
            return 0.0
        start_ms, weight = self._starts[0]
        return (now_ms - start_ms) * weight

    def failure_rate(self, now_ms: float) -> float:
        """Return the share of recent calls that failed, which decays with time."""
        if self._n_failures < N_FAILURES_MIN:
            return 0.0
        return _decayed(self._failure_rate, now_ms - self._failure_seen_ms)

    def begin(self, now_ms: float, weight: float) -> None:
        """Record the start of a call.

        `weight` converts its age to a latency comparable to the recorded ones; it is
        0 if the age says nothing about the target.
        """
        self.n_in_flight += 1
        if weight:
            self._starts.append((now_ms, weight))

    def record_answer(self, start_ms: float) -> None:
        """Stop timing a call when its answer's head arrives; the body may take long."""
        for index, (started_ms, _) in enumerate(self._starts):
            if started_ms == start_ms:
                del self._starts[index]
                return

    def record_latency(self, latency_ms: float, now_ms: float) -> None:
        """Record the latency of an answer."""
        if self._latency_ms == 0.0:
            self._latency_ms = latency_ms
        else:
            change_ms = latency_ms - self._latency_ms
            self._latency_ms += LATENCY_WEIGHT * change_ms
        self._latency_seen_ms = now_ms

    @property
    def is_failed_probe(self) -> bool:
        """Return whether the call that has just failed was a probe."""
        return self.is_ejected and self.is_probed

    def is_due_for_probe(self, now_ms: float) -> bool:
        """Return whether one call may probe the ejected target."""
        return (
            self.is_ejected and not self.is_probed and now_ms >= self.ejected_until_ms
        )

    def succeed(self, now_ms: float) -> None:
        """Record a good answer, which also ends an ejection."""
        self._record_outcome(0.0, now_ms)
        self.n_errors = 0
        self.is_ejected = False
        self.is_probed = False
        self._n_successes += 1
        if self._n_successes >= N_SUCCESSES_TO_FORGET:
            self.n_ejections = 0

    def fail(self, now_ms: float) -> None:
        """Record an error caused by the target or its daemon."""
        self._record_outcome(1.0, now_ms)
        self.n_errors += 1
        self._n_successes = 0

    def clear_ejection(self) -> None:
        """End an ejection because the target's VM is reachable again."""
        self.is_ejected = False
        self.is_probed = False
        self.n_errors = 0
        self.n_ejections = 0
        self.avoided_until_ms = 0.0

    def _record_outcome(self, failed: float, now_ms: float) -> None:
        rate = _decayed(self._failure_rate, now_ms - self._failure_seen_ms)
        if rate < _NEGLIGIBLE_RATE:
            self._n_failures = 0
        self._n_failures += failed > 0.0
        self._failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
        self._failure_seen_ms = now_ms

    def eject(self, now_ms: float, rng: Random) -> float:
        """Eject the target and return for how long, in milliseconds.

        The period doubles with each ejection and is jittered: without jitter, all
        daemons that saw the same fault would probe the target at the same moment.
        """
        period_ms = min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2**self.n_ejections)
        period_ms *= 1 + EJECTION_JITTER * (2 * rng.random() - 1)
        self.n_ejections += 1
        self.is_ejected = True
        self.is_probed = False
        # The failures recorded so far have led to this ejection and must not count
        # again after it.
        self._failure_rate = 0.0
        self._n_failures = 0
        self.ejected_until_ms = now_ms + period_ms
        return period_ms


def _decayed(value: float, age_ms: float) -> float:
    """Return a latency or a rate decayed by its age."""
    return value * 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)


__all__ = [
    "EJECTION_BASE_MS",
    "EJECTION_MAX_MS",
    "SLOW_START_MIN_SHARE",
    "SLOW_START_MS",
    "TargetHealth",
]
