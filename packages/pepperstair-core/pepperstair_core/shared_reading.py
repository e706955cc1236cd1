"""When a daemon reads a table that the whole fleet follows.

All daemons compute the same order of readers from the members. The first few watch the
table all the time. Each answer confirms that a version was the newest at that moment,
and the daemons pass this confirmation on to each other. A daemon whose last one is too
old reads for itself, those early in the order first, so that mostly one read replaces a
watch that hangs. Nobody is elected: daemons that see other members read a little more
often than needed, and never too seldom.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable
from random import Random
from typing import Final

from .members import Member, MemberState
from .rendezvous import weight

# Daemons that watch the table all the time.
N_WATCHERS: Final = 2
# The watches of the first one end after this share of the time in which a version has
# to be in force: all others go by their answers.
CONFIRMED_SHARE: Final = 0.45
# Those of the others last up to this: they bring a version where the first one hangs.
LONG_WATCH_MS: Final = 10_000.0
# The age of a confirmation at which the first of the other readers reads, and at which
# the last ones do, as shares of the time in which a version has to be in force.
FIRST_READ_SHARE: Final = 0.6
LAST_READ_SHARE: Final = 0.7
LAST_READ_SPREAD_SHARE: Final = 0.1
# How much later each next reader reads: about the time of a read and of its way
# through the fleet.
READER_STEP_MS: Final = 100.0
# A daemon that starts waits so long for a neighbour's copy before it reads; of those
# that start together one reads first.
START_MIN_MS: Final = 100.0
START_SPREAD_MS: Final = 250.0
# A daemon that has just started does not know all members, and so not its place.
JOINING_MS: Final = 1_000.0
# A daemon whose read failed leaves watching to others for so long.
FAILED_READER_MS: Final = 5_000.0
# How much newer a confirmation must be to be passed on, as a share of the age at which
# the first of the other readers reads.
NEWER_SHARE: Final = 0.25
# With the table away, this many daemons try it at the usual pace, and all others so
# many times more seldom: they hear of its return from those.
N_RETRYING: Final = 8
RETRY_FACTOR: Final = 3.0


class ReadSchedule:
    """When this daemon reads the table next, from what it has heard and read.

    `bound_ms` is the time in which a version has to be in force everywhere, and
    `read_ms` what the VM's link takes for a large document: a daemon that starts
    leaves the first read to those with wider links for so long. Times are
    in milliseconds of one clock that never goes back, and `place` is the number of
    daemons that come before this one in the order of readers.

    >>> schedule = ReadSchedule(2000.0, 0.0, Random(1))
    >>> schedule.confirm(5000.0)
    True
    >>> schedule.due_ms(N_WATCHERS, 5000.0)
    6200.0
    >>> schedule.due_ms(0, 5000.0)
    5000.0
    """

    def __init__(
        self, bound_ms: float, start_ms: float, rng: Random, read_ms: float = 0.0
    ) -> None:
        self._rng = rng
        self._read_ms = read_ms
        self._start_ms = start_ms
        self._first_ms = start_ms + START_MIN_MS + rng.random() * START_SPREAD_MS
        self._last_read_share = LAST_READ_SHARE + rng.random() * LAST_READ_SPREAD_SHARE
        self._failed_ms = -math.inf
        self.bound_ms = bound_ms
        self.confirmed_ms = -math.inf

    @property
    def max_age_ms(self) -> float:
        """Return the age of a confirmation at which the next reader reads."""
        return FIRST_READ_SHARE * self.bound_ms

    @property
    def is_confirmed(self) -> bool:
        """Return whether the version in force was ever known to be the newest."""
        return self.confirmed_ms != -math.inf

    def confirm(self, as_of_ms: float) -> bool:
        """Take that the version in force was the newest at a moment.

        Return whether it is enough newer than the last confirmation to be passed on.
        """
        newer_ms = as_of_ms - self.confirmed_ms
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)
        return newer_ms > NEWER_SHARE * self.max_age_ms

    def record_read_failure(self, now_ms: float) -> None:
        """Take note that an own read has failed."""
        self._failed_ms = now_ms

    def is_watcher(self, place: int, now_ms: float) -> bool:
        """Return whether this daemon watches the table all the time."""
        if now_ms - self._start_ms < JOINING_MS:
            return False
        return place < N_WATCHERS and now_ms - self._failed_ms >= FAILED_READER_MS

    def due_ms(self, place: int, now_ms: float) -> float:
        """Return when to read next if nothing is confirmed until then."""
        if not self.is_confirmed:
            return self._first_ms + (self._read_ms if place >= N_WATCHERS else 0.0)
        if self.is_watcher(place, now_ms):
            return now_ms
        steps_ms = max(0, place - N_WATCHERS) * READER_STEP_MS
        in_order_ms = self.max_age_ms + steps_ms
        last_ms = self._last_read_share * self.bound_ms
        if now_ms - self._failed_ms < FAILED_READER_MS:
            in_order_ms = last_ms
        return self.confirmed_ms + min(in_order_ms, last_ms)

    def backoff_factor(self, place: int) -> float:
        """Return how much longer than usual to wait after failed reads."""
        return 1.0 if place < N_RETRYING else RETRY_FACTOR

    def watch_ms(self, place: int, now_ms: float) -> int:
        """Return how long the next watch of a watcher lasts.

        After a rest, or a confirmation of somebody else, that of the first one ends
        when the next confirmation is due.
        """
        if place == 0:
            due_ms = self.confirmed_ms + CONFIRMED_SHARE * self.bound_ms
            return max(0, int(due_ms - now_ms))
        return int(LONG_WATCH_MS * self._rng.uniform(0.6, 1.0))


def reader_rank(own: Member, members: Iterable[Member], key: str) -> int:
    """Return how many living members come before this one in the order of readers.

    Those with the widest links come first: on a narrow one the document takes longer
    than the whole way through the fleet.
    """
    own_rank = _rank(own, key)
    return sum(
        _rank(member, key) > own_rank
        for member in members
        if member.state is MemberState.ALIVE and member.vm != own.vm
    )


def _rank(member: Member, key: str) -> tuple[float, int]:
    """Return the rank of a reader; links count as alike up to twice the pace."""
    pace = math.floor(math.log2(member.link_mbps)) if member.link_mbps else math.inf
    return pace, _weight(key, member.vm)


@functools.lru_cache(maxsize=4_096)
def _weight(key: str, name: str) -> int:
    return weight(key, name)


__all__ = ["N_WATCHERS", "ReadSchedule", "reader_rank"]
