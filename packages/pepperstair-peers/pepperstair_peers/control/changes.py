"""Telling people of changes in the membership."""

from __future__ import annotations

from typing import Final

import structlog

from pepperstair_core.decisions import Decision, DecisionKind, DecisionLog
from pepperstair_core.events import Event
from pepperstair_core.members import Member, MemberState
from pepperstair_core.membership import MemberChanged

log = structlog.get_logger(__name__)

_DOUBTS: Final = {
    MemberState.SUSPECT: DecisionKind.SUSPECTED,
    MemberState.GONE: DecisionKind.GONE,
}


def note_change(decisions: DecisionLog, change: MemberChanged, now_ms: int) -> None:
    """Log a change of state or incarnation, and keep the doubts for `explain`."""
    before, member = change.before, change.member
    if before is not None and _standing(before) == _standing(member):
        return
    log.info(
        Event.MEMBER_CHANGED,
        member=member.vm,
        state=member.state.name.lower(),
        incarnation=member.incarnation,
    )
    kind = _DOUBTS.get(member.state)
    if kind is None and before is not None and before.state in _DOUBTS:
        kind = DecisionKind.REFUTED
    if kind is not None:
        cause = f"{member.state.name.lower()} in incarnation {member.incarnation}"
        decisions.add(Decision(now_ms, kind, member.vm, cause))


def _standing(member: Member) -> tuple[int, MemberState]:
    return member.incarnation, member.state


__all__ = ["note_change"]
