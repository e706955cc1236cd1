"""Clocks of the daemon, in milliseconds."""

from __future__ import annotations

import time


def monotonic_ms() -> int:
    """Return the monotonic time, for leases and timeouts."""
    return time.monotonic_ns() // 1_000_000


def boot_ms() -> int:
    """Return the time since boot, which includes the time the VM was suspended.

    The monotonic clock does not advance while the VM is suspended, so only this
    clock shows how long other daemons have waited for this one.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def precise_ms() -> float:
    """Return the monotonic time with fractions, for calls shorter than 1 ms."""
    return time.monotonic_ns() / 1_000_000


def wall_ms() -> int:
    """Return the Unix time, for times shown to people and for start ids."""
    return time.time_ns() // 1_000_000


__all__ = ["boot_ms", "monotonic_ms", "precise_ms", "wall_ms"]
