"""Decisions about configuration: holding, spreading, asking and applying."""

from __future__ import annotations

from .actions import (
    Action,
    Converged,
    FetchObject,
    PutInForce,
    ReadBucketTokens,
    ReadHead,
    ReadHeads,
    RecordDecision,
    Reject,
    Send,
)
from .convergence import AcknowledgementCollection, collect, missing_vms
from .events import (
    ApplyNext,
    BucketTokensRead,
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
)
from .floor import ReachedBy
from .node import Distribution
from .outbox import Outbox
from .state import PLATFORM, Timing

__all__ = [
    "PLATFORM",
    "Action",
    "BucketTokensRead",
    "ChangeAccepted",
    "AcknowledgementCollection",
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
    "RecordDecision",
    "ObjectFetched",
    "Outbox",
    "Paused",
    "PutInForce",
    "ReachedBy",
    "ReadBucketTokens",
    "ReadHead",
    "ReadHeads",
    "Reject",
    "Send",
    "Tick",
    "Timing",
    "ApplyNext",
    "collect",
    "missing_vms",
]
