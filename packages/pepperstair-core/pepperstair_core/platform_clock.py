"""Relation of the platform's clock to a VM's clock.

The platform states its time in its answers. An answer was made after its request was
sent and before it arrived, which bounds the difference between the two clocks. The
bounds of the fastest exchanges hold for all others, so that a late answer can be dated
as exactly as a fast one.
"""

from __future__ import annotations

import math
from typing import Final

# Assumed maximum drift between two clocks, as a share of the elapsed time.
DRIFT_MAX_SHARE: Final = 0.0002
# The platform truncates its time to milliseconds.
_ROUNDING_MS: Final = 1.0


class PlatformClock:
    """Bounds on the platform's clock less this VM's clock, in milliseconds.

    Both clocks are steady. If an answer contradicts the bounds, one of the clocks was
    replaced, and only this answer counts.

    >>> clock = PlatformClock()
    >>> clock.observe(1000.0, 1004.0, 91_002)
    >>> clock.observe(2000.0, 3504.0, 92_100)
    >>> round(clock.earliest_ms(92_100, 3504.0), 1)
    2096.2
    >>> clock.now_ms(3504.0)
    93504
    """

    def __init__(self) -> None:
        self._lower_ms = -math.inf
        self._upper_ms = math.inf
        self._bounded_ms = 0.0

    def observe(self, sent_ms: float, received_ms: float, platform_ms: int) -> None:
        """Record the platform's time in the answer to a request.

        `sent_ms` and `received_ms` are moments on this VM's clock.
        """
        exchange_drift_ms = (received_ms - sent_ms) * DRIFT_MAX_SHARE
        lower_ms = platform_ms - received_ms - exchange_drift_ms
        upper_ms = platform_ms + _ROUNDING_MS - sent_ms + exchange_drift_ms
        drift_ms = self._drift_ms(received_ms)
        known_lower_ms = self._lower_ms - drift_ms
        known_upper_ms = self._upper_ms + drift_ms
        if lower_ms <= known_upper_ms and upper_ms >= known_lower_ms:
            lower_ms = max(lower_ms, known_lower_ms)
            upper_ms = min(upper_ms, known_upper_ms)
        self._lower_ms, self._upper_ms = lower_ms, upper_ms
        self._bounded_ms = received_ms

    def earliest_ms(self, platform_ms: int, local_ms: float) -> float | None:
        """Return the earliest moment on this VM's clock that the platform's may be.

        `local_ms` is the time on this VM's clock. Return None if the platform's time is
        not known.
        """
        if self._upper_ms == math.inf:
            return None
        earliest_ms = platform_ms - self._upper_ms - self._drift_ms(local_ms)
        return earliest_ms - max(0.0, local_ms - earliest_ms) * DRIFT_MAX_SHARE

    def now_ms(self, local_ms: float) -> int | None:
        """Return the platform's time, None if it is not known.

        The error is at most half the time of the fastest recent exchange.
        """
        if self._upper_ms == math.inf:
            return None
        return round(local_ms + (self._lower_ms + self._upper_ms) / 2)

    def _drift_ms(self, local_ms: float) -> float:
        """Return by how much the clocks may have drifted since the last answer."""
        return max(0.0, local_ms - self._bounded_ms) * DRIFT_MAX_SHARE


__all__ = ["DRIFT_MAX_SHARE", "PlatformClock"]
