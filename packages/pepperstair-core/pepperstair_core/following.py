"""Which versions of a document that is kept elsewhere are put in force.

Operators write the whole configuration into one row of a store and number its
versions themselves. A daemon follows that row; what it reads may come late, out
of order, twice, or broken.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from msgspec import Struct
from result import Result

from .intent import Intent
from .schema import Fault


class CallerLimits(Struct, frozen=True):
    """What callers may send and how long they may take; sizes in bytes."""

    header_max_bytes: int
    body_max_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class FollowedDocument(Struct, frozen=True):
    """One whole version of the followed document, read and checked."""

    version: int
    intent: Intent
    limits: CallerLimits
    data: bytes


DocumentReader = Callable[[bytes], Result[FollowedDocument, list[Fault]]]


class OfferResult(Enum):
    """What became of a document that was offered."""

    IN_FORCE = auto()
    OLDER = auto()
    REJECTED = auto()
    REJECTED_BEFORE = auto()


class FollowedDocumentState:
    """The version in force, which only ever rises, and the last bad document.

    A proxy that went back to an older version would send requests to services
    that the operators have just moved them away from. A document that can't be
    read leaves the last good one in force as a whole.
    """

    def __init__(self, read: DocumentReader) -> None:
        self._read = read
        self._rejected = b""
        self.document: FollowedDocument | None = None
        self.faults: list[Fault] = []

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        return 0 if self.document is None else self.document.version

    def offer(self, data: bytes) -> OfferResult:
        """Take a document from wherever it came and say what became of it."""
        if self.document is not None and data == self.document.data:
            return OfferResult.OLDER
        if data == self._rejected:
            return OfferResult.REJECTED_BEFORE
        read = self._read(data)
        if read.is_err():
            self._rejected = data
            self.faults = read.unwrap_err()
            return OfferResult.REJECTED
        document = read.unwrap()
        if document.version <= self.version:
            return OfferResult.OLDER
        self.document = document
        return OfferResult.IN_FORCE


__all__ = [
    "CallerLimits",
    "DocumentReader",
    "FollowedDocument",
    "FollowedDocumentState",
    "OfferResult",
]
