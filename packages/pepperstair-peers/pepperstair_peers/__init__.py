"""Streams between daemons: configuration, members and calls."""

from __future__ import annotations

from .control import ControlPlane
from .data import CallClient, CallRunner, CallServer
from .identity import Identity
from .listener import PeerListener
from .stream import FrameStream, open_stream

__all__ = [
    "CallClient",
    "CallRunner",
    "CallServer",
    "ControlPlane",
    "FrameStream",
    "Identity",
    "PeerListener",
    "open_stream",
]
