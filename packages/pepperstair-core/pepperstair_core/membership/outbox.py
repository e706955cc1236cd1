"""Queues of member records to be sent to neighbours."""

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
FLUSH_MAX_RANKS: Final = 512


class MemberOutbox:
    """Queues the newest record of each member for each neighbour.

    Each change is sent to a neighbour once, however many other neighbours have sent
    the same change to this daemon in the meantime. Sending in rounds of limited size
    bounds the load when many daemons join at once. Records beyond the limit stay in the
    queue, at the cost of one reference per member and neighbour.

    A neighbour in another availability zone, for which `is_in_other_zone` returns
    True, gets only the ranks of changed records with the next `flush_ranks`, and
    requests the records that it lacks. By then most of the records have reached it
    from neighbours in its own zone.
    """

    def __init__(
        self, is_in_other_zone: Callable[[str], bool] = lambda vm: False
    ) -> None:
        self._is_in_other_zone = is_in_other_zone
        self._pending: dict[str, dict[str, Member]] = {}
        self._pending_ranks: dict[str, dict[str, Member]] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no full records are queued; ranks are not considered."""
        return not any(self._pending.values())

    def open(self, neighbour: str) -> None:
        """Create the queues of a neighbour."""
        self._pending.setdefault(neighbour, {})
        self._pending_ranks.setdefault(neighbour, {})

    def close(self, neighbour: str) -> None:
        """Discard the queues of a neighbour whose stream was closed."""
        self._pending.pop(neighbour, None)
        self._pending_ranks.pop(neighbour, None)

    def add(self, member: Member, sender: str = "") -> None:
        """Queue a changed record for every neighbour except its sender.

        A change made by this daemon, to its own record or to the state of another
        member, has no sender and is sent in full to all neighbours.
        """
        for neighbour, pending in self._pending.items():
            if neighbour == sender:
                continue
            if sender and self._is_in_other_zone(neighbour):
                self._pending_ranks[neighbour][member.vm] = member
            else:
                pending[member.vm] = member

    def discard_known(self, neighbour: str, received: Member | MemberRank) -> None:
        """Dequeue a record that a neighbour has shown to hold already.

        A change reaches a daemon on several paths. Without this check it would be
        sent back on all of them but the first.
        """
        for queues in (self._pending, self._pending_ranks):
            queue = queues.get(neighbour, {})
            waiting = queue.get(received.vm)
            if waiting is not None and waiting.rank <= received.rank:
                del queue[received.vm]

    def enqueue(self, neighbour: str, members: Iterable[Member]) -> None:
        """Queue records for one neighbour that lacks them."""
        pending = self._pending.get(neighbour)
        if pending is not None:
            pending.update((member.vm, member) for member in members)

    def flush_ranks(self) -> Iterator[Send]:
        """Yield the ranks of changed records to neighbours in other zones."""
        for neighbour, pending in self._pending_ranks.items():
            batch = [*itertools.islice(pending.values(), FLUSH_MAX_RANKS)]
            for member in batch:
                del pending[member.vm]
            if batch:
                yield Send(neighbour, MemberRanks(b"", tuple(map(rank_of, batch))))

    def flush(self, is_writable: Callable[[str], bool]) -> Iterator[Send]:
        """Yield one round of updates, serving the neighbours in rotation."""
        n_remaining = FLUSH_MAX_RECORDS
        for neighbour in list(self._pending):
            pending = self._pending[neighbour]
            if not pending or n_remaining <= 0 or not is_writable(neighbour):
                continue
            batch = list(
                _iter_update_vms(pending, min(UPDATE_MAX_RECORDS, n_remaining))
            )
            n_remaining -= len(batch)
            # Moves this neighbour last, so that the next round starts with others.
            del self._pending[neighbour]
            self._pending[neighbour] = pending
            yield Send(neighbour, MemberUpdate(tuple(pending.pop(vm) for vm in batch)))


def _iter_update_vms(pending: dict[str, Member], n_records_max: int) -> Iterator[str]:
    """Yield the members whose records fit into one update.

    Records of VMs with many targets could together exceed the frame size limit.
    The receiver would close the stream and get the same frame on the next one.
    """
    n_targets = 0
    for vm, member in itertools.islice(pending.items(), n_records_max):
        n_targets += len(member.targets)
        yield vm
        if n_targets >= UPDATE_MAX_TARGETS:
            return


__all__ = ["FLUSH_MAX_RECORDS", "UPDATE_MAX_RECORDS", "MemberOutbox"]
