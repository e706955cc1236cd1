"""Streams between daemons, which carry configuration, members and calls."""

from __future__ import annotations

from .control import ControlPlane
from .counters import FrameCounters, SentFrames
from .data import CallClient, CallRunner, CallServer
from .identity import Identity
from .listener import PeerListener
from .stream import FrameStream, open_stream

__all__ = [
    "CallClient",
    "CallRunner",
    "CallServer",
    "ControlPlane",
    "FrameCounters",
    "FrameStream",
    "Identity",
    "PeerListener",
    "SentFrames",
    "open_stream",
]
