"""Actions that the distribution returns for the daemon to execute."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct

from ..decisions import DecisionKind
from ..versions import Head, Snapshot
from ..wire import ControlFrame


class Send(Struct, frozen=True):
    """Send a frame to a neighbour, through the fair queue if a customer is named."""

    vm: str
    frame: ControlFrame
    customer: str = ""


class PutInForce(Struct, frozen=True):
    """Replace the snapshot in force; `learnt_from` is a VM or the platform."""

    snapshot: Snapshot
    learnt_from: str


class ReadBucketTokens(Struct, frozen=True):
    """Read the tokens of all buckets.

    A bucket's token changes whenever a head in the bucket changes.
    """


class ReadHeads(Struct, frozen=True):
    """Read the heads of one bucket, or of all buckets if `bucket` is None.

    The answer repeats `number`, so that the answer to a read that was started before a
    pause of this process can be ignored.
    """

    bucket: int | None
    number: int = 0


class ReadHead(Struct, frozen=True):
    """Read the head of one customer."""

    customer: str


class FetchObject(Struct, frozen=True):
    """Fetch a snapshot's body from the object store."""

    head: Head


class Reject(Struct, frozen=True):
    """Report a version that was rejected as a whole; no part of it was applied."""

    head: Head
    learnt_from: str
    cause: str


class RecordDecision(Struct, frozen=True):
    """Record a decision in the decision log."""

    kind: DecisionKind
    subject: str
    cause: str
    figures: tuple[tuple[str, float], ...] = ()


class Converged(Struct, frozen=True):
    """Report that a version is in force on every live member."""

    customer: str
    version: int
    convergence_ms: int
    n_vms: int


Action = (
    Send
    | PutInForce
    | ReadBucketTokens
    | ReadHeads
    | ReadHead
    | FetchObject
    | Reject
    | RecordDecision
    | Converged
)
Actions = Iterator[Action]

__all__ = [
    "Action",
    "Actions",
    "Converged",
    "FetchObject",
    "RecordDecision",
    "PutInForce",
    "ReadBucketTokens",
    "ReadHead",
    "ReadHeads",
    "Reject",
    "Send",
]
