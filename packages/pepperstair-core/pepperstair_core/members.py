"""Members of the fleet and the targets beside them.

Each daemon owns one record: who it is, where it listens and which targets it
serves. Only the owner writes the record; the others pass it on and may add a
suspicion, which the owner refutes with a higher incarnation.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING

from msgspec.structs import replace

from .array_record import ArrayRecord

if TYPE_CHECKING:
    from .labels import Labels


class MemberState(IntEnum):
    """How the fleet sees a member; a higher one wins in the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class TargetState(StrEnum):
    """What a target says of itself."""

    SERVING = "serving"
    DRAINING = "draining"
    COLD = "cold"


class Target(ArrayRecord):
    """A back end that announced itself to the daemon of its VM.

    `labels` already holds the VM's labels below the target's own ones.
    """

    name: str
    address: str
    labels: tuple[tuple[str, str], ...]
    n_slots: int
    n_connections_max: int
    state: TargetState


class Member(ArrayRecord):
    """One daemon as the fleet knows it.

    `incarnation` rises with each start or refutation, `sequence` with each
    change of the record within an incarnation. `operators_address` is where the
    command line reaches the daemon for reports over the fleet, `link_mbps` the pace of
    its VM's link, 0 where that is not known.
    """

    vm: str
    incarnation: int
    sequence: int
    state: MemberState
    availability_zone: str
    peer_address: str
    labels: tuple[tuple[str, str], ...]
    targets: tuple[Target, ...] = ()
    operators_address: str = ""
    link_mbps: float = 0.0

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the order among records of one VM: the highest is current.

        A suspicion or departure outranks every sequence of its incarnation,
        so that an old record that arrives late can't bring a member back.
        """
        return (self.incarnation, int(self.state), self.sequence)

    @property
    def is_usable(self) -> bool:
        """Return whether calls may still be sent to this member."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberRank(ArrayRecord):
    """Which record of a member a daemon holds, without the record itself."""

    vm: str
    incarnation: int
    state: MemberState
    sequence: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the order among records of one VM: the highest is current."""
        return (self.incarnation, int(self.state), self.sequence)


def newer_member(known: Member | None, heard: Member) -> bool:
    """Return whether a record that was heard replaces the known one."""
    return known is None or heard.rank > known.rank


def accuse(member: Member, state: MemberState) -> Member:
    """Return the record with another daemon's doubt about it added."""
    return replace(member, state=state)


def label_items(labels: Labels) -> tuple[tuple[str, str], ...]:
    """Return labels in the frozen, ordered form that records carry."""
    return tuple(sorted(labels.items()))


__all__ = [
    "Member",
    "MemberRank",
    "MemberState",
    "Target",
    "TargetState",
    "accuse",
    "label_items",
    "newer_member",
]
