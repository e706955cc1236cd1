"""Delays between dial attempts: exponential backoff with full jitter."""

from __future__ import annotations

from random import Random
from typing import Final

BACKOFF_MIN_MS: Final = 100
BACKOFF_MAX_MS: Final = 5_000


class DialBackoff:
    """Tracks the failed dials of each address and when the next attempt is due.

    After a mass restart all daemons that kept running dial at once. Without jitter
    they would retry in lockstep, so that each wave of dials would make the next wave
    fail, and some daemons would still have no neighbours long after the last restart.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._n_failed: dict[str, int] = {}
        self._due_ms: dict[str, int] = {}

    def is_due(self, address: str, now_ms: int) -> bool:
        """Return whether an address may be dialled now."""
        return self._due_ms.get(address, now_ms) <= now_ms

    def fail(self, address: str, now_ms: int) -> None:
        """Record a failed attempt and schedule the next one."""
        n_failed = self._n_failed.get(address, 0)
        self._n_failed[address] = n_failed + 1
        limit_ms = min(BACKOFF_MIN_MS << min(n_failed, 16), BACKOFF_MAX_MS)
        self._due_ms[address] = now_ms + self._rng.randint(0, limit_ms)

    def succeed(self, address: str) -> None:
        """Clear the failures of an address."""
        self._n_failed.pop(address, None)
        self._due_ms.pop(address, None)


__all__ = ["BACKOFF_MAX_MS", "BACKOFF_MIN_MS", "DialBackoff"]
