"""Targets that the daemon at their address does not know."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..members import Member
from .target_group import TargetKey

# Maximum number of absent targets that are remembered.
N_REMEMBERED_MAX: Final = 1_000


class AbsentTargets:
    """The targets of member records that have turned out to be outdated.

    The daemon at the address of a target refuses a call because it has no such target:
    the target has gone, or its VM has, and another VM has taken over the address. Until
    the record of the VM changes, all further calls would be refused in the same way.
    """

    def __init__(self) -> None:
        self._records: dict[TargetKey, Member] = {}

    def add(self, key: TargetKey, member: Member) -> bool:
        """Record that a target is absent, and return whether this is new.

        `member` is the current record of the daemon on the target's VM.
        """
        known = self._records.get(key)
        if known is not None and known.rank >= member.rank:
            return False
        self._records[key] = member
        if len(self._records) > N_REMEMBERED_MAX:
            del self._records[next(iter(self._records))]
        return True

    def excluded(
        self, member_of: Callable[[str], Member | None]
    ) -> frozenset[TargetKey]:
        """Return the targets that are absent although their record names them.

        A suspicion or its refutation alone says nothing about the targets.
        """
        self._records = {
            key: record
            for key, record in self._records.items()
            if (member := member_of(key[0])) is not None
            and (member.incarnation, member.sequence)
            == (record.incarnation, record.sequence)
        }
        return frozenset(self._records)


__all__ = ["N_REMEMBERED_MAX", "AbsentTargets"]
