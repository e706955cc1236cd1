"""Targets beside the daemon: announcements, leases and calls."""

from __future__ import annotations

from .announcements import handle_announcement
from .ordered_announcements import (
    HELD_UP_MAX_MS,
    LAST_SEQUENCE,
    Announcement,
    Departure,
    OrderedAnnouncements,
)
from .registry import TargetRegistry
from .runner import TargetRunner
from .target_call import TargetOptions

__all__ = [
    "HELD_UP_MAX_MS",
    "LAST_SEQUENCE",
    "Announcement",
    "Departure",
    "OrderedAnnouncements",
    "TargetOptions",
    "TargetRegistry",
    "TargetRunner",
    "handle_announcement",
]
