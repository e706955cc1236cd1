"""Inputs of the target choice (how calls ended) and the decisions it reports."""

from __future__ import annotations

from enum import Enum, StrEnum, auto

from msgspec import Struct

from .target_group import TargetKey


class EndKind(Enum):
    """The ways in which a call can end that the target choice distinguishes."""

    GOOD = auto()
    ERROR = auto()
    UNREACHABLE = auto()
    REFUSED = auto()
    ABANDONED = auto()


class CallEnd(Struct, frozen=True):
    """The end of a call whose target was chosen at `start_ms`.

    `latency_ms` is the time to the head of its answer, without the wait for a slot;
    `retry_after_ms` is the delay that a refusal requests before a retry, or 0.
    """

    kind: EndKind
    start_ms: float
    latency_ms: float = 0.0
    retry_after_ms: int = 0
    route: str = ""


class Ejection(Struct, frozen=True):
    """An ejected target, with its consecutive errors and the period of the ejection."""

    key: TargetKey
    n_errors: int
    period_ms: float


class CrossZoneCause(StrEnum):
    """Why a call was sent to another availability zone."""

    NO_TARGET = "no target"
    EXCLUDED = "left out"
    FULL = "full"
    SLOW = "slow"


__all__ = ["CallEnd", "EndKind", "Ejection", "CrossZoneCause"]
