"""Events that the daemon passes to the distribution."""

from __future__ import annotations

from msgspec import Struct

from ..members import Member
from ..versions import Head, Snapshot
from ..wire import ControlFrame


class Tick(Struct, frozen=True):
    """The periodic timer has fired."""


class ApplyNext(Struct, frozen=True):
    """The daemon is ready to apply one received delta or body."""


class NeighbourUp(Struct, frozen=True):
    """A stream to a neighbour was opened."""

    vm: str


class NeighbourDown(Struct, frozen=True):
    """A stream to a neighbour was closed."""

    vm: str


class MembersChanged(Struct, frozen=True):
    """The member records have changed; carries all of them."""

    members: tuple[Member, ...]


class FrameReceived(Struct, frozen=True):
    """A frame from a neighbour was received."""

    sender: str
    frame: ControlFrame


class ChangeAccepted(Struct, frozen=True):
    """This daemon has committed a version on the platform."""

    snapshot: Snapshot


class BucketTokensRead(Struct, frozen=True):
    """The bucket tokens were read; `tokens` is None if the platform failed."""

    tokens: dict[int, str] | None


class HeadsRead(Struct, frozen=True):
    """The heads of a bucket, or of all buckets if `bucket` is None, were read.

    `heads` is None if the platform failed.
    """

    bucket: int | None
    heads: tuple[Head, ...] | None
    number: int = 0


class HeadRead(Struct, frozen=True):
    """The head of one customer was read.

    `head` is None if there is none or the read failed.
    """

    customer: str
    head: Head | None


class ObjectFetched(Struct, frozen=True):
    """A body was fetched from the object store.

    `body` is None if the store has none or the fetch failed.
    """

    head: Head
    body: bytes | None


class Paused(Struct, frozen=True):
    """The process was paused for longer than its leases last."""


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
