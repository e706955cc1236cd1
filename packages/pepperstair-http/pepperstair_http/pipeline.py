"""The requests of one connection that are not answered yet.

A client may send further requests before the first one is answered (RFC 9112,
section 9.3.2). Carried side by side they take as long as the slowest one. Answers
still go out in the order of the requests: the first request of the line owns the
connection's writing side.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, Protocol, TypeVar

import structlog

log = structlog.get_logger(__name__)


class Pending(Protocol):
    """A request as far as its place among the others of its connection goes."""

    is_started: bool

    @property
    def is_whole(self) -> bool:
        """Return whether the request has arrived to its end."""

    @property
    def is_repeatable(self) -> bool:
        """Return whether running it twice does no harm."""

    @property
    def n_body_bytes(self) -> int:
        """Return how many bytes of its body are held."""

    @property
    def n_held_bytes(self) -> int:
        """Return how many bytes of its answer wait for their turn."""


PendingT = TypeVar("PendingT", bound=Pending)


class Pipeline(Generic[PendingT]):
    """The requests of one connection in their order, and which may begin.

    A request that must not run twice waits until all before it are answered, and
    those behind it wait for its answer. Begun earlier, it would be lost where an
    answer before it closes the connection: its client holds it for unread then and
    sends it again, and it would run twice. Those behind it may depend on what it
    changes, as if they had been sent one by one.
    """

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: deque[PendingT] = deque()

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def first(self) -> PendingT | None:
        """Return the request that owns the writing side, or None."""
        return self._requests[0] if self._requests else None

    @property
    def newest(self) -> PendingT | None:
        """Return the request that came last, or None."""
        return self._requests[-1] if self._requests else None

    def add(self, request: PendingT) -> None:
        """Take the next request of the connection."""
        self._requests.append(request)

    def remove_first(self) -> None:
        """Take out the first request, as its answer has been written."""
        self._requests.popleft()

    def remove_newest(self) -> None:
        """Take out the request that came last, as the rest of it is malformed."""
        self._requests.pop()

    def startable(self) -> list[PendingT]:
        """Return the requests that may begin now, in their order."""
        found: list[PendingT] = []
        before: PendingT | None = None
        for request in self._requests:
            if before is not None and not before.is_repeatable:
                break
            if not request.is_started:
                is_free = request.is_whole and request.is_repeatable
                if before is not None and not is_free:
                    break
                found.append(request)
            before = request
        return found

    def drop_waiting(self) -> int:
        """Take out the requests that have not begun; return how many there were."""
        n_before = len(self._requests)
        while self._requests and not self._requests[-1].is_started:
            self._requests.pop()
        return n_before - len(self._requests)

    def is_last_started(self, request: PendingT) -> bool:
        """Return whether no request behind this one has begun."""
        for other in reversed(self._requests):
            if other is request:
                return True
            if other.is_started:
                return False
        return True

    def has_room(
        self, n_requests_max: int, request_max_bytes: int, answer_max_bytes: int
    ) -> bool:
        """Return whether one more request may be read.

        What was sent ahead waits in memory, and so do answers that came before
        their turn; without a bound one client could fill it.
        """
        n_requests = len(self._requests)
        if not n_requests:
            return True
        if n_requests >= n_requests_max:
            return False
        n_bytes = sum(item.n_body_bytes for item in self._requests)
        if n_bytes > request_max_bytes:
            return False
        return sum(item.n_held_bytes for item in self._requests) <= answer_max_bytes


__all__ = ["Pending", "Pipeline"]
