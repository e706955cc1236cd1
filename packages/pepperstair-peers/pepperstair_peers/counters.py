"""Counters of the frames that a daemon sends, by frame type."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import structlog
from msgspec import Struct

log = structlog.get_logger(__name__)


class SentFrames(Struct):
    """The number and total size of the sent frames of one type."""

    n_frames: int = 0
    n_bytes: int = 0


class FrameCounters:
    """Counts the frames sent on all streams of one kind, control or data.

    `n_rejected` counts the outgoing streams that were closed because of an
    invalid frame.

    >>> from pepperstair_core.wire import Heartbeat
    >>> counters = FrameCounters()
    >>> counters.add(Heartbeat(1), 4)
    >>> dict(counters.iter_named("control"))["n_control_sent_bytes_heartbeat"]
    4
    """

    def __init__(self) -> None:
        self._sent: dict[type, SentFrames] = {}
        self.n_rejected = 0

    def add(self, frame: Any, n_bytes: int) -> None:
        """Count one sent frame of `n_bytes` encoded bytes."""
        sent = self._sent.get(type(frame))
        if sent is None:
            sent = self._sent[type(frame)] = SentFrames()
        sent.n_frames += 1
        sent.n_bytes += n_bytes

    @property
    def n_bytes(self) -> int:
        """Return the total bytes of all frame types."""
        return sum(sent.n_bytes for sent in self._sent.values())

    def iter_named(self, stream_kind: str) -> Iterator[tuple[str, int]]:
        """Yield each counter with the name that it has in status and metrics."""
        for cls, sent in self._sent.items():
            name = _snake_case(cls.__name__)
            yield f"n_{stream_kind}_sent_frames_{name}", sent.n_frames
            yield f"n_{stream_kind}_sent_bytes_{name}", sent.n_bytes


def _snake_case(name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", name).lower()


__all__ = ["FrameCounters", "SentFrames"]
