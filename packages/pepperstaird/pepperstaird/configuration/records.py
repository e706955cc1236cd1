"""Records of the versions that this daemon has put in force."""

from __future__ import annotations

from collections import deque
from typing import Final

import structlog
from msgspec import Struct
from msgspec.structs import replace

from pepperstair_core.versions import Head

log = structlog.get_logger(__name__)

N_RECORDS_MAX: Final = 50


class VersionRecord(Struct, frozen=True):
    """One version, its origin and the time when it went in force on this daemon.

    `learnt_from` is the VM of the neighbour that sent the version, this VM if this
    daemon accepted the change, or `platform`. `in_force_at_ms` is in Unix milliseconds.
    `convergence_ms` is known on the daemon that accepted the change, and on those that
    received a request to wait for the version.
    """

    head: Head
    learnt_from: str
    in_force_at_ms: int
    convergence_ms: int | None = None


class VersionRecords:
    """The newest `N_RECORDS_MAX` versions of each customer, oldest first."""

    def __init__(self) -> None:
        self._records: dict[str, deque[VersionRecord]] = {}

    def add(self, record: VersionRecord) -> None:
        """Record a version that went in force."""
        records = self._records.setdefault(
            record.head.customer, deque(maxlen=N_RECORDS_MAX)
        )
        records.append(record)

    def record_convergence(
        self, customer: str, version: int, convergence_ms: int
    ) -> None:
        """Record how long a version took until it was in force everywhere."""
        records = self._records.get(customer, deque())
        for index, record in enumerate(records):
            if record.head.version == version:
                records[index] = replace(record, convergence_ms=convergence_ms)

    def of_customer(self, customer: str) -> tuple[VersionRecord, ...]:
        """Return a customer's versions, oldest first."""
        return tuple(self._records.get(customer, ()))

    def find(self, customer: str, version: int) -> VersionRecord | None:
        """Return the record of one version, None if there is none."""
        matches = (r for r in self.of_customer(customer) if r.head.version == version)
        return next(matches, None)

    def find_change(self, customer: str, change_id: str) -> VersionRecord | None:
        """Return the record of the version that a change created, None if unknown."""
        matches = (
            r for r in self.of_customer(customer) if r.head.change_id == change_id
        )
        return next(matches, None)


__all__ = ["N_RECORDS_MAX", "VersionRecord", "VersionRecords"]
