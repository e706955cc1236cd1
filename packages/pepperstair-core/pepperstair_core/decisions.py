"""The log of the daemon's recent decisions, which explain its behaviour."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import Final

from msgspec import Struct

N_DECISIONS_MAX: Final = 1000


class DecisionKind(StrEnum):
    """The kinds of decisions that a daemon records."""

    EJECTED = "ejected"
    ABSENT = "absent"
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
    READ = "read"


class Decision(Struct, frozen=True):
    """One decision: its subject, its cause and the figures that it is based on.

    `at_ms` is the time of day, in milliseconds since the epoch.
    """

    at_ms: int
    kind: DecisionKind
    subject: str
    cause: str
    figures: tuple[tuple[str, float], ...] = ()


class DecisionLog:
    """A ring buffer of decisions; a new one evicts the oldest when it is full.

    `now_ms` returns the time of day, in milliseconds since the epoch.

    >>> decisions = DecisionLog(lambda: 1_767_225_600_000)
    >>> decisions.record(DecisionKind.EJECTED, "ledger-1", "5 errors")
    >>> [decision.cause for decision in decisions.find("ledger-1")]
    ['5 errors']
    """

    def __init__(self, now_ms: Callable[[], int], n_max: int = N_DECISIONS_MAX) -> None:
        self._now_ms = now_ms
        self._ring: deque[Decision] = deque(maxlen=n_max)

    def record(
        self,
        kind: DecisionKind,
        subject: str,
        cause: str,
        figures: tuple[tuple[str, float], ...] = (),
    ) -> None:
        """Append a decision that was made now."""
        self._ring.append(Decision(self._now_ms(), kind, subject, cause, figures))

    def find(self, subject: str = "") -> Iterator[Decision]:
        """Yield the decisions about a subject, or all of them, oldest first."""
        for decision in self._ring:
            if not subject or decision.subject == subject:
                yield decision


__all__ = ["N_DECISIONS_MAX", "Decision", "DecisionKind", "DecisionLog"]
