"""Quarantine of poison requests, which crash the targets that run them.

A request that crashes its target also crashes the next target that runs it. Each daemon
counts, by fingerprint, the crashes anywhere in the fleet during which a request was
running. Merging records gives the same result in whatever order they arrive.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Final

from msgspec import Struct

from ..array_record import ArrayRecord
from ..errors import ErrorKind, Failure, RunStatus

# Number of crashes after which a request is quarantined from every target.
N_CRASHES_MAX: Final = 3
# Number of crashes after which a request no longer runs concurrently with other
# suspects on a target, so that the next crash identifies the request that caused it.
N_CRASHES_ISOLATED: Final = 2
# Duration of the first quarantine of a request. Each further crash doubles it.
QUARANTINE_MS: Final = 600_000
QUARANTINE_MAX_MS: Final = 86_400_000
# Time after the last crash of a request for which its crashes are remembered if they
# are fewer than a quarantine requires.
RECORD_KEPT_MS: Final = 600_000
N_TRACKED_MAX: Final = 1024
# Maximum number of crash ids in the record of a request, so that records fit into
# frames. Further crashes change nothing, because the quarantine reaches its maximum
# duration with the 11th crash.
N_CRASH_IDS_MAX: Final = 16


class CrashRecord(ArrayRecord):
    """The crashes during which a request was running.

    `cleared_ids` are the crashes that the request can't have caused, because a target
    has answered a request with the same fingerprint since.
    """

    fingerprint: bytes
    crash_ids: tuple[str, ...]
    cleared_ids: tuple[str, ...] = ()

    @property
    def is_open(self) -> bool:
        """Return whether the request may have caused any of the crashes."""
        return not set(self.crash_ids) <= set(self.cleared_ids)


class TrustLevel(Enum):
    """Whether a request may run without restriction, in isolation or not at all."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class _Record(Struct):
    crash_ids: set[str]
    cleared_ids: set[str]
    crashed_ms: float

    @property
    def n_crashes(self) -> int:
        return len(self.crash_ids - self.cleared_ids)


