"""Times and shares as people read them."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Final

_MS_PER_UNIT: Final = (
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("min", 60_000),
    ("s", 1000),
)


def show_time(at_ms: int) -> str:
    """Return a wall clock time in UTC."""
    shown = datetime.fromtimestamp(at_ms / 1000, UTC)
    return shown.strftime("%Y-%m-%d %H:%M:%S")


def show_duration(duration_ms: int) -> str:
    """Return a duration in its largest whole unit.

    >>> show_duration(5400_000)
    '1.5 h'
    """
    for unit, n_ms in _MS_PER_UNIT:
        if duration_ms >= n_ms:
            return f"{round(duration_ms / n_ms, 1):g} {unit}"
    return f"{duration_ms} ms"


def show_percent(share: float | None) -> str:
    """Return a share in percent, a dash where there is none."""
    return "-" if share is None else f"{share:.3f}%"


__all__ = ["show_duration", "show_percent", "show_time"]
