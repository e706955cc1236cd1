"""Naive membership: every member sends its whole view to every other member."""

from __future__ import annotations

from pepperstair_core.members import Member


class NaiveMember:
    """Keeps the highest record of each VM that it has received."""

    def __init__(self, own: Member) -> None:
        self.vm = own.vm
        self.view = {own.vm: own}

    def publish(self, member: Member) -> None:
        """Replace the member's own record."""
        self.view[self.vm] = member

    def merge(self, view: dict[str, Member]) -> None:
        """Merge the view of another member."""
        for vm, member in view.items():
            known = self.view.get(vm)
            if known is None or known.sequence < member.sequence:
                self.view[vm] = member


def exchange_all(members: list[NaiveMember]) -> None:
    """Let every member send its whole view to every other one."""
    for sender in members:
        for receiver in members:
            receiver.merge(dict(sender.view))


__all__ = ["NaiveMember", "exchange_all"]
