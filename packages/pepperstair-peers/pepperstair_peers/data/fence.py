"""Keeps an earlier stream of a daemon from acting after a later one."""

from __future__ import annotations

from typing import Final

import structlog

from pepperstair_core.calls.run_memory import Sender

log = structlog.get_logger(__name__)

_N_SENDERS_MAX: Final = 4096


class StreamFence:
    """The highest sequence of a data stream that each process has opened.

    A stream that fell silent may come back to life after it was replaced. A
    call head that was still on it would run although its caller has asked for
    it on the new stream and was told that it had not.
    """

    def __init__(self) -> None:
        self._sequences: dict[Sender, int] = {}

    def admit(self, sender: Sender, sequence: int) -> bool:
        """Return whether a stream is the latest one of its process."""
        if sequence <= self._sequences.get(sender, 0):
            return False
        self._sequences.pop(sender, None)
        self._sequences[sender] = sequence
        if len(self._sequences) > _N_SENDERS_MAX:
            del self._sequences[next(iter(self._sequences))]
        return True


__all__ = ["StreamFence"]
