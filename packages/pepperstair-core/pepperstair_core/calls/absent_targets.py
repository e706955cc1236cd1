"""Targets that the daemon at their address does not know."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

from msgspec import Struct

from ..members import Member
from .record_times import is_same_record
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

    The record may never change, for example if the daemon refused the call by mistake.
    An absence therefore also ends after some time, and the next call shows whether the
    target is back.
    """

    def __init__(self) -> None:
        self._absences: dict[TargetKey, _Absence] = {}

    def add(
        self, key: TargetKey, member: Member, sent_ms: float, now_ms: float
    ) -> bool:
        """Record that a target is absent, and return whether this is new.

        `member` is the record of the daemon on the target's VM by which the refused
        call was sent, and `sent_ms` is when it was sent.
        """
        known = self._absences.get(key)
        if known is None or not is_same_record(known.member, member):
            period_ms = ABSENCE_BASE_MS
        elif sent_ms < known.until_ms:
            return False
        else:
            period_ms = min(ABSENCE_MAX_MS, 2 * known.period_ms)
        self._absences.pop(key, None)
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
            and is_same_record(absence.member, member)
        }
        return frozenset(
            key for key, absence in self._absences.items() if now_ms < absence.until_ms
        )

    def next_end_ms(self, now_ms: float) -> float:
        """Return when the next absence ends by time, infinity if there is none."""
        ends_ms = (absence.until_ms for absence in self._absences.values())
        return min((end_ms for end_ms in ends_ms if end_ms > now_ms), default=math.inf)


__all__ = ["ABSENCE_BASE_MS", "ABSENCE_MAX_MS", "N_REMEMBERED_MAX", "AbsentTargets"]
