"""Logs membership changes and records the reasons for `explain`."""

from __future__ import annotations

from typing import Final

import structlog

from pepperstair_core.decisions import DecisionKind, DecisionLog
from pepperstair_core.events import Event
from pepperstair_core.members import Member, MemberState
from pepperstair_core.membership import MemberChanged

log = structlog.get_logger(__name__)

_DECISIONS_BY_STATE: Final = {
    MemberState.SUSPECT: DecisionKind.SUSPECTED,
    MemberState.GONE: DecisionKind.GONE,
}


def record_change(decisions: DecisionLog, change: MemberChanged) -> None:
    """Log a change of state or incarnation and record suspicions for `explain`.

    A decision is recorded when a member becomes suspected or gone, and when it
    refutes either of these states.
    """
    before, member = change.before, change.member
    if before is not None and _status_of(before) == _status_of(member):
        return
    log.info(
        Event.MEMBER_CHANGED,
        member=member.vm,
        state=member.state.name.lower(),
        incarnation=member.incarnation,
    )
    kind = _DECISIONS_BY_STATE.get(member.state)
    if kind is None and before is not None and before.state in _DECISIONS_BY_STATE:
        kind = DecisionKind.REFUTED
    if kind is not None:
        cause = f"{member.state.name.lower()} in incarnation {member.incarnation}"
        decisions.record(kind, member.vm, cause)


def _status_of(member: Member) -> tuple[int, MemberState]:
    return member.incarnation, member.state


__all__ = ["record_change"]
