"""Proofs that the version in force of a followed document is the newest.

A proof states that at a moment on this daemon's own clock no version above a given one
had been accepted. It holds for every later version too, so a daemon that puts a newer
version in force keeps its proofs. A proof comes from a read of the table, which counts
from its start, or from a neighbour's answer to a question, which counts from the
question: delays, pauses and late frames only make a proof older than it could be.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum, auto
from typing import Final

from msgspec import Struct

# Age of a proof, as a share of its limit, above which a neighbour is asked for a newer
# one.
ASK_SHARE: Final = 0.25
# Age of a proof, as a share of its limit, above which this daemon reads the table. Each
# daemon adds a random part of `READ_SPREAD_SHARE`, as others may lack a proof too.
READ_SHARE: Final = 0.6
READ_SPREAD_SHARE: Final = 0.1
# Minimum difference by which a neighbour's confirmation has to be newer than the proof
# for a question.
NEWER_MIN_MS: Final = 250.0
# Minimum time between two questions.
ASK_INTERVAL_MS: Final = 250.0
# Numbers of proofs and questions that are kept. One proof is usually enough; more are
# needed while neighbours prove a version that has not arrived here yet.
N_PROOFS_MAX: Final = 4
N_QUESTIONS_MAX: Final = 8


class Proof(Struct, frozen=True):
    """At `as_of_ms`, no version above `version` had been accepted."""

    version: int
    as_of_ms: float


class FreshnessProof:
    """The newest proofs, from which the age of the version in force follows.

    >>> proof = FreshnessProof()
    >>> proof.prove(7, 1000.0)
    True
    >>> proof.age_ms(7, 1500.0), proof.age_ms(8, 1500.0), proof.age_ms(6, 1500.0)
    (500.0, 500.0, inf)
    """

    __slots__ = ("_proofs",)

    def __init__(self) -> None:
        # In ascending order of version and of moment.
        self._proofs: list[Proof] = []

    def prove(self, version: int, as_of_ms: float) -> bool:
        """Record a proof and return whether it adds to the earlier ones."""
        known = self.newest(version)
        if known is not None and known.as_of_ms >= as_of_ms:
            return False
        kept = [
            proof
            for proof in self._proofs
            if proof.version < version or proof.as_of_ms > as_of_ms
        ]
        kept.append(Proof(version, as_of_ms))
        kept.sort(key=lambda proof: proof.version)
        self._proofs = kept[-N_PROOFS_MAX:]
        return True

    def newest(self, version: int) -> Proof | None:
        """Return the newest proof that holds for a version, None if there is none."""
        for proof in reversed(self._proofs):
            if proof.version <= version:
                return proof
        return None

    def age_ms(self, version: int, now_ms: float) -> float:
        """Return the age of the newest proof for a version, infinity without one."""
        proof = self.newest(version)
        return math.inf if proof is None else max(0.0, now_ms - proof.as_of_ms)


class VersionBasis(Struct, frozen=True):
    """What a daemon knows of the version by which it routes.

    `learnt_from` is where the version came from and `confirmed_by` where the last
    confirmation that it was the newest came from: the platform or a neighbour's VM.
    `in_force_ms` is the time since it is in force, and `confirmed_age_ms` the age of
    that confirmation, -1 if there is none. `announced_version` is the newest version
    that a neighbour has announced. `bound_ms` is the time within which a version has to
    be in force, 0 if there is none.

    >>> basis = VersionBasis(8, "vm-2", 4_000, "platform", 2_600, 8, 2_500)
    >>> basis.may_be_superseded
    True
    """

    version: int
    learnt_from: str
    in_force_ms: int
    confirmed_by: str
    confirmed_age_ms: int
    announced_version: int = 0
    bound_ms: float = 0.0

    @property
    def may_be_superseded(self) -> bool:
        """Return whether a newer version may have to be in force by now."""
        if self.announced_version > self.version:
            return True
        is_confirmed = 0 <= self.confirmed_age_ms <= self.bound_ms
        return self.bound_ms > 0.0 and not is_confirmed


class RowShown(Enum):
    """What an answer of the table shows of the document's row."""

    NOTHING = auto()
    IN_FORCE = auto()
    REJECTED = auto()
    OTHER = auto()


