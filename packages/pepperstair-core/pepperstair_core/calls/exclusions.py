"""The targets that get no calls although the records of members list them."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..members import Member
from .absent_targets import AbsentTargets
from .leaving_targets import LeavingTargets
from .target_group import TargetKey


class TargetExclusions:
    """The targets that are left out as absent or leaving.

    An exclusion may end by time, without any event. The endpoints have to be built
    again once `is_due` is true, or the target would stay left out until a member
    changes.
    """

    def __init__(self) -> None:
        self.leaving = LeavingTargets()
        self.absent = AbsentTargets()
        self._end_ms = math.inf

    def excluded(
        self, member_of: Callable[[str], Member | None], now_ms: float
    ) -> frozenset[TargetKey]:
        """Return the keys of the excluded targets, and note when the next one ends."""
        excluded = self.leaving.excluded(member_of, now_ms)
        excluded |= self.absent.excluded(member_of, now_ms)
        ends_ms = (self.leaving.next_end_ms(), self.absent.next_end_ms(now_ms))
        self._end_ms = min(ends_ms)
        return excluded

    def is_due(self, now_ms: float) -> bool:
        """Return whether an exclusion has ended since the last call of `excluded`."""
        return now_ms >= self._end_ms


__all__ = ["TargetExclusions"]
