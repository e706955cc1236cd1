"""Detection of pauses of this process."""

from __future__ import annotations


class PauseDetector:
    """Detects pauses from the time between two checks of the event loop.

    A VM that is paused and resumed continues as if nothing had happened. It would
    run calls that its kernel buffered, long after other daemons have declared it
    gone. Callers therefore check for a pause before they read buffered data.

    >>> detector = PauseDetector(lease_ms=3000, now_ms=0)
    >>> detector.check(250), detector.check(10_000), detector.check(10_250)
    (0, 9750, 0)
    """

    def __init__(self, lease_ms: int, now_ms: int) -> None:
        self._lease_ms = lease_ms
        self._last_check_ms = now_ms

    def check(self, now_ms: int) -> int:
        """Return the time since the last check if it exceeds the lease, otherwise 0."""
        pause_ms = now_ms - self._last_check_ms
        self._last_check_ms = now_ms
        return pause_ms if pause_ms > self._lease_ms else 0


__all__ = ["PauseDetector"]
