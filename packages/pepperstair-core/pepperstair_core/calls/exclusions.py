"""The targets that get no calls although the records of members list them."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from ..members import Member
from .absent_targets import AbsentTargets
from .leaving_targets import LeavingTargets
from .record_times import RecordTimes
from .target_group import TargetKey


class TargetExclusions:
    """The targets that are excluded from the endpoints, as absent or leaving.

    An exclusion may end by time, without any event. Once `is_due` is true, `excluded`
    has to be called again: otherwise a target would stay excluded until a member
    changes.
    """

    def __init__(self) -> None:
        self._leaving = LeavingTargets()
        self._absent = AbsentTargets()
        self._record_times = RecordTimes()
        self._due_ms = math.inf

    def update_members(self, members: Iterable[Member], now_ms: float) -> None:
        """Record the current records of all members."""
        self._record_times.update(members, now_ms)

    def add_leaving(self, key: TargetKey, member: Member, now_ms: float) -> bool:
        """Exclude a target that states that it is leaving; return whether this is new.

        `member` is the current record of the daemon on the target's VM.
        """
        return self._leaving.add(key, member, now_ms)

    def add_absent(
        self, key: TargetKey, member: Member, sent_ms: float, now_ms: float
    ) -> bool:
        """Exclude a target whose daemon does not know it; return whether this is new.

        `member` is the current record of that daemon, and `sent_ms` is when the call
        was sent that it has refused. Nothing is excluded if the record has changed
        since: it may have been published after the refusal, which arrived later.
        """
        if not self._record_times.is_current_since(member, sent_ms):
            return False
        return self._absent.add(key, member, sent_ms, now_ms)

    def excluded(
        self, member_of: Callable[[str], Member | None], now_ms: float
    ) -> frozenset[TargetKey]:
        """Return the excluded targets; `member_of` returns the record of a VM."""
        leaving = self._leaving.excluded(member_of, now_ms)
        absent = self._absent.excluded(member_of, now_ms)
        self._due_ms = min(
            self._leaving.next_end_ms(), self._absent.next_end_ms(now_ms)
        )
        return leaving | absent

    def is_due(self, now_ms: float) -> bool:
        """Return whether an exclusion has ended since the last call of `excluded`."""
        return now_ms >= self._due_ms


__all__ = ["TargetExclusions"]
