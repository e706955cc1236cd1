"""Distribution of configuration versions: storing, gossiping, pulling and applying."""

from __future__ import annotations

from .actions import (
    Action,
    Converged,
    FetchObject,
    Note,
    PutInForce,
    ReadBells,
    ReadHead,
    ReadHeads,
    Reject,
    Send,
)
from .convergence import Collection, collect, missing_vms
from .events import (
    BellsRead,
    ChangeAccepted,
    DistributionEvent,
    FrameReceived,
    HeadRead,
    HeadsRead,
    MembersChanged,
    NeighbourDown,
    NeighbourUp,
    ObjectFetched,
    Paused,
    Tick,
    Work,
)
from .floor import FloorSource
from .node import Distribution
from .outbox import Outbox
from .state import PLATFORM, Timing

__all__ = [
    "PLATFORM",
    "Action",
    "BellsRead",
    "ChangeAccepted",
    "Collection",
    "Converged",
    "Distribution",
    "DistributionEvent",
    "FetchObject",
    "FrameReceived",
    "HeadRead",
    "HeadsRead",
    "MembersChanged",
    "NeighbourDown",
    "NeighbourUp",
    "Note",
    "ObjectFetched",
    "Outbox",
    "Paused",
    "PutInForce",
    "FloorSource",
    "ReadBells",
    "ReadHead",
    "ReadHeads",
    "Reject",
    "Send",
    "Tick",
    "Timing",
    "Work",
    "collect",
    "missing_vms",
]
