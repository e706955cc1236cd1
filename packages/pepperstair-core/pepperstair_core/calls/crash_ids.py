"""Ids of crashes, by which daemons count a crash once and know when it was."""

from __future__ import annotations

from typing import Final

_N_TIME_PARTS: Final = 3
# Maximum number of digits of a part of an id, enough for Unix milliseconds.
_N_DIGITS_MAX: Final = 15


def make_crash_id(vm: str, start_id: int, number: int, uptime_ms: int) -> str:
    """Return the id of a crash that a daemon has detected.

    `start_id` is the time at which the daemon started, in Unix milliseconds, `number`
    counts the crashes that it has detected, and `uptime_ms` is how long it had run.

    >>> make_crash_id("vm-1", 1767225600000, 1, 2500)
    'vm-1/1767225600000/1/2500'
    """
    return f"{vm}/{start_id}/{number}/{uptime_ms}"


def is_crash_seen_by(crash_id: str, vm: str, start_id: int) -> bool:
    """Return whether a crash was detected by one process of a daemon."""
    return crash_id.startswith(f"{vm}/{start_id}/")


def crash_time_ms(crash_id: str) -> int | None:
    """Return the time of a crash in Unix milliseconds, or None if it is unknown.

    Ids of earlier releases do not state the uptime. A step of the VM's clock while the
    daemon ran does not change the result.

    >>> crash_time_ms("vm-1/1767225600000/1/2500")
    1767225602500
    """
    parts = crash_id.rsplit("/", _N_TIME_PARTS)[1:]
    are_numbers = all(part.isdecimal() and len(part) <= _N_DIGITS_MAX for part in parts)
    if len(parts) < _N_TIME_PARTS or not are_numbers:
        return None
    start_id, _, uptime_ms = map(int, parts)
    return start_id + uptime_ms


__all__ = ["crash_time_ms", "is_crash_seen_by", "make_crash_id"]
