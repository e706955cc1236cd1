"""State of the distribution on one daemon."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable, Iterator
from random import Random
from typing import Final

from msgspec import Struct, field

from ..deficit_round_robin import DeficitRoundRobin
from ..intent import Intent
from ..members import Member, MemberState
from ..versions import Delta, Head, Snapshot, digest_of, encode_intent

PLATFORM: Final = "platform"
PART_MAX_BYTES: Final = 65_536
_N_CANDIDATES_MAX: Final = 4
_DELTAS_MAX_BYTES: Final = 262_144


class Timing(Struct, frozen=True):
    """Intervals, timeouts and limits; the defaults suit the intended fleet size."""

    pull_grace_ms: int = 150
    pull_timeout_ms: int = 1000
    pull_backoff_max_ms: int = 8000
    rejected_retry_ms: int = 30_000
    n_pulls_served_max: int = 4
    serving_timeout_ms: int = 2000
    busy_retry_ms: int = 300
    holder_wait_max_ms: int = 2000
    holder_query_interval_ms: int = 300
    anti_entropy_ms: int = 5000
    poll_interval_ms: int = 1000
    beacon_interval_ms: int = 2000
    poller_timeout_ms: int = 5000
    outage_poller_timeout_ms: int = 30_000
    floor_wait_ms: int = 1500
    inquiry_ms: int = 1000


class Candidate(Struct, frozen=True):
    """A held version that goes in force once enough other members hold it."""

    snapshot: Snapshot
    held_at_ms: int
    learnt_from: str


class PullState(Struct):
    """Progress of the pull of a version that is known but not held yet."""

    version: int
    due_ms: int
    head: Head | None = None
    needs_full: bool = False
    n_rounds: int = 0
    requested_vms: set[str] = field(default_factory=set)
    parts: dict[int, bytes] = field(default_factory=dict)
    parts_head: Head | None = None


class ReceivedDelta(Struct, frozen=True):
    """A received delta that is queued to be applied."""

    sender: str
    delta: Delta


class ReceivedBody(Struct, frozen=True):
    """A received complete body that is queued to be applied."""

    sender: str
    head: Head
    body: bytes


class CustomerState(Struct):
    """One customer's versions on this daemon and on its neighbours.

    `received_version` is the newest version received; it may not be applied yet.
    `deltas` lead from older versions to the held one; `early_deltas` apply to versions
    that are not held yet. `holders` maps each member to the newest version that it is
    known to hold; `pruned` are the neighbours that get announcements instead of deltas.
    """

    customer: str
    empty: Snapshot
    held: Snapshot | None = None
    in_force: Snapshot | None = None
    received_version: int = 0
    candidates: list[Candidate] = field(default_factory=list)
    deltas: deque[Delta] = field(default_factory=deque)
    early_deltas: dict[int, ReceivedDelta] = field(default_factory=dict)
    holders: dict[str, int] = field(default_factory=dict)
    pruned: set[str] = field(default_factory=set)
    pull: PullState | None = None
    rejected: Head | None = None
    rejected_cause: str = ""
    rejected_until_ms: int = 0

    @property
    def held_version(self) -> int:
        """Return the newest version held, 0 if none."""
        return 0 if self.held is None else self.held.head.version

    @property
    def in_force_version(self) -> int:
        """Return the version in force, 0 if none."""
        return 0 if self.in_force is None else self.in_force.head.version

    def add_candidate(self, candidate: Candidate) -> None:
        """Add a version that is to go in force once enough members hold it.

        In a burst the newest version changes faster than neighbours can confirm it,
        so the oldest candidates are kept too: otherwise no version would go in force
        until the burst ends.
        """
        self.candidates.append(candidate)
        if len(self.candidates) > _N_CANDIDATES_MAX:
            del self.candidates[-2]

    def add_delta(self, delta: Delta) -> None:
        """Store a delta for neighbours that are a few versions behind."""
        self.deltas.append(delta)
        n_bytes = sum(len(kept.patch) for kept in self.deltas)
        while n_bytes > _DELTAS_MAX_BYTES:
            n_bytes -= len(self.deltas.popleft().patch)


class Counters(Struct):
    """Counters that `status` and the metrics expose."""

    n_versions_ignored: int = 0
    n_versions_rejected: int = 0
    n_deltas_applied: int = 0
    n_deltas_refused: int = 0
    n_full_pulls: int = 0
    n_full_pulls_served: int = 0
    n_busy_sent: int = 0
    n_prunes: int = 0
    n_in_force_alone: int = 0


class Fleet(Struct):
    """The members, and the neighbours with an open stream."""

    own_vm: str
    own_zone: str
    members: dict[str, Member] = field(default_factory=dict)
    neighbours: set[str] = field(default_factory=set)

    def update(self, members: Iterable[Member]) -> None:
        """Replace the member records by the directory's current ones."""
        self.members = {member.vm: member for member in members}

    def live(self) -> Iterator[str]:
        """Yield this daemon and all other members whose state is `ALIVE`."""
        yield self.own_vm
        for vm, member in self.members.items():
            if vm != self.own_vm and member.state is MemberState.ALIVE:
                yield vm

    def zone_of(self, vm: str) -> str:
        """Return the availability zone of a member, empty if unknown."""
        member = self.members.get(vm)
        return member.availability_zone if member else ""


class DistributionState(Struct):
    """All state of the distribution on one daemon."""

    fleet: Fleet
    rng: Random
    timing: Timing = field(default_factory=Timing)
    customers: dict[str, CustomerState] = field(default_factory=dict)
    inbox: DeficitRoundRobin[ReceivedDelta | ReceivedBody] = field(
        default_factory=lambda: DeficitRoundRobin(PART_MAX_BYTES)
    )
    served_pulls: dict[tuple[str, str], int] = field(default_factory=dict)
    anti_entropy_due_ms: int = 0
    holder_query_due_ms: int = 0
    counters: Counters = field(default_factory=Counters)

    def customer(self, name: str) -> CustomerState:
        """Return the state of a customer, created on first use."""
        state = self.customers.get(name)
        if state is None:
            state = CustomerState(name, empty_snapshot(name))
            self.customers[name] = state
        return state

    def held_versions(self) -> tuple[tuple[str, int], ...]:
        """Return each customer's held version, by customer."""
        return tuple(
            (name, state.held_version)
            for name, state in sorted(self.customers.items())
            if state.held is not None
        )

    def versions_digest(self) -> bytes:
        """Return a digest that is equal on daemons that hold the same versions."""
        text = repr(self.held_versions()).encode()
        return hashlib.blake2b(text, digest_size=8).digest()


def empty_snapshot(customer: str) -> Snapshot:
    """Return version 0, the base of a customer's first delta."""
    intent = Intent(customer)
    body = encode_intent(intent)
    return Snapshot(Head(customer, 0, digest_of(body), 0, "", ""), body, intent)


__all__ = [
    "PART_MAX_BYTES",
    "PLATFORM",
    "Candidate",
    "Counters",
    "CustomerState",
    "DistributionState",
    "Fleet",
    "PullState",
    "ReceivedBody",
    "ReceivedDelta",
    "Timing",
    "empty_snapshot",
]
