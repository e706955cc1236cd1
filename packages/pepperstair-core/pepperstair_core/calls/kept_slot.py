"""The slot of a target that long calls leave to short ones.

Where long calls hold every slot of a target, a short call waits for as long as a long
one takes. So one slot is kept free of long calls after the arrival of a short call, for
the time that a short call takes. Long calls thereby lose about the share of a slot that
short calls use: where these are rare, nearly none.
"""

from __future__ import annotations

import math
from typing import Final

from ..intent import PRIORITIES
from .waiting_calls import RANKS

# Time for which a slot is kept after an arrival, in service times of the short call.
KEPT_SERVICE_TIMES: Final = 1.0


class KeptSlot:
    """Until when a slot is kept, by the priority of the short calls.

    A short call keeps the slot free only of long calls that are not more urgent.

    >>> kept = KeptSlot()
    >>> kept.keep("normal", 100.0, 20.0)
    >>> kept.n_unaffected_ranks(110.0), kept.n_unaffected_ranks(120.0)
    (1, 3)
    """

    __slots__ = ("_until_ms_of", "until_ms")

    def __init__(self) -> None:
        self.until_ms = -math.inf
        self._until_ms_of = [-math.inf] * len(PRIORITIES)

    def keep(self, priority: str, now_ms: float, service_ms: float) -> None:
        """Keep a slot for short calls of a priority, one of which has just arrived."""
        until_ms = now_ms + KEPT_SERVICE_TIMES * service_ms
        rank = RANKS[priority]
        self._until_ms_of[rank] = max(until_ms, self._until_ms_of[rank])
        self.until_ms = max(until_ms, self.until_ms)

    def n_unaffected_ranks(self, now_ms: float) -> int:
        """Return how many priorities, from the most urgent, have no kept slot."""
        if self.until_ms <= now_ms:
            return len(PRIORITIES)
        return next(
            rank for rank, until_ms in enumerate(self._until_ms_of) if until_ms > now_ms
        )


__all__ = ["KeptSlot"]
