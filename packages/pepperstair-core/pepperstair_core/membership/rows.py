"""Member rows in the platform's table: which daemon reads and deletes them.

The rows are used for discovery only. Every daemon writes its own row every few
minutes and reads all rows when it joins. After that one daemon per zone reads them,
so the read load on the platform grows with the number of zones and not of daemons.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

from msgspec import Struct

from ..members import Member, MemberState
from ..rendezvous import highest
from .directory import MemberDirectory

N_SWEEPS_UNTIL_DELETED: Final = 10


class MemberRow(Struct, frozen=True):
    """The address of a daemon as stored in its row."""

    vm: str
    peer_address: str
    written_ms: int


class RowSweep:
    """Counts the consecutive reads in which each member row was unchanged."""

    def __init__(self) -> None:
        self._n_unchanged: dict[MemberRow, int] = {}

    def iter_stale_vms(
        self, directory: MemberDirectory, rows: Iterable[MemberRow]
    ) -> Iterator[str]:
        """Yield the VMs whose rows are no longer written and may be deleted.

        A row may be deleted once it was unchanged in `N_SWEEPS_UNTIL_DELETED`
        consecutive reads, unless its member is still usable.
        """
        counts = {row: self._n_unchanged.get(row, 0) + 1 for row in rows}
        self._n_unchanged = counts
        for row, n_unchanged in counts.items():
            member = directory.get(row.vm)
            is_usable = member is not None and member.is_usable
            if n_unchanged >= N_SWEEPS_UNTIL_DELETED and not is_usable:
                yield row.vm


def is_sweeper(own: Member, members: Iterable[Member]) -> bool:
    """Return whether this daemon reads the rows on behalf of its zone."""
    zone = own.availability_zone
    names = [
        member.vm
        for member in members
        if member.state is MemberState.ALIVE and member.availability_zone == zone
    ]
    return highest(f"member-rows/{zone}", names, 1) == [own.vm]


__all__ = ["N_SWEEPS_UNTIL_DELETED", "MemberRow", "RowSweep", "is_sweeper"]
