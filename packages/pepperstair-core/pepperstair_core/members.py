"""Member records: the daemons of the fleet and their targets.

Each daemon owns one record with its identity, its addresses and the targets that it
serves. Only the owner writes the record. Other daemons forward it and may mark it as
suspect, which the owner refutes with a higher incarnation.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING, Final

from msgspec.structs import replace

from .array_record import ArrayRecord

if TYPE_CHECKING:
    from .labels import Labels


# Label that distinguishes the starts of a target that keeps its name. It is a label and
# not a field, because older daemons reject records with additional fields.
START_LABEL: Final = "start"
# Label with the version of a target's software.
VERSION_LABEL: Final = "version"


class MemberState(IntEnum):
    """The state of a member; within an incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class TargetState(StrEnum):
    """The state that a target announces for itself."""

    SERVING = "serving"
    DRAINING = "draining"
    COLD = "cold"


class Target(ArrayRecord):
    """A back end that announced itself to the daemon of its VM.

    `labels` are the VM's labels, overridden by the target's own ones.
    """

    name: str
    address: str
    labels: tuple[tuple[str, str], ...]
    n_slots: int
    n_connections_max: int
    state: TargetState

    def label(self, name: str) -> str:
        """Return the value of a label, or an empty string."""
        return next((value for key, value in self.labels if key == name), "")


class Member(ArrayRecord):
    """The record of one daemon.

    `incarnation` rises with each start or refutation, `sequence` with each change of
    the record within an incarnation. `operators_address` is the address at which the
    command line queries the daemon for fleet-wide reports. `link_mbps` is the
    bandwidth of the VM's link in Mbit/s, 0 if unknown.
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
        """Return the sort key among the records of one VM; the highest is current.

        A suspicion or departure outranks every sequence of its incarnation, so a
        stale record that arrives late cannot make the member usable again.
        """
        return (self.incarnation, int(self.state), self.sequence)

    @property
    def is_usable(self) -> bool:
        """Return whether calls may still be sent to this member."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberRank(ArrayRecord):
    """Identifies the member record that a daemon holds, without its contents."""

    vm: str
    incarnation: int
    state: MemberState
    sequence: int

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the sort key among the records of one VM; the highest is current."""
        return (self.incarnation, int(self.state), self.sequence)


def is_newer(known: Member | None, received: Member) -> bool:
    """Return whether a received record replaces the known one."""
    return known is None or received.rank > known.rank


def with_state(member: Member, state: MemberState) -> Member:
    """Return the record with the state that another daemon assigns to it."""
    return replace(member, state=state)


def label_items(labels: Labels) -> tuple[tuple[str, str], ...]:
    """Return labels as the sorted tuple of pairs that records contain."""
    return tuple(sorted(labels.items()))


__all__ = [
    "START_LABEL",
    "VERSION_LABEL",
    "Member",
    "MemberRank",
    "MemberState",
    "Target",
    "TargetState",
    "with_state",
    "label_items",
    "is_newer",
]
