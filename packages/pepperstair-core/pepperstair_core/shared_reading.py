"""Scheduling of reads of a table that the whole fleet follows.

All daemons compute the same ranking of readers from the member list. The first
`N_WATCHERS` watch the table continuously. Each answer confirms that a version was the
newest at that moment, and the daemons forward this confirmation to each other. Daemons
whose last confirmation is too old read the table themselves, in the order of the
ranking, so that a single read usually replaces the missing answer of a watch that
hangs. There is no election: daemons whose member lists differ read slightly more often
than needed, and never too rarely.

All times are shares of the bound within which a version has to be in force everywhere;
docs/design/version-budget.md adds them up.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable
from random import Random
from typing import Final

from .members import Member, MemberState
from .rendezvous import weight

# Number of daemons that watch the table continuously.
N_WATCHERS: Final = 2
# Age of the last confirmation, as a share of `bound_ms`, at which the first watcher's
# watch ends and is answered. The answer contains a new confirmation, on which all other
# daemons rely.
FIRST_WATCH_SHARE: Final = 0.15
# Maximum duration of a watch of the watchers other than the first one. They deliver a
# version if the watch of the first watcher hangs.
STANDBY_WATCH_MS: Final = 10_000.0
# Ages of the last confirmation at which daemons other than the watchers read, as shares
# of `bound_ms`. The first of these daemons reads at `FIRST_READ_SHARE`; the last ones
# read at `LAST_READ_SHARE` plus a random part of `LAST_READ_SPREAD_SHARE`.
FIRST_READ_SHARE: Final = 0.25
LAST_READ_SHARE: Final = 0.5
LAST_READ_SPREAD_SHARE: Final = 0.1
# Delay between the reads of daemons with consecutive ranks, as a share of `bound_ms`. A
# read that finds no change, and the propagation of its result, take about this time.
READER_STEP_SHARE: Final = 0.04
# Time after which a pull that was not answered is sent to another neighbour, as a share
# of `bound_ms`.
PULL_RETRY_SHARE: Final = 0.1
# Time for which a daemon on a slow link leaves a version that was announced to the
# copies of its neighbours, as a share of `bound_ms`.
COPY_WAIT_SHARE: Final = 0.4
# Delay before the first read of a starting daemon, which may receive a neighbour's copy
# during the delay. The random part lets one of the daemons that start together read
# before the others.
START_DELAY_MIN_MS: Final = 100.0
START_DELAY_SPREAD_MS: Final = 250.0
# Time after which a starting daemon is expected to know all members, and so its rank.
MEMBERSHIP_SETTLE_MS: Final = 1_000.0
# Time after a failed read during which a daemon is not a watcher and leaves the
# watching to others, unless another read succeeds.
READ_FAILURE_HOLDOFF_MS: Final = 5_000.0
# A confirmation is forwarded only if it is newer than the previous confirmation by more
# than this share of `max_age_ms`.
FORWARD_SHARE: Final = 0.25
# While the table is unavailable, `N_FAST_RETRIERS` daemons retry at the usual interval.
# All other daemons retry at `SLOW_RETRY_FACTOR` times this interval, because the fast
# retriers notify them once the table is available again.
N_FAST_RETRIERS: Final = 8
SLOW_RETRY_FACTOR: Final = 3.0


class ReadSchedule:
    """Computes when this daemon next reads the table, from confirmations and failures.

    `bound_ms` is the time within which a version has to be in force everywhere.
    `read_ms` is the transfer time of a large document on the VM's link: a starting
    daemon that is not among the first `N_WATCHERS` delays its first read by this time,
    so that daemons with faster links read first. Times are milliseconds of one
    monotonic clock. `rank` is the number of daemons ranked before this one as readers.

    >>> schedule = ReadSchedule(2000.0, 0.0, Random(1))
    >>> schedule.confirm(5000.0)
    True
    >>> schedule.due_ms(N_WATCHERS, 5000.0)
    5500.0
    >>> schedule.due_ms(0, 5000.0)
    5000.0
    """

    def __init__(
        self, bound_ms: float, start_ms: float, rng: Random, read_ms: float = 0.0
    ) -> None:
        self._rng = rng
        self.read_ms = read_ms
        self._start_ms = start_ms
        self._first_read_ms = (
            start_ms + START_DELAY_MIN_MS + rng.random() * START_DELAY_SPREAD_MS
        )
        self._last_read_share = LAST_READ_SHARE + rng.random() * LAST_READ_SPREAD_SHARE
        self._read_failed_ms = -math.inf
        self.bound_ms = bound_ms
        self.confirmed_ms = -math.inf

    @property
    def max_age_ms(self) -> float:
        """Return the age of a confirmation at which another daemon reads the table.

        The reader is the first daemon in the ranking that does not watch the table.
        """
        return FIRST_READ_SHARE * self.bound_ms

    @property
    def pull_retry_ms(self) -> float:
        """Return the time after which an unanswered pull is sent elsewhere."""
        return PULL_RETRY_SHARE * self.bound_ms

    @property
    def copy_wait_ms(self) -> float:
        """Return for how long a slow link waits for an announced version's copy."""
        return COPY_WAIT_SHARE * self.bound_ms

    @property
    def is_confirmed(self) -> bool:
        """Return whether the version in force was ever confirmed as the newest."""
        return self.confirmed_ms != -math.inf

    def confirm(self, as_of_ms: float) -> bool:
        """Record that the version in force was the newest at `as_of_ms`.

        `as_of_ms` must not be later than the moment at which that was true: every
        daemon's next read counts from it.

        Return whether `as_of_ms` is so much later than the last confirmation that the
        new one is worth forwarding.
        """
        newer_ms = as_of_ms - self.confirmed_ms
        self.confirmed_ms = max(self.confirmed_ms, as_of_ms)
        return newer_ms > FORWARD_SHARE * self.max_age_ms

    def record_read_failure(self, now_ms: float) -> None:
        """Record that a read of this daemon has failed."""
        self._read_failed_ms = now_ms

    def record_read_success(self) -> None:
        """Record that a read of this daemon was answered."""
        self._read_failed_ms = -math.inf

    def is_watcher(self, rank: int, now_ms: float) -> bool:
        """Return whether this daemon watches the table continuously."""
        if now_ms - self._start_ms < MEMBERSHIP_SETTLE_MS:
            return False
        return (
            rank < N_WATCHERS
            and now_ms - self._read_failed_ms >= READ_FAILURE_HOLDOFF_MS
        )

    def due_ms(self, rank: int, now_ms: float) -> float:
        """Return the time of the next read if no confirmation arrives before then."""
        if not self.is_confirmed:
            return self._first_read_ms + (self.read_ms if rank >= N_WATCHERS else 0.0)
        if self.is_watcher(rank, now_ms):
            return now_ms
        steps_share = max(0, rank - N_WATCHERS) * READER_STEP_SHARE
        read_share = min(FIRST_READ_SHARE + steps_share, self._last_read_share)
        return self.confirmed_ms + read_share * self.bound_ms

    def backoff_factor(self, rank: int) -> float:
        """Return the factor for the retry interval after failed reads."""
        return 1.0 if rank < N_FAST_RETRIERS else SLOW_RETRY_FACTOR

    def watch_ms(self, rank: int, now_ms: float) -> int:
        """Return the duration of a watcher's next watch.

        A watch of the first watcher ends when the next confirmation is due, even if the
        watch starts after a pause or after a confirmation by another daemon.
        """
        if rank == 0:
            due_ms = self.confirmed_ms + FIRST_WATCH_SHARE * self.bound_ms
            return max(0, int(due_ms - now_ms))
        return int(STANDBY_WATCH_MS * self._rng.uniform(0.6, 1.0))


def reader_rank(own: Member, members: Iterable[Member], key: str) -> int:
    """Return how many live members are ranked before this one as readers.

    Members with the fastest links come first: on a slow link the transfer of the
    document takes longer than its propagation through the fleet.
    """
    own_sort_key = _sort_key(own, key)
    return sum(
        _sort_key(member, key) > own_sort_key
        for member in members
        if member.state is MemberState.ALIVE and member.vm != own.vm
    )


def _sort_key(member: Member, key: str) -> tuple[float, int]:
    """Return the sort key of a reader.

    The link class is the binary logarithm of the bandwidth, rounded down, so that links
    of similar speed, up to a factor of two, count as equal. A link of unknown bandwidth
    counts as the fastest.
    """
    link_class = (
        math.floor(math.log2(member.link_mbps)) if member.link_mbps else math.inf
    )
    return link_class, _cached_weight(key, member.vm)


@functools.lru_cache(maxsize=4_096)
def _cached_weight(key: str, name: str) -> int:
    return weight(key, name)


__all__ = ["N_WATCHERS", "ReadSchedule", "reader_rank"]
