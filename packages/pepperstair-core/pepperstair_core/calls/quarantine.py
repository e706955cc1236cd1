"""Which requests have crashed the targets that ran them, and are kept from others.

A request that makes its target end does the same to the next one that runs it. Each
daemon counts, by fingerprint, the crashes at which a request was running anywhere in
the fleet. Records merge to the same result in whatever order they arrive.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import Enum
from typing import Final

from msgspec import Struct

from ..array_record import ArrayRecord
from ..errors import ErrorKind, Failure, RunStatus

# Crashes after which a request is kept from every target.
N_CRASHES_MAX: Final = 3
# From this many on it runs beside no other suspect, so that the next crash tells
# which of them it was.
N_CRASHES_ISOLATED: Final = 2
# How long a request is kept away; doubled with each crash that follows.
QUARANTINE_MS: Final = 600_000
QUARANTINE_MAX_MS: Final = 86_400_000
# How long crashes count that are too few for that.
RECORD_KEPT_MS: Final = 600_000
N_TRACKED_MAX: Final = 1024
# More crashes of one request change nothing, and records have to fit frames.
N_CRASH_IDS_MAX: Final = 16


class CrashRecord(ArrayRecord):
    """The crashes at which a request was running.

    `cleared_ids` are those crashes that it can't have caused, as a target has answered
    such a request since.
    """

    fingerprint: bytes
    crash_ids: tuple[str, ...]
    cleared_ids: tuple[str, ...] = ()

    @property
    def is_open(self) -> bool:
        """Return whether there is a crash that the request may have caused."""
        return not set(self.crash_ids) <= set(self.cleared_ids)


class TrustLevel(Enum):
    """How a request may be run."""

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
    """The requests under suspicion.

    >>> quarantine = Quarantine()
    >>> for crash_id in ("vm-1/1", "vm-2/1", "vm-3/1"):
    ...     charged = quarantine.record_crash([b"poison"], crash_id, now_ms=0)
    >>> quarantine.trust_level(b"poison", now_ms=0)
    <Standing.QUARANTINED: 'quarantined'>
    """

    def __init__(self, n_tracked_max: int = N_TRACKED_MAX) -> None:
        self._n_tracked_max = n_tracked_max
        self._records: dict[bytes, _Record] = {}

    def trust_level(self, fingerprint: bytes, now_ms: float) -> TrustLevel:
        """Return how a request may be run now."""
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
        """Return the failure of a quarantined request, None for any other one.

        It says when such a request may run again.
        """
        if self.trust_level(fingerprint, now_ms) is not TrustLevel.QUARANTINED:
            return None
        record = self._records[fingerprint]
        until_ms = record.crashed_ms + _quarantine_ms(record.n_crashes)
        left_ms = max(0, int(until_ms - now_ms))
        return Failure(ErrorKind.QUARANTINED, fingerprint.hex(), left_ms, RunStatus.NO)

    def n_quarantined(self, now_ms: float) -> int:
        """Return how many requests are kept from all targets."""
        return sum(
            self.trust_level(fingerprint, now_ms) is TrustLevel.QUARANTINED
            for fingerprint in self._records
        )

    def record_crash(
        self, running: Iterable[bytes], crash_id: str, now_ms: float
    ) -> tuple[CrashRecord, ...]:
        """Take the crash of a target that was running some requests.

        Only those that stood at the most crashes before are charged: they explain this
        one, and what ran beside them is not to become a suspect for that.
        """
        running = set(running)
        if not running:
            return ()
        counts = {found: self._n_crashes(found, now_ms) for found in running}
        most = max(counts.values())
        charged = tuple(
            CrashRecord(found, (crash_id,)) for found in counts if counts[found] == most
        )
        for record in charged:
            self.merge(record, now_ms)
        return tuple(self.get(record.fingerprint) for record in charged)

    def record_answer(self, fingerprint: bytes) -> CrashRecord | None:
        """Take that a request was answered, and return its record if that is news."""
        record = self._records.get(fingerprint)
        if record is None or not record.n_crashes:
            return None
        record.cleared_ids |= record.crash_ids
        return self.get(fingerprint)

    def merge(self, told: CrashRecord, now_ms: float) -> bool:
        """Take what another daemon knows, and return whether it was news."""
        record = self._records.get(told.fingerprint)
        if record is None:
            self._make_room(now_ms)
            record = _Record(set(), set(), now_ms)
            self._records[told.fingerprint] = record
        elif self._is_old(record, now_ms):
            record.cleared_ids |= record.crash_ids
        if len(record.crash_ids) >= N_CRASH_IDS_MAX and not record.n_crashes:
            record.crash_ids.clear()
            record.cleared_ids.clear()
        n_crashes, n_known = record.n_crashes, len(record.crash_ids)
        n_cleared = len(record.cleared_ids)
        record.cleared_ids |= set(told.cleared_ids)
        if n_known < N_CRASH_IDS_MAX:
            record.crash_ids |= set(told.crash_ids)
        if record.n_crashes > n_crashes:
            record.crashed_ms = now_ms
        return (n_known, n_cleared) != (len(record.crash_ids), len(record.cleared_ids))

    def records(self) -> Iterator[CrashRecord]:
        """Yield every record, for a daemon that may know none of them."""
        for fingerprint in self._records:
            yield self.get(fingerprint)

    def __contains__(self, fingerprint: bytes) -> bool:
        return fingerprint in self._records

    def get(self, fingerprint: bytes) -> CrashRecord:
        """Return all that is known of a request under suspicion."""
        record = self._records[fingerprint]
        crash_ids, cleared_ids = sorted(record.crash_ids), sorted(record.cleared_ids)
        return CrashRecord(fingerprint, tuple(crash_ids), tuple(cleared_ids))

    def _n_crashes(self, fingerprint: bytes, now_ms: float) -> int:
        record = self._records.get(fingerprint)
        if record is None:
            return 0
        return 0 if self._is_old(record, now_ms) else record.n_crashes

    def _is_old(self, record: _Record, now_ms: float) -> bool:
        """Return whether the crashes are too few and too long ago to mean anything."""
        is_quarantined = record.n_crashes >= N_CRASHES_MAX
        return not is_quarantined and now_ms >= record.crashed_ms + RECORD_KEPT_MS

    def _make_room(self, now_ms: float) -> None:
        """Forget the oldest record, one that keeps nothing from targets if there is."""
        if len(self._records) < self._n_tracked_max:
            return
        self._records.pop(
            min(
                self._records,
                key=lambda found: (
                    self.trust_level(found, now_ms) is TrustLevel.QUARANTINED,
                    self._records[found].crashed_ms,
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
