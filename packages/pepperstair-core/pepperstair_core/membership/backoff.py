"""When to dial again after a failure: exponential backoff with full jitter."""

from __future__ import annotations

from random import Random
from typing import Final

BACKOFF_MIN_MS: Final = 100
BACKOFF_MAX_MS: Final = 5_000


class DialBackoff:
    """The failed attempts at each address and when the next one is due.

    After a herd restart all survivors dial at once. Without jitter they would
    do so in step, and each wave would fail the next; one would notice daemons
    that stay without neighbours long after the last restart.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._n_failed: dict[str, int] = {}
        self._due_ms: dict[str, int] = {}

    def is_due(self, address: str, now_ms: int) -> bool:
        """Return whether an address may be dialled now."""
        return self._due_ms.get(address, now_ms) <= now_ms

    def fail(self, address: str, now_ms: int) -> None:
        """Note a failed attempt."""
        n_failed = self._n_failed.get(address, 0)
        self._n_failed[address] = n_failed + 1
        limit_ms = min(BACKOFF_MIN_MS << min(n_failed, 16), BACKOFF_MAX_MS)
        self._due_ms[address] = now_ms + self._rng.randint(0, limit_ms)

    def succeed(self, address: str) -> None:
        """Forget the failures of an address."""
        self._n_failed.pop(address, None)
        self._due_ms.pop(address, None)


__all__ = ["BACKOFF_MAX_MS", "BACKOFF_MIN_MS", "DialBackoff"]
