"""Virtual time: a queue of events ordered by time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class VirtualClock:
    """Runs callbacks in virtual time, which advances only between callbacks.

    >>> clock = VirtualClock()
    >>> clock.call_later(5.0, lambda: print(clock.now_ms))
    >>> clock.run()
    5.0
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callback]] = []
        self._sequence_numbers = itertools.count()

    def call_at(self, at_ms: float, callback: Callback) -> None:
        """Schedule a callback at a time, or now if that time has passed."""
        entry = (max(at_ms, self.now_ms), next(self._sequence_numbers), callback)
        heapq.heappush(self._events, entry)

    def call_later(self, delay_ms: float, callback: Callback) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_ms + delay_ms, callback)

    def run(self) -> None:
        """Run all scheduled callbacks, including those scheduled meanwhile."""
        while self._events:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()


__all__ = ["VirtualClock"]
