"""Member records on their way to neighbours."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from ..members import Member, MemberRank
from ..wire.control import MemberRanks, MemberUpdate
from .actions import Send
from .directory import rank_of

UPDATE_MAX_RECORDS: Final = 32
UPDATE_MAX_TARGETS: Final = 128
FLUSH_MAX_RECORDS: Final = 256
ANNOUNCED_MAX_RANKS: Final = 512


class MemberOutbox:
    """The newest record of each member that each neighbour still has to get.

    Each change goes to a neighbour once, however many others told of it in the
    meantime. Sending in small rounds bounds how much a herd that joins at once
    can ask of this daemon: what does not fit waits here, where it takes no more
    than one reference a member and neighbour.

    A neighbour for which `is_far` holds, one in another availability zone, is told of
    changes by their ranks alone, with the next `announce`, and asks for those that it
    lacks. By then most of them have reached it within its zone.
    """

    def __init__(self, is_far: Callable[[str], bool] = lambda vm: False) -> None:
        self._is_far = is_far
        self._pending: dict[str, dict[str, Member]] = {}
        self._announced: dict[str, dict[str, Member]] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether nothing waits."""
        return not any(self._pending.values())

    def open(self, neighbour: str) -> None:
        """Begin to queue records for a neighbour."""
        self._pending.setdefault(neighbour, {})
        self._announced.setdefault(neighbour, {})

    def close(self, neighbour: str) -> None:
        """Drop what waits for a neighbour whose stream is gone."""
        self._pending.pop(neighbour, None)
        self._announced.pop(neighbour, None)

    def add(self, member: Member, sender: str = "") -> None:
        """Queue a changed record for every neighbour but the one it came from.

        A change of this daemon's own goes to all of them whole.
        """
        for neighbour, pending in self._pending.items():
            if neighbour == sender:
                continue
            if sender and self._is_far(neighbour):
                self._announced[neighbour][member.vm] = member
            else:
                pending[member.vm] = member

    def confirm(self, neighbour: str, heard: Member | MemberRank) -> None:
        """Drop what waits for a neighbour that has shown to have it.

        A change reaches a daemon on several paths; without this it would go
        back on all but the first of them.
        """
        for queues in (self._pending, self._announced):
            queue = queues.get(neighbour, {})
            waiting = queue.get(heard.vm)
            if waiting is not None and waiting.rank <= heard.rank:
                del queue[heard.vm]

    def offer(self, neighbour: str, members: Iterable[Member]) -> None:
        """Queue records for one neighbour that lacks them."""
        pending = self._pending.get(neighbour)
        if pending is not None:
            pending.update((member.vm, member) for member in members)

    def announce(self) -> Iterator[Send]:
        """Yield the ranks of what has changed, for neighbours in other zones."""
        for neighbour, announced in self._announced.items():
            taken = [*itertools.islice(announced.values(), ANNOUNCED_MAX_RANKS)]
            for member in taken:
                del announced[member.vm]
            if taken:
                yield Send(neighbour, MemberRanks(b"", tuple(map(rank_of, taken))))

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
