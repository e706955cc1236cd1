"""Virtual time: events in the order of their moments."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Act = Callable[[], None]


class VirtualClock:
    """Runs functions at moments of a time that passes only between them.

    >>> clock = VirtualClock()
    >>> clock.after(5.0, lambda: print(clock.now_ms))
    >>> clock.run()
    5.0
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Act]] = []
        self._numbers = itertools.count()

    def at(self, at_ms: float, act: Act) -> None:
        """Run a function at a moment, or now where that is over."""
        entry = (max(at_ms, self.now_ms), next(self._numbers), act)
        heapq.heappush(self._events, entry)

    def after(self, delay_ms: float, act: Act) -> None:
        """Run a function after a while."""
        self.at(self.now_ms + delay_ms, act)

    def run(self) -> None:
        """Run everything that is due, and what follows from it."""
        while self._events:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()


__all__ = ["VirtualClock"]
