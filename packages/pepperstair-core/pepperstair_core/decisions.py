"""The log of the daemon's recent decisions, which explain its behaviour."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from enum import StrEnum
from typing import Final

from msgspec import Struct

N_DECISIONS_MAX: Final = 1000


class DecisionKind(StrEnum):
    """The kinds of decisions that a daemon records."""

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
    ROLLOUT = "rollout"


class Decision(Struct, frozen=True):
    """One decision: its subject, its cause and the figures that it is based on."""

    at_ms: int
    kind: DecisionKind
    subject: str
    cause: str
    figures: tuple[tuple[str, float], ...] = ()


class DecisionLog:
    """A ring buffer of decisions; a new one evicts the oldest when it is full.

    >>> decisions = DecisionLog()
    >>> decisions.add(Decision(0, DecisionKind.EJECTED, "ledger-1", "5 errors"))
    >>> [decision.cause for decision in decisions.find("ledger-1")]
    ['5 errors']
    """

    def __init__(self, n_max: int = N_DECISIONS_MAX) -> None:
        self._ring: deque[Decision] = deque(maxlen=n_max)

    def add(self, decision: Decision) -> None:
        """Append a decision."""
        self._ring.append(decision)

    def find(self, subject: str = "") -> Iterator[Decision]:
        """Yield the decisions about a subject, or all of them, oldest first."""
        for decision in self._ring:
            if not subject or decision.subject == subject:
                yield decision


__all__ = ["N_DECISIONS_MAX", "Decision", "DecisionKind", "DecisionLog"]
