"""Selection of the version in force of a document that is stored externally.

Operators write the whole configuration into one row of a store and number its
versions themselves. A daemon follows that row; documents may arrive late, out of
order, repeatedly, or corrupt.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from msgspec import Struct
from result import Result

from .intent import Intent
from .schema import Fault


class CallerLimits(Struct, frozen=True):
    """Size and time limits for callers' requests; sizes in bytes."""

    header_max_bytes: int
    body_max_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class FollowedDocument(Struct, frozen=True):
    """One complete version of the followed document, parsed and validated."""

    version: int
    intent: Intent
    limits: CallerLimits
    data: bytes


DocumentReader = Callable[[bytes], Result[FollowedDocument, list[Fault]]]


class OfferResult(Enum):
    """The result of `FollowedDocumentState.offer`."""

    IN_FORCE = auto()
    OLDER = auto()
    REJECTED = auto()
    REJECTED_BEFORE = auto()


class FollowedDocumentState:
    """The document in force, whose version only increases, and the last rejected one.

    If a proxy returned to an older version, it would send requests to services from
    which the operators have just moved traffic away. If a document can't be parsed, the
    last valid one stays in force as a whole.
    """

    def __init__(self, read: DocumentReader) -> None:
        self._read = read
        self._rejected = b""
        self.document: FollowedDocument | None = None
        self.faults: list[Fault] = []

    @property
    def rejected_data(self) -> bytes:
        """Return the last rejected document, empty if there is none."""
        return self._rejected

    @property
    def version(self) -> int:
        """Return the version in force, 0 if none."""
        return 0 if self.document is None else self.document.version

    def offer(self, data: bytes) -> OfferResult:
        """Put a document in force if it is valid and newer; return the result."""
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
