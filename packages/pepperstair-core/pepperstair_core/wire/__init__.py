"""Frames between daemons and their msgpack form."""

from __future__ import annotations

from .codec import FrameDecoder, FrameError, encode_frame
from .control import (
    Acknowledge,
    Busy,
    ControlFrame,
    DeltaPush,
    Have,
    HeadsDigest,
    Heartbeat,
    Hello,
    MembersDigest,
    MemberUpdate,
    Prune,
    Pull,
    SnapshotPart,
    StreamKind,
    Welcome,
)
from .data import (
    AnswerHead,
    BodyEnd,
    BodyPart,
    CallFailed,
    CallHead,
    CallQuery,
    Credit,
    DataFrame,
    Reset,
)

__all__ = [
    "Acknowledge",
    "AnswerHead",
    "BodyEnd",
    "BodyPart",
    "Busy",
    "CallFailed",
    "CallHead",
    "CallQuery",
    "ControlFrame",
    "Credit",
    "DataFrame",
    "DeltaPush",
    "FrameDecoder",
    "FrameError",
    "Have",
    "Heartbeat",
    "HeadsDigest",
    "Hello",
    "MemberUpdate",
    "MembersDigest",
    "Prune",
    "Pull",
    "Reset",
    "SnapshotPart",
    "StreamKind",
    "Welcome",
    "encode_frame",
]
