"""Outgoing frames to each neighbour, queued fairly by customer."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from ..deficit_round_robin import DeficitRoundRobin
from ..wire import ControlFrame, DeltaPush, Have, SnapshotPart
from .state import PART_MAX_BYTES

BACKLOG_MAX_BYTES: Final = 262_144
_FRAME_OVERHEAD_BYTES: Final = 128


class Outbox:
    """One fair queue per neighbour, with a bound on queued deltas."""

    def __init__(self) -> None:
        self._queues: dict[str, DeficitRoundRobin[ControlFrame]] = {}

    def put(self, vm: str, customer: str, frame: ControlFrame) -> None:
        """Add a frame to a customer's queue for a neighbour.

        Deltas for a neighbour that reads slowly or is paused would accumulate until
        this daemon runs out of memory. Beyond `BACKLOG_MAX_BYTES` a single `Have`
        replaces them, and the neighbour pulls the version once it can.
        """
        queue = self._queues.get(vm)
        if queue is None:
            queue = self._queues[vm] = DeficitRoundRobin(PART_MAX_BYTES)
        is_delta = isinstance(frame, DeltaPush)
        if is_delta and queue.cost_of(customer) > BACKLOG_MAX_BYTES:
            for queued in queue.drop(customer):
                if isinstance(queued, SnapshotPart):
                    queue.put(customer, queued, _cost(queued))
            frame = Have(customer, frame.delta.head.version)
        queue.put(customer, frame, _cost(frame))

    def take(self, vm: str) -> ControlFrame | None:
        """Remove and return the next frame for a neighbour, or None."""
        queue = self._queues.get(vm)
        return None if queue is None else queue.take()

    def drop(self, vm: str) -> None:
        """Discard the queue of a neighbour whose stream was closed."""
        self._queues.pop(vm, None)

    def pending_vms(self) -> Iterator[str]:
        """Yield the neighbours that have queued frames."""
        for vm, queue in self._queues.items():
            if queue:
                yield vm


def _cost(frame: ControlFrame) -> int:
    if isinstance(frame, SnapshotPart):
        return _FRAME_OVERHEAD_BYTES + len(frame.data)
    if isinstance(frame, DeltaPush):
        return _FRAME_OVERHEAD_BYTES + len(frame.delta.patch)
    return _FRAME_OVERHEAD_BYTES


__all__ = ["BACKLOG_MAX_BYTES", "Outbox"]
