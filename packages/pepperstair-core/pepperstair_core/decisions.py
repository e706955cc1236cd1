"""The daemon's recent decisions, kept so that it can explain itself."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from enum import StrEnum
from typing import Final

from msgspec import Struct

N_DECISIONS_MAX: Final = 1000


class DecisionKind(StrEnum):
    """What a daemon decided."""

    EJECTED = "ejected"
    REFUSED = "refused"
    RETRIED = "retried"
    SUSPECTED = "suspected"
    GONE = "gone"
    REFUTED = "refuted"
    PAUSED = "paused"
    PULLED = "pulled"
    CAUGHT_UP = "caught_up"
    IN_FORCE = "in_force"
    REJECTED = "rejected"
    CONFLICT = "conflict"
    QUARANTINED = "quarantined"


class Decision(Struct, frozen=True):
    """One decision: about what, why, and the figures it was made on."""

    at_ms: int
    kind: DecisionKind
    subject: str
    cause: str
    figures: tuple[tuple[str, float], ...] = ()


class DecisionLog:
    """A bounded ring: the newest decisions push the oldest ones out.

    >>> decisions = DecisionLog()
    >>> decisions.add(Decision(0, DecisionKind.EJECTED, "ledger-1", "5 errors"))
    >>> [decision.cause for decision in decisions.find("ledger-1")]
    ['5 errors']
    """

    def __init__(self, n_max: int = N_DECISIONS_MAX) -> None:
        self._ring: deque[Decision] = deque(maxlen=n_max)

    def add(self, decision: Decision) -> None:
        """Keep a decision."""
        self._ring.append(decision)

    def find(self, subject: str = "") -> Iterator[Decision]:
        """Yield the decisions about a subject, or all, oldest first."""
        for decision in self._ring:
            if not subject or decision.subject == subject:
                yield decision


__all__ = ["N_DECISIONS_MAX", "Decision", "DecisionKind", "DecisionLog"]
