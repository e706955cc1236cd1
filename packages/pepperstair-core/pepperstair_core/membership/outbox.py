"""Member records on their way to neighbours."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from ..members import Member
from ..wire.control import MemberUpdate
from .actions import Send

UPDATE_MAX_RECORDS: Final = 32
UPDATE_MAX_TARGETS: Final = 128
FLUSH_MAX_RECORDS: Final = 256


class MemberOutbox:
    """The newest record of each member that each neighbour still has to get.

    Each change goes to a neighbour once, however many others told of it in the
    meantime. Sending in small rounds bounds how much a herd that joins at once
    can ask of this daemon: what does not fit waits here, where it takes no more
    than one reference a member and neighbour.
    """

    def __init__(self) -> None:
        self._pending: dict[str, dict[str, Member]] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether nothing waits."""
        return not any(self._pending.values())

    def open(self, neighbour: str) -> None:
        """Begin to queue records for a neighbour."""
        self._pending.setdefault(neighbour, {})

    def close(self, neighbour: str) -> None:
        """Drop what waits for a neighbour whose stream is gone."""
        self._pending.pop(neighbour, None)

    def add(self, member: Member, sender: str = "") -> None:
        """Queue a changed record for every neighbour but the one it came from."""
        for neighbour, pending in self._pending.items():
            if neighbour != sender:
                pending[member.vm] = member

    def confirm(self, neighbour: str, heard: Member) -> None:
        """Drop what waits for a neighbour that has shown to have it.

        A change reaches a daemon on several paths; without this it would go
        back on all but the first of them.
        """
        pending = self._pending.get(neighbour, {})
        waiting = pending.get(heard.vm)
        if waiting is not None and waiting.rank <= heard.rank:
            del pending[heard.vm]

    def offer(self, neighbour: str, members: Iterable[Member]) -> None:
        """Queue records for one neighbour that lacks them."""
        pending = self._pending.get(neighbour)
        if pending is not None:
            pending.update((member.vm, member) for member in members)

    def flush(self, is_writable: Callable[[str], bool]) -> Iterator[Send]:
        """Yield one round of updates, in turn over the neighbours."""
        n_left = FLUSH_MAX_RECORDS
        for neighbour in list(self._pending):
            pending = self._pending[neighbour]
            if not pending or n_left <= 0 or not is_writable(neighbour):
                continue
            taken = list(_iter_round(pending, min(UPDATE_MAX_RECORDS, n_left)))
            n_left -= len(taken)
            # To the end of the line, for the next round to start with others.
            del self._pending[neighbour]
            self._pending[neighbour] = pending
            yield Send(neighbour, MemberUpdate(tuple(pending.pop(vm) for vm in taken)))


def _iter_round(pending: dict[str, Member], n_records_max: int) -> Iterator[str]:
    """Yield the members whose records fit one update.

    Records of VMs with many targets would together exceed the size of a frame:
    the receiver would close the stream, and get the same frame on the next one.
    """
    n_targets = 0
    for vm, member in itertools.islice(pending.items(), n_records_max):
        n_targets += len(member.targets)
        yield vm
        if n_targets >= UPDATE_MAX_TARGETS:
            return


__all__ = ["FLUSH_MAX_RECORDS", "UPDATE_MAX_RECORDS", "MemberOutbox"]
