"""Announcements that may arrive late, twice or from an earlier start."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from pepperstair_core.events import Event
from pepperstair_core.members import Target

from .registry import TargetRegistry

log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a target says of itself, and where it stands among its words.

    `start_ms` is when the target was started, in Unix milliseconds, `sequence`
    rises with each announcement since.
    """

    target: Target
    start_ms: int
    sequence: int


class OrderedAnnouncements:
    """Takes the announcements for the one target of a VM in their true order.

    An announcement can be held up for seconds. By then its sender may have
    crashed and another target may have started at its address; a call sent to
    the earlier one would reach the wrong process, or nobody.
    """

    def __init__(self, registry: TargetRegistry, now_ms: Callable[[], int]) -> None:
        self._registry = registry
        self._now_ms = now_ms
        self._newest: Announcement | None = None
        self._has_left = False

    def take(self, announcement: Announcement) -> bool:
        """Take an announcement, and return whether it changed or renewed anything."""
        target = announcement.target
        if not self._is_newer(announcement):
            log.info(
                Event.ANNOUNCEMENT_IGNORED,
                target=target.name,
                cause="older than what is known",
                sequence=announcement.sequence,
            )
            return False
        newest = self._newest
        if newest is not None and newest.target.name != target.name:
            self._registry.leave(newest.target.name)
        self._newest = announcement
        self._has_left = False
        self._registry.announce(target, self._now_ms())
        return True

    def leave(self, name: str) -> bool:
        """Take the farewell of a target; that of an earlier one changes nothing."""
        newest = self._newest
        if newest is None or newest.target.name != name:
            return False
        self._has_left = True
        return self._registry.leave(name)

    def _is_newer(self, announcement: Announcement) -> bool:
        newest = self._newest
        if newest is None:
            return True
        if announcement.start_ms != newest.start_ms:
            return announcement.start_ms > newest.start_ms
        if announcement.target.name != newest.target.name:
            return True
        if self._has_left:
            return False
        return announcement.sequence > newest.sequence


__all__ = ["Announcement", "OrderedAnnouncements"]
