"""Formats times, durations and percentages for text output."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Final

_MS_PER_UNIT: Final = (
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("min", 60_000),
    ("s", 1000),
)


def format_time(at_ms: int) -> str:
    """Return a Unix time in milliseconds as a date and time in UTC."""
    utc_time = datetime.fromtimestamp(at_ms / 1000, UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%S")


def format_duration(duration_ms: int) -> str:
    """Return a duration in the largest unit that is not longer than the duration.

    >>> format_duration(5400_000)
    '1.5 h'
    """
    for unit, n_ms in _MS_PER_UNIT:
        if duration_ms >= n_ms:
            return f"{round(duration_ms / n_ms, 1):g} {unit}"
    return f"{duration_ms} ms"


def format_percent(share: float | None) -> str:
    """Return a percentage with three decimals, or a dash for None."""
    return "-" if share is None else f"{share:.3f}%"


__all__ = ["format_duration", "format_percent", "format_time"]
