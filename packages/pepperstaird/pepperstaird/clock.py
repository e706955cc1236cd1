"""The clocks of the daemon, in milliseconds."""

from __future__ import annotations

import time


def monotonic_ms() -> int:
    """Return a time that never goes back, for leases and timeouts."""
    return time.monotonic_ns() // 1_000_000


def precise_ms() -> float:
    """Return the same time with its fractions, for calls shorter than 1 ms."""
    return time.monotonic_ns() / 1_000_000


def wall_ms() -> int:
    """Return the time of day, for what people read and for start ids."""
    return time.time_ns() // 1_000_000


__all__ = ["monotonic_ms", "precise_ms", "wall_ms"]
