"""Noticing that this process was paused."""

from __future__ import annotations


class PauseDetector:
    """Compares the clock with when the loop was last seen running.

    A VM that is frozen and woken goes on as if nothing had happened: it would
    run calls that its kernel kept for it, long after others had taken it for
    gone. Whoever is about to read what the kernel kept asks here first.

    >>> detector = PauseDetector(lease_ms=3000, now_ms=0)
    >>> detector.check(250), detector.check(10_000), detector.check(10_250)
    (0, 9750, 0)
    """

    def __init__(self, lease_ms: int, now_ms: int) -> None:
        self._lease_ms = lease_ms
        self._seen_ms = now_ms

    def check(self, now_ms: int) -> int:
        """Return how long the process was paused, 0 where it was not."""
        pause_ms = now_ms - self._seen_ms
        self._seen_ms = now_ms
        return pause_ms if pause_ms > self._lease_ms else 0


__all__ = ["PauseDetector"]
