"""Actions that the membership decisions request from the control plane."""

from __future__ import annotations

from msgspec import Struct

from ..members import Member
from ..wire.control import ControlFrame


class Send(Struct, frozen=True):
    """Send a frame to a neighbour."""

    vm: str
    frame: ControlFrame


class Dial(Struct, frozen=True):
    """Open a control stream to an address."""

    address: str


class Close(Struct, frozen=True):
    """Close the control stream to a VM."""

    vm: str


class MemberChanged(Struct, frozen=True):
    """Report that a newer record was stored; `before` is None for a new member."""

    before: Member | None
    member: Member


Action = Send | Dial | Close | MemberChanged

__all__ = ["Action", "Close", "Dial", "MemberChanged", "Send"]
