"""Announcements that may arrive late, twice or from an earlier start."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import structlog

from pepperstair_core.events import Event
from pepperstair_core.members import Target

from .registry import TargetRegistry

log = structlog.get_logger(__name__)

# One target lives beside a daemon at a time; a held-up word of the last dozens
# of them is more than ever comes.
N_FAREWELLS_MAX: Final = 64


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

    def __init__(
        self,
        registry: TargetRegistry,
        now_ms: Callable[[], int],
        wall_ms: Callable[[], int],
    ) -> None:
        self._registry = registry
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._newest: Announcement | None = None
        # Names that said farewell, each with the latest start that it holds for.
        self._farewells_ms: dict[str, int] = {}

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
        self._registry.announce(target, self._now_ms())
        return True

    def leave(self, name: str) -> bool:
        """Take the farewell of a target; that of an earlier one changes nothing.

        It is remembered also where the target is not known: after a restart of
        this daemon it may be the first that is heard of it, and what the target
        said before can still arrive.
        """
        newest = self._newest
        is_newest = newest is not None and newest.target.name == name
        self._farewells_ms.pop(name, None)
        self._farewells_ms[name] = newest.start_ms if is_newest else self._wall_ms()
        if len(self._farewells_ms) > N_FAREWELLS_MAX:
            del self._farewells_ms[next(iter(self._farewells_ms))]
        return is_newest and self._registry.leave(name)

    def _is_newer(self, announcement: Announcement) -> bool:
        name = announcement.target.name
        if announcement.start_ms <= self._farewells_ms.get(name, -1):
            return False
        newest = self._newest
        if newest is None:
            return True
        if announcement.start_ms != newest.start_ms:
            return announcement.start_ms > newest.start_ms
        if name != newest.target.name:
            return True
        return announcement.sequence > newest.sequence


__all__ = ["Announcement", "OrderedAnnouncements"]
