"""What the distribution decides to do; the daemon carries it out."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ..decisions import DecisionKind
from ..versions import Head, Snapshot
from ..wire import ControlFrame


@dataclass(frozen=True, slots=True)
class Send:
    """Send a frame to a neighbour, in the turn of a customer if one is named."""

    vm: str
    frame: ControlFrame
    customer: str = ""


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Swap the snapshot in force; `learnt_from` is a VM or the platform."""

    snapshot: Snapshot
    learnt_from: str


@dataclass(frozen=True, slots=True)
class ReadBells:
    """Read the bell rows of all buckets."""


@dataclass(frozen=True, slots=True)
class ReadHeads:
    """Read the heads of one bucket, or of all where `bucket` is None.

    `number` comes back with the answer, which a pause may have made old.
    """

    bucket: int | None
    number: int = 0


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head of one customer."""

    customer: str


@dataclass(frozen=True, slots=True)
class FetchObject:
    """Fetch a snapshot's body from the object store."""

    head: Head


@dataclass(frozen=True, slots=True)
class Reject:
    """Report a version that was applied nowhere in part."""

    head: Head
    learnt_from: str
    cause: str


@dataclass(frozen=True, slots=True)
class Note:
    """Record a decision."""

    kind: DecisionKind
    subject: str
    cause: str
    figures: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Converged:
    """Report that a version is in force on every live member."""

    customer: str
    version: int
    convergence_ms: int
    n_vms: int


Action = (
    Send
    | PutInForce
    | ReadBells
    | ReadHeads
    | ReadHead
    | FetchObject
    | Reject
    | Note
    | Converged
)
Actions = Iterator[Action]

__all__ = [
    "Action",
    "Actions",
    "Converged",
    "FetchObject",
    "Note",
    "PutInForce",
    "ReadBells",
    "ReadHead",
    "ReadHeads",
    "Reject",
    "Send",
]