class Quarantine:
    """The requests that are suspected of crashing targets.

    >>> quarantine = Quarantine()
    >>> for crash_id in ("vm-1/1", "vm-2/1", "vm-3/1"):
    ...     charged = quarantine.record_crash([b"poison"], crash_id, now_ms=0)
    >>> quarantine.trust_level(b"poison", now_ms=0)
    <TrustLevel.QUARANTINED: 'quarantined'>
    """

    def __init__(self, n_tracked_max: int = N_TRACKED_MAX) -> None:
        self._n_tracked_max = n_tracked_max
        self._records: dict[bytes, _Record] = {}

    def trust_level(self, fingerprint: bytes, now_ms: float) -> TrustLevel:
        """Return whether and how a request may run now."""
        record = self._records.get(fingerprint)
        if record is None:
            return TrustLevel.TRUSTED
        n_crashes = self._n_crashes(fingerprint, now_ms)
        if n_crashes < N_CRASHES_ISOLATED:
            return TrustLevel.TRUSTED
        if now_ms < record.crashed_ms + _quarantine_ms(n_crashes):
            return TrustLevel.QUARANTINED
        return TrustLevel.SUSPECT

    def refusal(self, fingerprint: bytes, now_ms: float) -> Failure | None:
        """Return the failure of a quarantined request, or None for any other request.

        The failure states when such a request may run again.
        """
        if self.trust_level(fingerprint, now_ms) is not TrustLevel.QUARANTINED:
            return None
        record = self._records[fingerprint]
        until_ms = record.crashed_ms + _quarantine_ms(record.n_crashes)
        left_ms = max(0, int(until_ms - now_ms))
        return Failure(ErrorKind.QUARANTINED, fingerprint.hex(), left_ms, RunStatus.NO)

    def n_quarantined(self, now_ms: float) -> int:
        """Return the number of quarantined requests."""
        return sum(
            self.trust_level(fingerprint, now_ms) is TrustLevel.QUARANTINED
            for fingerprint in self._records
        )

    def record_crash(
        self, running: Iterable[bytes], crash_id: str, now_ms: float
    ) -> tuple[CrashRecord, ...]:
        """Record the crash of a target and return the records of the charged requests.

        Only the running requests with the most earlier crashes are charged: they
        explain this crash, and requests that ran concurrently must not become suspects.
        """
        running = set(running)
        if not running:
            return ()
        counts = {
            fingerprint: self._n_crashes(fingerprint, now_ms) for fingerprint in running
        }
        highest_count = max(counts.values())
        charged = tuple(
            CrashRecord(fingerprint, (crash_id,))
            for fingerprint in counts
            if counts[fingerprint] == highest_count
        )
        for record in charged:
            self.merge(record, now_ms)
        return tuple(self.get(record.fingerprint) for record in charged)

    def record_answer(self, fingerprint: bytes) -> CrashRecord | None:
        """Record that a request was answered; return its record if this changed it."""
        record = self._records.get(fingerprint)
        if record is None or not record.n_crashes:
            return None
        record.cleared_ids |= record.crash_ids
        return self.get(fingerprint)

    def merge(
        self, received: CrashRecord, now_ms: float, crashed_ms: float | None = None
    ) -> bool:
        """Merge a record of another daemon and return whether it changed anything.

        `crashed_ms` is the time of the record's last crash, by default `now_ms`.
        """
        crashed_ms = now_ms if crashed_ms is None else min(crashed_ms, now_ms)
        record = self._records.get(received.fingerprint)
        if record is None:
            self._evict_if_full(now_ms)
            record = _Record(set(), set(), crashed_ms)
            self._records[received.fingerprint] = record
        elif self._is_expired(record, now_ms):
            record.cleared_ids |= record.crash_ids
        if len(record.crash_ids) >= N_CRASH_IDS_MAX and not record.n_crashes:
            record.crash_ids.clear()
            record.cleared_ids.clear()
        n_crashes, n_known = record.n_crashes, len(record.crash_ids)
        n_cleared = len(record.cleared_ids)
        record.cleared_ids |= set(received.cleared_ids)
        if n_known < N_CRASH_IDS_MAX:
            record.crash_ids |= set(received.crash_ids)
        if record.n_crashes > n_crashes:
            record.crashed_ms = max(record.crashed_ms, crashed_ms)
        return (n_known, n_cleared) != (len(record.crash_ids), len(record.cleared_ids))

    def records(self) -> Iterator[CrashRecord]:
        """Yield every record, to send them to a daemon that may lack them."""
        for fingerprint in self._records:
            yield self.get(fingerprint)

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._records

    def get(self, fingerprint: bytes) -> CrashRecord:
        """Return the record of a tracked request."""
        record = self._records[fingerprint]
        crash_ids, cleared_ids = sorted(record.crash_ids), sorted(record.cleared_ids)
        return CrashRecord(fingerprint, tuple(crash_ids), tuple(cleared_ids))

    def _n_crashes(self, fingerprint: bytes, now_ms: float) -> int:
        record = self._records.get(fingerprint)
        if record is None:
            return 0
        return 0 if self._is_expired(record, now_ms) else record.n_crashes

    def _is_expired(self, record: _Record, now_ms: float) -> bool:
        """Return whether the crashes are too old to count.

        The crashes of a request that has enough of them for a quarantine count until
        they are cleared, however old they are.
        """
        is_quarantined = record.n_crashes >= N_CRASHES_MAX
        return not is_quarantined and now_ms >= record.crashed_ms + RECORD_KEPT_MS

    def _evict_if_full(self, now_ms: float) -> None:
        """Evict one record if the limit on tracked requests is reached.

        The record whose last crash is the oldest is evicted; records of quarantined
        requests are evicted only if there are no others.
        """
        if len(self._records) < self._n_tracked_max:
            return
        self._records.pop(
            min(
                self._records,
                key=lambda fingerprint: (
                    self.trust_level(fingerprint, now_ms) is TrustLevel.QUARANTINED,
                    self._records[fingerprint].crashed_ms,
                ),
            )
        )


def _quarantine_ms(n_crashes: int) -> float:
    if n_crashes < N_CRASHES_MAX:
        return 0.0
    return min(QUARANTINE_MAX_MS, QUARANTINE_MS * 2.0 ** (n_crashes - N_CRASHES_MAX))


__all__ = [
    "N_CRASH_IDS_MAX",
    "N_CRASHES_ISOLATED",
    "N_CRASHES_MAX",
    "QUARANTINE_MAX_MS",
    "QUARANTINE_MS",
    "RECORD_KEPT_MS",
    "CrashRecord",
    "Quarantine",
    "TrustLevel",
]
