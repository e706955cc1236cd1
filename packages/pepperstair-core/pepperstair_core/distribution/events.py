"""What happens to the distribution, as the daemon tells it."""

from __future__ import annotations

from dataclasses import dataclass

from ..members import Member
from ..versions import Head, Snapshot
from ..wire import ControlFrame


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Work:
    """There is time to apply one received delta or body."""


@dataclass(frozen=True, slots=True)
class NeighbourUp:
    """A stream to a neighbour has opened."""

    vm: str


@dataclass(frozen=True, slots=True)
class NeighbourDown:
    """A stream to a neighbour has closed."""

    vm: str


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The records of the members, all of them."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """A frame from a neighbour."""

    sender: str
    frame: ControlFrame


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """This daemon has committed a version on the platform."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class BellsRead:
    """The tokens of the bells by bucket, None where the platform failed."""

    tokens: dict[int, str] | None


@dataclass(frozen=True, slots=True)
class HeadsRead:
    """The heads of a bucket, or of all, None where the platform failed."""

    bucket: int | None
    heads: tuple[Head, ...] | None
    number: int = 0


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The head of one customer, None where there is none or no answer."""

    customer: str
    head: Head | None


@dataclass(frozen=True, slots=True)
class ObjectFetched:
    """A body from the object store, None where there is none or no answer."""

    head: Head
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Paused:
    """The process stood still for longer than its leases last."""


DistributionEvent = (
    Tick
    | Work
    | NeighbourUp
    | NeighbourDown
    | MembersChanged
    | FrameReceived
    | ChangeAccepted
    | BellsRead
    | HeadsRead
    | HeadRead
    | ObjectFetched
    | Paused
)

__all__ = [
    "BellsRead",
    "ChangeAccepted",
    "DistributionEvent",
    "FrameReceived",
    "HeadRead",
    "HeadsRead",
    "MembersChanged",
    "NeighbourDown",
    "NeighbourUp",
    "ObjectFetched",
    "Paused",
    "Tick",
    "Work",
]
