"""Targets beside the daemon: announcements, leases and calls."""

from __future__ import annotations

from .announcements import handle_announcement
from .registry import TargetRegistry
from .runner import TargetRunner

__all__ = ["TargetRegistry", "TargetRunner", "handle_announcement"]
