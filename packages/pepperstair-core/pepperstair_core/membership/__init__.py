"""Membership decisions: the member directory, liveness and neighbour choice."""

from __future__ import annotations

from .actions import Action, Close, Dial, MemberChanged, Send
from .directory import MemberDirectory
from .membership import Membership
from .neighbours import choose_neighbours
from .pause import PauseDetector
from .rows import MemberRow, RowSweep, is_sweeper

__all__ = [
    "Action",
    "Close",
    "Dial",
    "MemberChanged",
    "MemberDirectory",
    "MemberRow",
    "Membership",
    "PauseDetector",
    "RowSweep",
    "Send",
    "choose_neighbours",
    "is_sweeper",
]
