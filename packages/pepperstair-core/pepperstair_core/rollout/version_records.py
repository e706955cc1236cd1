"""What ended orders have decided on the versions of services."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from .records import OrderEnd, Phase, RolloutState, VersionRecord

# Bounds on the records of one service, which are kept in one row.
N_RECORDS_MAX: Final = 32
N_TEXT_BYTES_MAX: Final = 8_192

_NO_ENDS: Final[Mapping[str, OrderEnd]] = {}
_ENDS: Final = {
    Phase.COMPLETED: OrderEnd.COMPLETED,
    Phase.ROLLED_BACK: OrderEnd.ROLLED_BACK,
}


class VersionRecords:
    """The last decision on each version of each service.

    A later order replaces what an earlier one decided on a version, and an agreed end
    replaces an unknown one of the same order. Thus daemons that merge the same records
    in any order know the same. The oldest records are dropped beyond `N_RECORDS_MAX`.

    >>> records = VersionRecords()
    >>> records.merge("ledger", [VersionRecord("v2", 5, OrderEnd.ROLLED_BACK)])
    True
    >>> records.ends("ledger")
    {'v2': <OrderEnd.ROLLED_BACK: 1>}
    """

    def __init__(self) -> None:
        self._by_service: dict[str, tuple[VersionRecord, ...]] = {}
        # Computed when records change: the ends are read on each change of a member.
        self._ends: dict[str, Mapping[str, OrderEnd]] = {}

    def merge(self, service: str, records: Iterable[VersionRecord]) -> bool:
        """Add records and return whether any of them was new and is kept."""
        known = self.all(service)
        merged = merge_records(known, records)
        if merged == known:
            return False
        self._by_service[service] = merged
        self._ends[service] = _compute_ends(merged)
        return True

    def all(self, service: str) -> tuple[VersionRecord, ...]:
        """Return the records of a service, the latest first."""
        return self._by_service.get(service, ())

    def ends(self, service: str) -> Mapping[str, OrderEnd]:
        """Return the end by version; at most one version is the completed one."""
        return self._ends.get(service, _NO_ENDS)


def merge_records(
    known: Iterable[VersionRecord], records: Iterable[VersionRecord]
) -> tuple[VersionRecord, ...]:
    """Return the last records of each version that fit the bounds, the latest first."""
    latest: dict[str, VersionRecord] = {}
    for record in (*known, *records):
        latest[record.version] = max(
            record, latest.get(record.version, record), key=_rank
        )
    return tuple(_iter_bounded(latest))


def record_end(state: RolloutState, *, is_suspended: bool = False) -> VersionRecord:
    """Return the record of a state's order, which has ended or was replaced.

    A daemon that considers the version bad while the order is replaced keeps to that.
    """
    unknown = OrderEnd.ROLLED_BACK if is_suspended else OrderEnd.REPLACED
    end = _ENDS.get(state.phase, unknown)
    return VersionRecord(state.order.target_version, state.order.number, end)


def record_superseded(
    state: RolloutState, versions: Iterable[str]
) -> Iterator[VersionRecord]:
    """Yield the records of the versions that a completed order has replaced."""
    for version in versions:
        if version != state.order.target_version:
            yield VersionRecord(version, state.order.number, OrderEnd.SUPERSEDED)


def _compute_ends(records: tuple[VersionRecord, ...]) -> dict[str, OrderEnd]:
    ends = {record.version: record.end for record in reversed(records)}
    completed = [item for item in ends if ends[item] is OrderEnd.COMPLETED]
    return ends | dict.fromkeys(completed[:-1], OrderEnd.SUPERSEDED)


def _rank(record: VersionRecord) -> tuple[int, OrderEnd]:
    return record.number, record.end


def _iter_bounded(latest: Mapping[str, VersionRecord]) -> Iterator[VersionRecord]:
    """Yield the latest records that fit the bounds, the latest first."""
    by_version = sorted(latest.values(), key=lambda record: record.version)
    n_left, n_bytes_left = N_RECORDS_MAX, N_TEXT_BYTES_MAX
    for record in sorted(by_version, key=_rank, reverse=True):
        n_bytes = len(record.version.encode())
        if n_left and n_bytes <= n_bytes_left:
            n_left -= 1
            n_bytes_left -= n_bytes
            yield record


__all__ = [
    "N_RECORDS_MAX",
    "N_TEXT_BYTES_MAX",
    "VersionRecords",
    "merge_records",
    "record_end",
    "record_superseded",
]
