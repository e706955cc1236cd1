"""Targets that the daemon at their address does not know."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final

from msgspec import Struct

from ..members import Member
from .target_group import TargetKey

# Maximum number of absent targets that are remembered.
N_REMEMBERED_MAX: Final = 1_000
# Time for which a target is left out after the first refusal. Each refusal after the
# end of that time doubles it.
ABSENCE_BASE_MS: Final = 1_000.0
ABSENCE_MAX_MS: Final = 30_000.0


class _Absence(Struct, frozen=True):
    """An absent target, with the record of its VM's daemon at that time."""

    member: Member
    period_ms: float
    until_ms: float


class AbsentTargets:
    """The targets of member records that have turned out to be outdated.

    The daemon at the address of a target refuses a call because it has no such target:
    the target has gone, or its VM has, and another VM has taken over the address. All
    further calls would be refused in the same way, until the record of the VM changes.

    The record need not change: the refusal may have overtaken the record that lists the
    target again, or the daemon may have refused by mistake. An absence therefore ends
    after some time too, and the next call shows whether the target is back. The refusal
    of a call that was sent before the record changed says nothing about the record.
    """

    def __init__(self) -> None:
        self._absences: dict[TargetKey, _Absence] = {}
        # Maps each VM to its record and the time at which it was received.
        self._records: dict[str, tuple[Member, float]] = {}

    def update_members(self, members: Iterable[Member], now_ms: float) -> None:
        """Record when the records of members have changed."""
        known = self._records
        self._records = {
            member.vm: (
                known[member.vm]
                if member.vm in known and _is_same(known[member.vm][0], member)
                else (member, now_ms)
            )
            for member in members
        }

    def add(
        self, key: TargetKey, member: Member, sent_ms: float, now_ms: float
    ) -> bool:
        """Record that a target is absent, and return whether this is new.

        `member` is the current record of the daemon on the target's VM, and `sent_ms`
        is when the refused call was sent.
        """
        record, changed_ms = self._records.get(member.vm, (member, -math.inf))
        if sent_ms < changed_ms or not _is_same(record, member):
            return False
        period_ms = ABSENCE_BASE_MS
        known = self._absences.pop(key, None)
        if known is not None and _is_same(known.member, member):
            if sent_ms < known.until_ms:
                self._absences[key] = known
                return False
            period_ms = min(ABSENCE_MAX_MS, 2 * known.period_ms)
        self._absences[key] = _Absence(member, period_ms, now_ms + period_ms)
        if len(self._absences) > N_REMEMBERED_MAX:
            del self._absences[next(iter(self._absences))]
        return True

    def excluded(
        self, member_of: Callable[[str], Member | None], now_ms: float
    ) -> frozenset[TargetKey]:
        """Return the targets that are absent although their record names them.

        A suspicion or its refutation alone says nothing about the targets.
        """
        self._absences = {
            key: absence
            for key, absence in self._absences.items()
            if (member := member_of(key[0])) is not None
            and _is_same(absence.member, member)
        }
        return frozenset(
            key for key, absence in self._absences.items() if now_ms < absence.until_ms
        )

    def next_end_ms(self, now_ms: float) -> float:
        """Return when the next absence ends by time, infinity if there is none."""
        ends_ms = (absence.until_ms for absence in self._absences.values())
        return min((end_ms for end_ms in ends_ms if end_ms > now_ms), default=math.inf)


def _is_same(known: Member, member: Member) -> bool:
    """Return whether two records of a daemon list the same targets."""
    return (known.incarnation, known.sequence) == (member.incarnation, member.sequence)


__all__ = ["ABSENCE_BASE_MS", "ABSENCE_MAX_MS", "N_REMEMBERED_MAX", "AbsentTargets"]
