"""Naive ways to carry calls: random target, endless queue, blind retries."""

from __future__ import annotations

from collections import deque
from random import Random

from pepperstair_core.calls import Admitted, Attempt, GiveUp, Retry, RetryBudget
from pepperstair_core.calls.retry import GiveUpCause

N_BLIND_RETRIES = 3


class RandomChooser:
    """Takes any target, whatever was seen of it."""

    def __init__(self, availability_zone: str, rng: Random) -> None:
        self._rng = rng

    def choose(self, endpoints, load_of, now_ms, excluded=(), *, is_urgent=False):
        """Return any endpoint."""
        return self._rng.choice(endpoints)

    def end(self, endpoint, endpoints, end, now_ms):
        """Learn nothing."""


class UnboundedQueue:
    """Lets every call wait in the order of arrival, for however long."""

    def __init__(self, n_slots: int) -> None:
        self.n_slots = n_slots
        self.n_in_flight = 0
        self._waiting = deque()

    @property
    def n_queued(self):
        """Return how many calls wait."""
        return len(self._waiting)

    def arrive(self, call, now_ms):
        """Take a call."""
        self._waiting.append(call)
        return self._grant()

    def finish(self, customer, priority, service_ms, now_ms):
        """Take the end of a call."""
        self.n_in_flight -= 1
        return self._grant()

    def _grant(self):
        verdicts = []
        while self._waiting and self.n_in_flight < self.n_slots:
            self.n_in_flight += 1
            verdicts.append(Admitted(self._waiting.popleft().ticket))
        return verdicts


def retry_blindly(attempt: Attempt, budget: RetryBudget, rng: Random):
    """Send again at once, three times, whatever happened."""
    if attempt.n_attempts > N_BLIND_RETRIES:
        return GiveUp(GiveUpCause.ATTEMPTS)
    return Retry(0.0)
