"""Announcements that may arrive late, twice or from an earlier start."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

import structlog
from msgspec import Struct

from pepperstair_core.events import Event
from pepperstair_core.members import Target, TargetState

from .registry import TargetRegistry

log = structlog.get_logger(__name__)

# One target lives beside a daemon at a time; a delayed announcement of the last
# dozens of them is more than ever comes.
N_DEPARTURES_MAX: Final = 64
# How long an announcement may be delayed on its way; the platform speaks of seconds.
HELD_UP_MAX_MS: Final = 30_000
# Stands for the last of all sequence numbers: nothing of that start counts any more.
LAST_SEQUENCE: Final = 2**63 - 1


class Announcement(Struct, frozen=True):
    """What a target says of itself, and its place among its announcements.

    `start_ms` is when the target was started, in Unix milliseconds, 0 where that
    is not told; `sequence` rises with each announcement since.
    """

    target: Target
    start_ms: int
    sequence: int

    @property
    def place(self) -> tuple[int, int]:
        """Return what orders the announcements of one target."""
        return self.start_ms, self.sequence


class Departure(Struct, frozen=True):
    """That a target leaves, said at `recorded_ms` in Unix milliseconds.

    Its announcements up to this start and sequence count no more.
    """

    name: str
    start_ms: int
    sequence: int
    recorded_ms: int

    @property
    def place(self) -> tuple[int, int]:
        """Return the place of the last announcement that counts no more."""
        return self.start_ms, self.sequence


class OrderedAnnouncements:
    """Takes the announcements for the one target of a VM in their true order.

    An announcement can be held up for seconds. By then its sender may have
    crashed and another target may have started at its address; a call sent to
    the earlier one would reach the wrong process, or nobody.

    Where targets don't tell when they started, another name, or a count that
    begins anew, is taken for the next target only after the one that is known was
    silent for `silent_ms`, and a name that deregistered may come back after
    `HELD_UP_MAX_MS`.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        now_ms: Callable[[], int],
        wall_ms: Callable[[], int],
        silent_ms: int = 0,
    ) -> None:
        self._registry = registry
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._silent_ms = silent_ms
        self._newest: Announcement | None = None
        self._newest_seen_ms = 0
        self._departures: dict[str, Departure] = {}

    def accept(self, announcement: Announcement) -> bool:
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
            self._registry.deregister(newest.target.name)
        self._newest = announcement
        self._newest_seen_ms = self._now_ms()
        if target.state is TargetState.DRAINING:
            self._note_departure(target.name, *announcement.place)
        self._registry.announce(target, self._newest_seen_ms)
        return True

    def deregister(self, name: str) -> bool:
        """Take the deregistration of a target; that of an earlier one changes nothing.

        It is remembered also where the target is not known: after a restart of
        this daemon it may be the first that is heard of it, and what the target
        said before can still arrive.
        """
        newest = self._newest
        is_newest = newest is not None and newest.target.name == name
        start_ms = newest.start_ms if is_newest else self._wall_ms()
        self._note_departure(name, start_ms, LAST_SEQUENCE)
        return is_newest and self._registry.deregister(name)

    def departures(self) -> tuple[Departure, ...]:
        """Return who has said that it leaves, the last one last."""
        return tuple(self._departures.values())

    def restore(self, departures: Iterable[Departure]) -> None:
        """Take what an earlier process of this daemon has acknowledged."""
        for departure in departures:
            known = self._departures.get(departure.name)
            if known is None or known.place < departure.place:
                self._departures[departure.name] = departure

    def _note_departure(self, name: str, start_ms: int, sequence: int) -> None:
        known = self._departures.pop(name, None)
        departure = Departure(name, start_ms, sequence, self._wall_ms())
        if known is not None and known.place > departure.place:
            departure = known
        self._departures[name] = departure
        if len(self._departures) > N_DEPARTURES_MAX:
            del self._departures[next(iter(self._departures))]

    def _is_newer(self, announcement: Announcement) -> bool:
        name = announcement.target.name
        if self._has_departed(announcement):
            return False
        newest = self._newest
        if newest is None:
            return True
        if announcement.start_ms != newest.start_ms:
            return announcement.start_ms > newest.start_ms
        if name == newest.target.name and announcement.sequence > newest.sequence:
            return True
        is_other = name != newest.target.name or not announcement.start_ms
        return is_other and self._has_ended(newest)

    def _has_departed(self, announcement: Announcement) -> bool:
        """Return whether its sender has said that it leaves, after saying this."""
        departure = self._departures.get(announcement.target.name)
        if departure is None or announcement.place > departure.place:
            return False
        age_ms = self._wall_ms() - departure.recorded_ms
        return bool(announcement.start_ms) or age_ms < HELD_UP_MAX_MS

    def _has_ended(self, newest: Announcement) -> bool:
        """Return whether the target of now has left, or seems to have crashed.

        A delayed announcement of an earlier target would else put that in the place
        of the one that lives, which refuses all calls that are meant for the other.
        """
        departure = self._departures.get(newest.target.name)
        if departure is not None and departure.sequence == LAST_SEQUENCE:
            return True
        return self._now_ms() - self._newest_seen_ms >= self._silent_ms


__all__ = [
    "HELD_UP_MAX_MS",
    "LAST_SEQUENCE",
    "Announcement",
    "Departure",
    "OrderedAnnouncements",
]
