"""The log line and the decision for a target that is excluded."""

from __future__ import annotations

import structlog

from pepperstair_core.decisions import DecisionKind, DecisionLog
from pepperstair_core.events import Event
from pepperstair_core.members import Member, Target

log = structlog.get_logger(__name__)


def report_absent(target: Target, member: Member, decisions: DecisionLog) -> None:
    """Report a target that the daemon at its address does not know.

    `member` is the record that lists the target.
    """
    log.info(
        Event.TARGET_ABSENT,
        target=target.name,
        member=member.vm,
        incarnation=member.incarnation,
        sequence=member.sequence,
    )
    decisions.record(
        DecisionKind.ABSENT,
        target.name,
        f"the daemon at the address of {member.vm} does not know it",
        (("sequence", float(member.sequence)),),
    )


__all__ = ["report_absent"]
