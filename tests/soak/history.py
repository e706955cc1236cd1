"""What callers, instances and the operator observed in a run; times are in seconds."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Route:
    """A route of one version of the configuration."""

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
    """A request as its caller sent it; `digest` is that of its body."""

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
    """What a caller received; status 0 if the connection ended without an answer.

    `is_unread` means that the request followed an answer that closed its connection.
    """

    status: int
    body: bytes
    signature: str
    at_s: float
    is_abandoned: bool = False
    is_unread: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as an instance received it, at the moment when it began to run."""

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
class Departure:
    """A daemon's acknowledgement of the departure of an instance."""

    instance: str
    vm: str
    at_s: float


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """A rate limit that an instance stated in all its answers during a period."""

    instance: str
    rate_per_s: float
    from_s: float
    to_s: float


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A period in which a fault affects one VM or, if `vm` is empty, the store.

    `is_planned` means that it is planned work, such as a signal that a process has to
    expect.
    """

    vm: str
    kind: str
    from_s: float
    to_s: float
    is_planned: bool = False


@dataclass
class History:
    """Everything that was observed in a run, in the order of time."""

    services: dict[str, str] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    calls: dict[str, Call] = field(default_factory=dict)
    answers: dict[str, Answer] = field(default_factory=dict)
    arrivals: dict[str, list[Arrival]] = field(
        default_factory=lambda: defaultdict(list)
    )
    # Times at which a poison request crashed an instance.
    poison_crashes_s: list[float] = field(default_factory=list)
    departures: dict[str, Departure] = field(default_factory=dict)
    stated_limits: list[StatedLimit] = field(default_factory=list)
    # When each instance began to state in its answers that it is leaving.
    stated_leaving_s: dict[str, float] = field(default_factory=dict)
    disturbances: list[Disturbance] = field(default_factory=list)
    slots: dict[str, int] = field(default_factory=dict)
    faults_ended_s: float = 0.0
    ended_s: float = float("inf")
    recover_s: float = 0.0
    longest_stall_s: float = 0.0

    def is_undisturbed(self, vm: str, from_s: float, to_s: float) -> bool:
        """Return whether no disturbance of a VM overlaps a period."""
        return not any(
            item.vm == vm and item.from_s <= to_s and item.to_s >= from_s
            for item in self.disturbances
        )

    def is_store_undisturbed(self, from_s: float, to_s: float) -> bool:
        """Return whether no disturbance of the store overlaps a period."""
        return self.is_undisturbed("", from_s, to_s)

    def is_only_planned_work(self, from_s: float, to_s: float) -> bool:
        """Return whether all disturbances that overlap a period are planned work."""
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
    "Departure",
    "Route",
    "StatedLimit",
    "Version",
]
