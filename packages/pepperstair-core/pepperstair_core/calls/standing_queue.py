"""Detection of a queue that stays too long for its calls to start in time.

Some calls may wait past their wanted time, as a late answer is better than none. In an
overload the queue of these calls grows up to their deadlines and stays so: every answer
is late, although a shorter queue would let as many be served in time. As in CoDel
(Nichols and Jacobson 2012), a queue is standing if no call started in time for an
interval, here `LATE_WINDOW` times the time within which the calls are wanted.
"""

from __future__ import annotations

import math
from typing import Final

# Time without a start in time after which a queue is standing, as a multiple of the
# time within which its calls are wanted. With 1, bursts of look-ups count as standing
# queues, and each refused look-up fails a request that has run.
LATE_WINDOW: Final = 2.0


class StandingQueue:
    """Whether the calls of one queue wait too long all the time.

    >>> queue = StandingQueue()
    >>> for at_ms in (0.0, 100.0, 200.0):
    ...     queue.record_start(True, 75.0, at_ms)
    >>> queue.is_standing
    True
    >>> queue.record_start(False, 75.0, 400.0)
    >>> queue.is_standing
    False
    """

    __slots__ = ("_late_ms", "_late_since_ms", "is_standing")

    def __init__(self) -> None:
        self.is_standing = False
        self._late_since_ms = math.inf
        self._late_ms = -math.inf

    def record_start(self, is_late: bool, wanted_in_ms: float, now_ms: float) -> None:
        """Record that a call started, and whether too late for its wanted time.

        `wanted_in_ms` is the time between the arrival of the call and its wanted time.
        The queue is no longer standing once no call was late or refused for that time.
        """
        if is_late:
            if now_ms - self._late_ms > wanted_in_ms:
                self._late_since_ms = now_ms
            self._late_since_ms = min(self._late_since_ms, now_ms)
            self._late_ms = now_ms
            if now_ms - self._late_since_ms >= LATE_WINDOW * wanted_in_ms:
                self.is_standing = True
            return
        self._late_since_ms = math.inf
        if now_ms - self._late_ms > wanted_in_ms:
            self.is_standing = False

    def record_refusal(self, now_ms: float) -> None:
        """Record that a call was refused because it could not start in time."""
        self._late_ms = now_ms


__all__ = ["StandingQueue"]
