"""What one daemon knows of the members of the fleet."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ..members import Member, newer_member


class MemberDirectory:
    """The newest record of each member, the own one among them."""

    def __init__(self, own: Member) -> None:
        self._own_vm = own.vm
        self._members: dict[str, Member] = {own.vm: own}

    def own(self) -> Member:
        """Return this daemon's own record."""
        return self._members[self._own_vm]

    def put_own(self, member: Member) -> None:
        """Replace this daemon's own record."""
        self._members[self._own_vm] = member

    def members(self) -> tuple[Member, ...]:
        """Return every record."""
        return tuple(self._members.values())

    def get(self, vm: str) -> Member | None:
        """Return the record of a VM, if one is known."""
        return self._members.get(vm)

    def merge(self, heard: Iterable[Member]) -> Iterator[Member]:
        """Take the records that are newer than the known ones and yield them.

        Only the owner writes its own record: what others say of this daemon is
        left out here.
        """
        for member in heard:
            if member.vm == self._own_vm:
                continue
            if newer_member(self._members.get(member.vm), member):
                self._members[member.vm] = member
                yield member


__all__ = ["MemberDirectory"]
