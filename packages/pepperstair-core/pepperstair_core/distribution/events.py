"""What happens to the distribution, as the daemon tells it."""

from __future__ import annotations

from msgspec import Struct

from ..members import Member
from ..versions import Head, Snapshot
from ..wire import ControlFrame


class Tick(Struct, frozen=True):
    """Time has passed."""


class ApplyNext(Struct, frozen=True):
    """There is time to apply one received delta or body."""


class NeighbourUp(Struct, frozen=True):
    """A stream to a neighbour has opened."""

    vm: str


class NeighbourDown(Struct, frozen=True):
    """A stream to a neighbour has closed."""

    vm: str


class MembersChanged(Struct, frozen=True):
    """The records of the members, all of them."""

    members: tuple[Member, ...]


class FrameReceived(Struct, frozen=True):
    """A frame from a neighbour."""

    sender: str
    frame: ControlFrame


class ChangeAccepted(Struct, frozen=True):
    """This daemon has committed a version on the platform."""

    snapshot: Snapshot


class BucketTokensRead(Struct, frozen=True):
    """The tokens of the bells by bucket, None where the platform failed."""

    tokens: dict[int, str] | None


class HeadsRead(Struct, frozen=True):
    """The heads of a bucket, or of all, None where the platform failed."""

    bucket: int | None
    heads: tuple[Head, ...] | None
    number: int = 0


class HeadRead(Struct, frozen=True):
    """The head of one customer, None where there is none or no answer."""

    customer: str
    head: Head | None


class ObjectFetched(Struct, frozen=True):
    """A body from the object store, None where there is none or no answer."""

    head: Head
    body: bytes | None


class Paused(Struct, frozen=True):
    """The process stood still for longer than its leases last."""


DistributionEvent = (
    Tick
    | ApplyNext
    | NeighbourUp
    | NeighbourDown
    | MembersChanged
    | FrameReceived
    | ChangeAccepted
    | BucketTokensRead
    | HeadsRead
    | HeadRead
    | ObjectFetched
    | Paused
)

__all__ = [
    "BucketTokensRead",
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
    "ApplyNext",
]
