"""Member rows in the platform's table: who reads them, which are deleted.

The rows serve discovery only. Every daemon writes its own every few minutes and
reads all when it joins; after that one daemon of each zone reads them, so that
what the platform carries grows with the zones and not with the daemons.
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
    """How to reach a daemon, as its row says it."""

    vm: str
    peer_address: str
    written_ms: int


class RowSweep:
    """Counts how often in a row each member row was read unchanged."""

    def __init__(self) -> None:
        self._n_unchanged: dict[MemberRow, int] = {}

    def iter_stale_vms(
        self, directory: MemberDirectory, rows: Iterable[MemberRow]
    ) -> Iterator[str]:
        """Yield the VMs whose rows nobody writes any more and nobody needs."""
        counts = {row: self._n_unchanged.get(row, 0) + 1 for row in rows}
        self._n_unchanged = counts
        for row, n_unchanged in counts.items():
            member = directory.get(row.vm)
            is_usable = member is not None and member.is_usable
            if n_unchanged >= N_SWEEPS_UNTIL_DELETED and not is_usable:
                yield row.vm


def is_sweeper(own: Member, members: Iterable[Member]) -> bool:
    """Return whether this daemon reads the rows for its availability zone."""
    zone = own.availability_zone
    names = [
        member.vm
        for member in members
        if member.state is MemberState.ALIVE and member.availability_zone == zone
    ]
    return highest(f"member-rows/{zone}", names, 1) == [own.vm]


__all__ = ["N_SWEEPS_UNTIL_DELETED", "MemberRow", "RowSweep", "is_sweeper"]
