"""Targets that have stated in an answer that they are leaving."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

from msgspec import Struct

from ..members import Member
from .target_group import TargetKey

# Time for which a leaving target is remembered, in milliseconds. A target exits some
# seconds, at most tens of seconds, after it has stated that it is leaving.
REMEMBERED_MS: Final = 60_000
# Maximum number of leaving targets that are remembered.
N_REMEMBERED_MAX: Final = 1_000


class _Statement(Struct, frozen=True):
    """A statement of a target, and the record of its VM's daemon at that time."""

    member: Member
    stated_ms: float

    def is_outdated_by(self, member: Member) -> bool:
        """Return whether the daemon knew of the statement when it made a record."""
        known = self.member
        is_same_process = member.incarnation == known.incarnation
        return is_same_process and member.sequence > known.sequence


class LeavingTargets:
    """The targets that, by the answers relayed by this daemon, are leaving.

    The daemon on a target's VM reads the answer first and withdraws the target. If a
    later record of the same process announces the target, the target has started again.
    A record of a restarted process proves nothing, as its memory of the answer is lost.
    """

    def __init__(self) -> None:
        self._statements: dict[TargetKey, _Statement] = {}

    def add(self, key: TargetKey, member: Member, now_ms: float) -> bool:
        """Record that a target is leaving, and return whether this is new.

        `member` is the current record of the daemon on the target's VM.
        """
        known = self._statements.get(key)
        if known is not None and not known.is_outdated_by(member):
            return False
        self._statements[key] = _Statement(member, now_ms)
        if len(self._statements) > N_REMEMBERED_MAX:
            del self._statements[next(iter(self._statements))]
        return True

    def excluded(
        self, member_of: Callable[[str], Member | None], now_ms: float
    ) -> frozenset[TargetKey]:
        """Return the targets that are leaving although their daemon announces them."""
        self._statements = {
            key: statement
            for key, statement in self._statements.items()
            if now_ms - statement.stated_ms < REMEMBERED_MS
        }
        return frozenset(
            key
            for key, statement in self._statements.items()
            if (member := member_of(key[0])) is not None
            and not statement.is_outdated_by(member)
        )

    def next_end_ms(self) -> float:
        """Return when the next statement is forgotten, infinity if there is none."""
        stated_ms = (statement.stated_ms for statement in self._statements.values())
        return min(stated_ms, default=math.inf) + REMEMBERED_MS


__all__ = ["N_REMEMBERED_MAX", "REMEMBERED_MS", "LeavingTargets"]