class ReadStart(Struct, frozen=True):
    """The state at the start of a read; `position` is None for all rows.

    `is_shown` states whether the table showed the version in force, or an older one, as
    the newest at that position.
    """

    at_ms: float
    version: int
    position: int | None
    is_shown: bool


class ReadProver:
    """Derives proofs from this daemon's own reads of the table.

    `position` is the last position at which this daemon has read the table, None before
    the first read and after the position went back; then all rows have to be read.
    Positions of neighbours prove nothing, as they may be those of rejected versions.
    """

    def __init__(self) -> None:
        self._is_shown = False
        # All versions up to this number are known, or were rejected.
        self._known_number = 0
        self.position: int | None = None

    def start(self, now_ms: float, version: int, position: int | None) -> ReadStart:
        """Return the state at the start of a read."""
        is_covered = None not in (position, self.position) and position <= self.position
        return ReadStart(now_ms, version, position, self._is_shown and is_covered)

    def finish(
        self,
        start: ReadStart,
        position: int,
        shown: RowShown,
        version: int,
        rejected_number: int | None = None,
        is_superseded: bool = False,
    ) -> Proof | None:
        """Return what the answer to a read proves, or None.

        `position` is the table's position in the answer, and `version` the version in
        force after it. A row with an older version, with another document of the same
        version or without a document proves nothing. A rejected document removes no
        key, but it may have replaced a valid one that was never shown here. So the
        version in force still counts as the newest only if the number of the rejected
        one, `rejected_number`, follows the newest known one, and no other daemon has
        put a newer version in force (`is_superseded`).
        """
        if start.position is not None and position < start.position:
            self.position = None
            return None
        if shown is RowShown.NOTHING and start.position is not None:
            if not start.is_shown:
                return None
            if self.position is not None:
                self.position = max(self.position, position)
            return None if is_superseded else Proof(start.version, start.at_ms)
        if self.position is not None and position < self.position:
            # A read that was overtaken by another one.
            return None
        self.position = position
        self._known_number = max(self._known_number, version)
        self._is_shown = shown is RowShown.IN_FORCE
        if shown is RowShown.REJECTED and rejected_number is not None:
            self._is_shown = rejected_number <= self._known_number + 1
            if self._is_shown:
                self._known_number = max(self._known_number, rejected_number)
        if not self._is_shown or (shown is RowShown.REJECTED and is_superseded):
            return None
        return Proof(version, start.at_ms)


class ProofQuestions:
    """This daemon's questions to its neighbours for a newer proof.

    An answer counts from its question, whenever it arrives.
    """

    def __init__(self) -> None:
        self._n_asked = 0
        self._asked_ms = -math.inf
        self._asked_vm = ""
        # Maps the number of each open question to its neighbour and its time.
        self._open: OrderedDict[int, tuple[str, float]] = OrderedDict()

    def may_ask(self, now_ms: float) -> bool:
        """Return whether enough time has passed since the last question."""
        return now_ms - self._asked_ms >= ASK_INTERVAL_MS

    def next_vm(self, neighbours: Iterable[str]) -> str | None:
        """Return the neighbour to ask next, each one in its turn."""
        ordered = sorted(neighbours)
        later = [vm for vm in ordered if vm > self._asked_vm]
        return next(iter(later or ordered), None)

    def ask(self, vm: str, now_ms: float) -> int:
        """Record a question to a neighbour and return its number."""
        self._n_asked += 1
        self._asked_ms, self._asked_vm = now_ms, vm
        self._open[self._n_asked] = (vm, now_ms)
        while len(self._open) > N_QUESTIONS_MAX:
            self._open.popitem(last=False)
        return self._n_asked

    def read_answer(
        self, vm: str, number: int, version: int, age_ms: int
    ) -> Proof | None:
        """Return what a neighbour's answer proves, or None."""
        asked_vm, asked_ms = self._open.get(number, ("", 0.0))
        if asked_vm != vm or age_ms < 0:
            return None
        return Proof(version, asked_ms - age_ms)


__all__ = [
    "ASK_INTERVAL_MS",
    "ASK_SHARE",
    "NEWER_MIN_MS",
    "READ_SHARE",
    "READ_SPREAD_SHARE",
    "FreshnessProof",
    "Proof",
    "ProofQuestions",
    "ReadProver",
    "ReadStart",
    "RowShown",
    "VersionBasis",
]
