"""What waits to be sent to each neighbour, in the customers' turns."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from ..deficit_round_robin import DeficitRoundRobin
from ..wire import ControlFrame, DeltaPush, Have, SnapshotPart
from .state import PART_MAX_BYTES

BACKLOG_MAX_BYTES: Final = 262_144
_FRAME_BYTES: Final = 128


class Outbox:
    """One fair queue for each neighbour, with a bound on queued deltas."""

    def __init__(self) -> None:
        self._queues: dict[str, DeficitRoundRobin[ControlFrame]] = {}

    def put(self, vm: str, customer: str, frame: ControlFrame) -> None:
        """Queue a frame in a customer's line to a neighbour.

        A neighbour that reads slowly, or froze, would make deltas pile up until
        this daemon runs out of memory. Past the bound one `Have` takes their
        place, and the neighbour pulls when it is able to.
        """
        queue = self._queues.get(vm)
        if queue is None:
            queue = self._queues[vm] = DeficitRoundRobin(PART_MAX_BYTES)
        is_delta = isinstance(frame, DeltaPush)
        if is_delta and queue.cost_of(customer) > BACKLOG_MAX_BYTES:
            for pending_vms in queue.drop(customer):
                if isinstance(pending_vms, SnapshotPart):
                    queue.put(customer, pending_vms, _cost(pending_vms))
            frame = Have(customer, frame.delta.head.version)
        queue.put(customer, frame, _cost(frame))

    def take(self, vm: str) -> ControlFrame | None:
        """Remove and return the frame whose turn it is, if one waits."""
        queue = self._queues.get(vm)
        return None if queue is None else queue.take()

    def drop(self, vm: str) -> None:
        """Forget what waits for a neighbour that is gone."""
        self._queues.pop(vm, None)

    def pending_vms(self) -> Iterator[str]:
        """Yield the neighbours that something waits for."""
        for vm, queue in self._queues.items():
            if queue:
                yield vm


def _cost(frame: ControlFrame) -> int:
    if isinstance(frame, SnapshotPart):
        return _FRAME_BYTES + len(frame.data)
    if isinstance(frame, DeltaPush):
        return _FRAME_BYTES + len(frame.delta.patch)
    return _FRAME_BYTES


__all__ = ["BACKLOG_MAX_BYTES", "Outbox"]
