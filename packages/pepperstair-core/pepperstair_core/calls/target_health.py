"""What this daemon has seen of one target: load, errors, ejection, warmth.

A target's own word (announced state, health or load endpoints) is a hint: it
may lag or be wrong. What decides here is how the calls of this daemon ended.
"""

from __future__ import annotations

from random import Random
from typing import Final

EJECTION_BASE_MS: Final = 1_000
EJECTION_MAX_MS: Final = 30_000
EJECTION_JITTER: Final = 0.25
SLOW_START_MS: Final = 10_000
SLOW_START_MIN_SHARE: Final = 0.1
LATENCY_WEIGHT: Final = 0.2
LATENCY_HALF_LIFE_MS: Final = 5_000
# Share that the newest outcome has in the failure rate: about the last ten calls.
FAILURE_WEIGHT: Final = 0.1
# Fewer failures than this are left to the ejection of those that fail in a row.
N_FAILURES_MIN: Final = 8
# Successes in a row after which earlier ejections no longer lengthen the next.
N_SUCCESSES_TO_FORGET: Final = 20

_FORGOTTEN_RATE: Final = 0.01


class TargetHealth:
    """The state of one target as seen from here."""

    __slots__ = (
        "_failure_rate",
        "_failure_seen_ms",
        "_latency_ms",
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
        "seen_ms",
    )

    def __init__(self, seen_ms: float, *, is_new: bool) -> None:
        self.n_in_flight = 0
        self.n_errors = 0
        self.n_ejections = 0
        self.ejected_until_ms = 0.0
        self.avoided_until_ms = 0.0
        self.is_ejected = False
        self.is_probed = False
        self.seen_ms = seen_ms
        self._latency_ms = 0.0
        self._latency_seen_ms = seen_ms
        self._n_successes = 0
        self._starts: list[tuple[float, float]] = []
        self._failure_rate = 0.0
        self._failure_seen_ms = seen_ms
        self._n_failures = 0
        self._warm_since_ms = seen_ms if is_new else seen_ms - SLOW_START_MS

    def warmth(self, is_cold: bool, now_ms: float) -> float:
        """Return the share of its slots that a target is trusted with.

        A target that just started answers slowly; its full share at once would
        queue calls behind its warm-up, which callers see as a latency spike.
        """
        if is_cold:
            self._warm_since_ms = now_ms
            return SLOW_START_MIN_SHARE
        share = (now_ms - self._warm_since_ms) / SLOW_START_MS
        return min(1.0, max(SLOW_START_MIN_SHARE, share))

    def latency_ms(self, now_ms: float) -> float:
        """Return how long the target's answers took of late, 0 if unknown.

        What was seen counts half as much after each half-life: a target that
        was slow gets few calls, and so has few chances to show that it is not.
        """
        return _faded(self._latency_ms, now_ms - self._latency_seen_ms)

    def oldest_age_ms(self, now_ms: float) -> float:
        """Return for how long the oldest timed call has waited, times its weight.

        A target that hangs gives no answer that could be timed. Without this
        it would look as quick as ever until the first calls to it time out.
        """
        if not self._starts:
            return 0.0
        start_ms, weight = self._starts[0]
        return (now_ms - start_ms) * weight

    def failure_rate(self, now_ms: float) -> float:
        """Return the share of calls that failed of late, less as time passes."""
        if self._n_failures < N_FAILURES_MIN:
            return 0.0
        return _faded(self._failure_rate, now_ms - self._failure_seen_ms)

    def begin(self, now_ms: float, weight: float) -> None:
        """Take the start of a call.

        `weight` turns its age into a latency that compares with those seen; 0
        where its age says nothing of the target.
        """
        self.n_in_flight += 1
        if weight:
            self._starts.append((now_ms, weight))

    def record_answer(self, start_ms: float) -> None:
        """Take the head of an answer, whose body may go on for long."""
        for index, (started_ms, _) in enumerate(self._starts):
            if started_ms == start_ms:
                del self._starts[index]
                return

    def record_latency(self, latency_ms: float, now_ms: float) -> None:
        """Take the time that an answer took."""
        if self._latency_ms == 0.0:
            self._latency_ms = latency_ms
        else:
            change_ms = latency_ms - self._latency_ms
            self._latency_ms += LATENCY_WEIGHT * change_ms
        self._latency_seen_ms = now_ms

    @property
    def is_failed_probe(self) -> bool:
        """Return whether the call that has just failed tried an ejected target."""
        return self.is_ejected and self.is_probed

    def is_due_for_probe(self, now_ms: float) -> bool:
        """Return whether one call may try whether an ejected target is back."""
        return (
            self.is_ejected and not self.is_probed and now_ms >= self.ejected_until_ms
        )

    def succeed(self, now_ms: float) -> None:
        """Take a good answer: the target is back, or still there."""
        self._record_outcome(0.0, now_ms)
        self.n_errors = 0
        self.is_ejected = False
        self.is_probed = False
        self._n_successes += 1
        if self._n_successes >= N_SUCCESSES_TO_FORGET:
            self.n_ejections = 0

    def fail(self, now_ms: float) -> None:
        """Take an error that the target or its daemon caused."""
        self._record_outcome(1.0, now_ms)
        self.n_errors += 1
        self._n_successes = 0

    def clear_ejection(self) -> None:
        """End an ejection, as the target's VM has come back."""
        self.is_ejected = False
        self.is_probed = False
        self.n_errors = 0
        self.n_ejections = 0
        self.avoided_until_ms = 0.0

    def _record_outcome(self, failed: float, now_ms: float) -> None:
        rate = _faded(self._failure_rate, now_ms - self._failure_seen_ms)
        if rate < _FORGOTTEN_RATE:
            self._n_failures = 0
        self._n_failures += failed > 0.0
        self._failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
        self._failure_seen_ms = now_ms

    def eject(self, now_ms: float, rng: Random) -> float:
        """Leave the target out for a while and return for how long, in ms.

        The time doubles with each ejection, and is jittered: daemons that saw
        the same fault would else all probe the target in the same instant.
        """
        period_ms = min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2**self.n_ejections)
        period_ms *= 1 + EJECTION_JITTER * (2 * rng.random() - 1)
        self.n_ejections += 1
        self.is_ejected = True
        self.is_probed = False
        # The ejection answers for them; back in use, the target starts anew.
        self._failure_rate = 0.0
        self._n_failures = 0
        self.ejected_until_ms = now_ms + period_ms
        return period_ms


def _faded(seen: float, age_ms: float) -> float:
    """Return what something that was seen so long ago still counts for."""
    return seen * 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)


__all__ = [
    "EJECTION_BASE_MS",
    "EJECTION_MAX_MS",
    "SLOW_START_MIN_SHARE",
    "SLOW_START_MS",
    "TargetHealth",
]
