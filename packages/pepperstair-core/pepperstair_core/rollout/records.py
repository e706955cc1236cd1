"""Records of roll-outs that daemons exchange."""

from __future__ import annotations

from enum import IntEnum

from ..array_record import ArrayRecord


class Phase(IntEnum):
    """The phase of a roll-out; a higher phase replaces a lower one.

    `COMPLETED` and `ROLLED_BACK` are final.
    """

    CANARY = 0
    PROMOTING = 1
    COMPLETED = 2
    ROLLED_BACK = 3

    @property
    def is_final(self) -> bool:
        """Return whether the roll-out has ended."""
        return self >= Phase.COMPLETED


class RolloutOrder(ArrayRecord):
    """An operator's order to move the requests of a service to another version.

    `target_version` is the version that targets state of themselves. `number` is the
    position of the order in the history of the platform's table; the order with the
    highest number is in force.
    """

    service: str
    target_version: str
    duration_ms: int
    number: int


class RouteCounts(ArrayRecord):
    """Outcomes of one route's requests at the targets of one VM.

    `is_new` states whether they ran at targets of the ordered version. The three last
    fields hold the number, the sum and the sum of squares of the natural logarithm of
    service times in milliseconds.
    """

    route: str
    is_new: bool
    n_run: int
    n_bad: int
    n_timed: int
    sum_log_ms: float
    sum_log2_ms: float


class Evidence(ArrayRecord):
    """What one process of a daemon has counted for an order.

    The counts only grow, so the record with the highest `sequence` of a process
    replaces the others. `n_old_running` is the number of requests that still run at
    targets of other versions on the VM, or -1 while these accept requests.
    """

    vm: str
    start_id: int
    sequence: int
    service: str
    order_number: int
    counts: tuple[RouteCounts, ...]
    n_old_running: int = -1


class OrderEnd(IntEnum):
    """What the end of an order means for a version.

    `REPLACED` is the end of an order that a later one replaced in the middle, or whose
    end is not known here. `SUPERSEDED` versions are those that a completed order has
    put another one in place of. Of two ends of one order, the higher one is right.
    """

    REPLACED = 0
    ROLLED_BACK = 1
    SUPERSEDED = 2
    COMPLETED = 3


class VersionRecord(ArrayRecord):
    """The end of the last order that decided on a version, by the order's number."""

    version: str
    number: int
    end: OrderEnd


class RolloutState(ArrayRecord):
    """An order with its phase and its age at the time of sending.

    `records` hold what orders have decided on versions, as far as the sender knows.
    """

    order: RolloutOrder
    phase: Phase
    age_ms: int
    records: tuple[VersionRecord, ...] = ()


__all__ = [
    "Evidence",
    "OrderEnd",
    "Phase",
    "RolloutOrder",
    "RolloutState",
    "RouteCounts",
    "VersionRecord",
]
