"""The clocks of the daemon, in milliseconds."""

from __future__ import annotations

import time


def monotonic_ms() -> int:
    """Return a time that never goes back, for leases and timeouts."""
    return time.monotonic_ns() // 1_000_000


def boot_ms() -> int:
    """Return a time that also counts while the VM is suspended.

    A suspended VM goes on with a steady clock that has not moved; only the time
    since boot shows that others have waited for it.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def precise_ms() -> float:
    """Return the same time with its fractions, for calls shorter than 1 ms."""
    return time.monotonic_ns() / 1_000_000


def wall_ms() -> int:
    """Return the time of day, for what people read and for start ids."""
    return time.time_ns() // 1_000_000


__all__ = ["boot_ms", "monotonic_ms", "precise_ms", "wall_ms"]
