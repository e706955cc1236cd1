"""What the membership decisions ask the control plane to do."""

from __future__ import annotations

from dataclasses import dataclass

from ..members import Member
from ..wire.control import ControlFrame


@dataclass(frozen=True, slots=True)
class Send:
    """Send a frame to a neighbour."""

    vm: str
    frame: ControlFrame


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a control stream to an address."""

    address: str


@dataclass(frozen=True, slots=True)
class Close:
    """Close the control stream to a VM."""

    vm: str


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A record was replaced by a newer one; `before` is None for a new member."""

    before: Member | None
    member: Member


Action = Send | Dial | Close | MemberChanged

__all__ = ["Action", "Close", "Dial", "MemberChanged", "Send"]
