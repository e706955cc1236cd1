"""Rejects data streams that a newer stream of the same process has replaced."""

from __future__ import annotations

from typing import Final

import structlog

from pepperstair_core.calls.run_memory import Sender

log = structlog.get_logger(__name__)

_N_SENDERS_MAX: Final = 4096


class StreamFence:
    """Tracks the highest sequence of the data streams that each process has opened.

    A silent stream may resume after it was replaced. Without the fence, a call whose
    head is still buffered on that stream would run, although the caller queried the
    call on the new stream and received the answer that the call had not run.
    """

    def __init__(self) -> None:
        self._sequences: dict[Sender, int] = {}

    def admit(self, sender: Sender, sequence: int) -> bool:
        """Record a stream, and return whether it is the newest of its process."""
        if sequence <= self._sequences.get(sender, 0):
            return False
        self._sequences.pop(sender, None)
        self._sequences[sender] = sequence
        if len(self._sequences) > _N_SENDERS_MAX:
            del self._sequences[next(iter(self._sequences))]
        return True


__all__ = ["StreamFence"]
