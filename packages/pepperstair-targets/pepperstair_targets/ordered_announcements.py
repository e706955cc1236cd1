"""Order announcements that may be delayed, duplicated or from an earlier start."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

import structlog
from msgspec import Struct

from pepperstair_core.events import Event
from pepperstair_core.members import Target, TargetState

from .registry import TargetRegistry

log = structlog.get_logger(__name__)

# Maximum number of departures that are remembered. A VM runs only one target at a time,
# so the announcements still in transit come from a few of its most recent targets, far
# fewer than 64.
N_DEPARTURES_MAX: Final = 64
# Maximum delay of an announcement in transit. The platform states that announcements
# may be delayed by seconds.
ANNOUNCEMENT_DELAY_MAX_MS: Final = 30_000
# Sequence number of the departure of a deregistered target. All announcements from the
# same start of the target have lower sequence numbers and are therefore ignored.
LAST_SEQUENCE: Final = 2**63 - 1


class Announcement(Struct, frozen=True):
    """An announced target, with the start time and sequence that order announcements.

    `start_ms` is when the target was started, in Unix milliseconds, or 0 if the target
    does not report it. `sequence` increases with each announcement since the start.
    """

    target: Target
    start_ms: int
    sequence: int

    @property
    def order_key(self) -> tuple[int, int]:
        """Return the sort key of the announcements of one target."""
        return self.start_ms, self.sequence


class Departure(Struct, frozen=True):
    """The departure of a target, recorded at `recorded_ms` in Unix milliseconds.

    Announcements of the target that do not follow `start_ms` and `sequence` in the
    order of announcements are ignored.
    """

    name: str
    start_ms: int
    sequence: int
    recorded_ms: int

    @property
    def order_key(self) -> tuple[int, int]:
        """Return the sort key of the last announcement that is ignored."""
        return self.start_ms, self.sequence


class OrderedAnnouncements:
    """Applies the announcements of a VM's only target in the order they were sent.

    An announcement can be delayed by seconds. By then its sender may have crashed and
    another target may have started at its address. If the announcement were applied, a
    call to the earlier target would reach the wrong process, or none.

    If targets don't report when they started, an announcement with another name or a
    restarted sequence is accepted as the announcement of a new target only if no
    announcement of the known target has arrived for `silent_ms`. The name of a
    deregistered target is accepted again after `ANNOUNCEMENT_DELAY_MAX_MS`.

    If the clock of the VM is set back, the next target reports an earlier start than
    the known one. Its announcements are accepted once `ANNOUNCEMENT_DELAY_MAX_MS` have
    passed since the last announcement or the departure of the known target: by then,
    no announcement of a target that really started earlier is still in transit.
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
        # Maps each target to the time at which this process recorded its departure.
        self._departure_seen_ms: dict[str, int] = {}

    def accept(self, announcement: Announcement) -> bool:
        """Apply an announcement unless it is outdated.

        Return whether the announcement was applied.
        """
        target = announcement.target
        if not self._is_newer(announcement):
            log.info(
                Event.ANNOUNCEMENT_IGNORED,
                target=target.name,
                cause="not proven newer than an earlier announcement or departure",
                sequence=announcement.sequence,
            )
            return False
        newest = self._newest
        if newest is not None and _is_other_start(newest, announcement):
            self._registry.deregister(newest.target.name)
        self._newest = announcement
        self._newest_seen_ms = self._now_ms()
        if target.state is TargetState.DRAINING:
            self._record_departure(target.name, *announcement.order_key)
        self._registry.announce(target, self._newest_seen_ms)
        return True

    def deregister(self, name: str, start_ms: int = 0) -> bool:
        """Deregister a target and return whether it was registered.

        `start_ms` is the start that the target states, 0 if it states none. The
        deregistration of an earlier target, or of an earlier start of the same target,
        has no effect on the current one. Every deregistration is recorded, even if the
        target is unknown: after a restart of this daemon, it may be the first message
        received from the target, and announcements that the target sent earlier may
        still arrive.
        """
        newest = self._newest
        is_newest = newest is not None and newest.target.name == name
        if is_newest and start_ms and start_ms != newest.start_ms:
            is_newest = False
        known_ms = newest.start_ms if is_newest else self._wall_ms()
        self._record_departure(name, start_ms or known_ms, LAST_SEQUENCE)
        return is_newest and self._registry.deregister(name)

    def departures(self) -> tuple[Departure, ...]:
        """Return the departures, the most recent one last."""
        return tuple(self._departures.values())

    def restore(self, departures: Iterable[Departure]) -> None:
        """Add the departures that an earlier process of this daemon acknowledged."""
        for departure in departures:
            known = self._departures.get(departure.name)
            if known is None or known.order_key < departure.order_key:
                self._put_departure(departure)

    def _record_departure(self, name: str, start_ms: int, sequence: int) -> None:
        departure = Departure(name, start_ms, sequence, self._wall_ms())
        known = self._departures.pop(name, None)
        if known is not None and self._outranks(known, departure):
            self._departures[name] = known
        else:
            self._put_departure(departure)
        if len(self._departures) > N_DEPARTURES_MAX:
            oldest = next(iter(self._departures))
            del self._departures[oldest], self._departure_seen_ms[oldest]

    def _put_departure(self, departure: Departure) -> None:
        self._departures[departure.name] = departure
        self._departure_seen_ms[departure.name] = self._now_ms()

    def _outranks(self, known: Departure, departure: Departure) -> bool:
        """Return whether the known departure of a target replaces another one.

        A departure that seems to be earlier is either a delayed message, or that of a
        target that started after the clock was set back.
        """
        if known.order_key <= departure.order_key:
            return False
        is_same_start = known.start_ms == departure.start_ms
        return is_same_start or not self._is_transit_over(known)

    def _is_newer(self, announcement: Announcement) -> bool:
        name = announcement.target.name
        if self._has_departed(announcement):
            return False
        newest = self._newest
        if newest is None:
            return True
        if announcement.start_ms > newest.start_ms:
            return True
        if announcement.start_ms < newest.start_ms:
            silence_ms = self._now_ms() - self._newest_seen_ms
            return silence_ms >= ANNOUNCEMENT_DELAY_MAX_MS
        if name == newest.target.name and announcement.sequence > newest.sequence:
            return True
        is_other = name != newest.target.name or not announcement.start_ms
        return is_other and self._is_gone(newest)

    def _has_departed(self, announcement: Announcement) -> bool:
        """Return whether the target sent its departure after this announcement.

        A target that has departed never returns without another start. Announcements
        with another start are rejected only while delayed ones may be in transit.
        """
        departure = self._departures.get(announcement.target.name)
        if departure is None or announcement.order_key > departure.order_key:
            return False
        start_ms = announcement.start_ms
        is_same_start = bool(start_ms) and start_ms == departure.start_ms
        return is_same_start or not self._is_transit_over(departure)

    def _is_transit_over(self, departure: Departure) -> bool:
        """Return whether no announcement from before a departure is in transit.

        The wall clock covers the time before this process started, but it may have been
        set back since the departure.
        """
        wall_age_ms = self._wall_ms() - departure.recorded_ms
        age_ms = self._now_ms() - self._departure_seen_ms[departure.name]
        return max(age_ms, wall_age_ms) >= ANNOUNCEMENT_DELAY_MAX_MS

    def _is_gone(self, newest: Announcement) -> bool:
        """Return whether the current target has deregistered or presumably crashed.

        Without this check, a delayed announcement of an earlier target would replace
        the running target, which refuses all calls that are addressed to the earlier
        target.
        """
        departure = self._departures.get(newest.target.name)
        if departure is not None and departure.order_key >= (
            newest.start_ms,
            LAST_SEQUENCE,
        ):
            return True
        return self._now_ms() - self._newest_seen_ms >= self._silent_ms


def _is_other_start(known: Announcement, announcement: Announcement) -> bool:
    """Return whether an announcement is of another start than the known one.

    A target that starts again under its name knows nothing of its earlier start, so
    nothing that was learned about that one may be applied to it.
    """
    is_same_name = known.target.name == announcement.target.name
    return not is_same_name or known.start_ms != announcement.start_ms


__all__ = [
    "ANNOUNCEMENT_DELAY_MAX_MS",
    "LAST_SEQUENCE",
    "Announcement",
    "Departure",
    "OrderedAnnouncements",
]
