"""What callers, instances and the operator saw in a run; times are in seconds."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """A route as one version has it."""

    prefix: str
    service: str
    is_idempotent: bool
    timeout_s: float
    n_attempts: int


@dataclass(frozen=True, slots=True)
class Version:
    """A version of the configuration, written at `at_s`."""

    number: int
    routes: dict[str, Route]
    at_s: float


@dataclass(frozen=True, slots=True)
class Call:
    """A request as its caller sent it; `digest` stands for its body."""

    request_id: str
    vm: str
    process: int
    path: str
    prefix: str
    digest: str
    is_idempotent: bool
    timeout_s: float
    sent_s: float
    is_poison: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller was told; status 0 for a connection that ended without.

    `is_unread` says that the request stood behind an answer that closed its
    connection.
    """

    status: int
    body: bytes
    signature: str
    at_s: float
    is_abandoned: bool = False
    is_unread: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as an instance got it, at the moment it began to run it."""

    request_id: str
    instance: str
    service: str
    vm: str
    path: str
    digest: str
    caller_service: str
    at_s: float
    n_running: int


@dataclass(frozen=True, slots=True)
class Leaving:
    """That a daemon acknowledged an instance's leaving."""

    instance: str
    vm: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault of one VM or, with an empty name, of the store.

    `is_planned` says that only signals were sent that a process may expect.
    """

    vm: str
    kind: str
    from_s: float
    to_s: float
    is_planned: bool = False


@dataclass
class History:
    """Everything that was seen, in the order of time."""

    services: dict[str, str] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    calls: dict[str, Call] = field(default_factory=dict)
    answers: dict[str, Answer] = field(default_factory=dict)
    arrivals: dict[str, list[Arrival]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # When an instance ended under a poison request.
    poisoned_s: list[float] = field(default_factory=list)
    leavings: dict[str, Leaving] = field(default_factory=dict)
    disturbances: list[Disturbance] = field(default_factory=list)
    slots: dict[str, int] = field(default_factory=dict)
    healed_s: float = 0.0
    ended_s: float = float("inf")
    recover_s: float = 0.0
    longest_stall_s: float = 0.0

    def is_calm(self, vm: str, from_s: float, to_s: float) -> bool:
        """Return whether nothing disturbed a VM in a span of time."""
        return not any(
            item.vm == vm and item.from_s <= to_s and item.to_s >= from_s
            for item in self.disturbances
        )

    def is_store_calm(self, from_s: float, to_s: float) -> bool:
        """Return whether nothing disturbed the store in a span of time."""
        return self.is_calm("", from_s, to_s)

    def is_all_planned(self, from_s: float, to_s: float) -> bool:
        """Return whether only planned work disturbed anything in a span of time."""
        return not any(
            item.from_s <= to_s and item.to_s >= from_s and not item.is_planned
            for item in self.disturbances
        )


__all__ = [
    "Answer",
    "Arrival",
    "Call",
    "Disturbance",
    "History",
    "Leaving",
    "Route",
    "Version",
]
