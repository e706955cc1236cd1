"""A token bucket that all requests of an account ask directly."""

from __future__ import annotations


class NaiveBucket:
    """The exact bucket of a fleet without messages."""

    def __init__(self, rate_per_s: float, n_max: float) -> None:
        self._rate_per_s = rate_per_s
        self._n_max = n_max
        self._tokens = n_max
        self._updated_ms = 0.0

    def take(self, now_ms: float) -> bool:
        """Take a token, and return whether there was one."""
        elapsed_ms = now_ms - self._updated_ms
        added = self._rate_per_s * elapsed_ms / 1000.0
        self._tokens = min(self._n_max, self._tokens + added)
        self._updated_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


__all__ = ["NaiveBucket"]
