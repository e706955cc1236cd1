"""When the records of members were received."""

from __future__ import annotations

from collections.abc import Iterable

from ..members import Member


def is_same_record(known: Member, member: Member) -> bool:
    """Return whether a daemon published two records as one.

    A suspicion, which others declare, does not make another record of it.
    """
    return (known.incarnation, known.sequence) == (member.incarnation, member.sequence)


class RecordTimes:
    """The current record of each member, and when it replaced the one before.

    What was learnt from an earlier record, such as the refusal of a call that was sent
    by it, says nothing about the current one.
    """

    def __init__(self) -> None:
        self._records: dict[str, tuple[Member, float]] = {}

    def update(self, members: Iterable[Member], now_ms: float) -> None:
        """Record the members, of which those with a changed record are dated now."""
        self._records = {
            member.vm: self._with_time(member, now_ms) for member in members
        }

    def is_current_since(self, member: Member, since_ms: float) -> bool:
        """Return whether a record was the current one at a time and still is.

        The record of an unknown member counts as current.
        """
        record, changed_ms = self._records.get(member.vm, (member, since_ms))
        return is_same_record(record, member) and changed_ms <= since_ms

    def _with_time(self, member: Member, now_ms: float) -> tuple[Member, float]:
        known = self._records.get(member.vm)
        if known is not None and is_same_record(known[0], member):
            return known
        return member, now_ms


__all__ = ["RecordTimes", "is_same_record"]
