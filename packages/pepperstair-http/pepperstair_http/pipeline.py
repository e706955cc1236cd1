"""HTTP pipelining: the requests of one connection that are not answered yet.

A client may send further requests before the first one is answered (RFC 9112,
section 9.3.2). If they run concurrently, together they take only as long as the
slowest one. Answers are still written in the order of the requests: only the first
unanswered request may write to the connection.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, Protocol, TypeVar

import structlog

log = structlog.get_logger(__name__)


class Pending(Protocol):
    """The properties of a request that decide when it may begin."""

    is_started: bool

    @property
    def is_complete(self) -> bool:
        """Return whether the whole request has arrived."""

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may safely run twice."""

    @property
    def n_body_bytes(self) -> int:
        """Return the number of buffered bytes of the request body."""

    @property
    def n_waiting_answer_bytes(self) -> int:
        """Return the number of answer bytes held back until earlier answers end."""


PendingT = TypeVar("PendingT", bound=Pending)


class Pipeline(Generic[PendingT]):
    """The unanswered requests of one connection in their order.

    A request that must not run twice begins only once all earlier requests are
    answered, and later requests wait for its answer. If it began earlier and an
    earlier answer closed the connection, its client would assume that it was not
    processed and send it again, so that it would run twice. Later requests wait
    because they may depend on the changes that it makes.
    """

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: deque[PendingT] = deque()

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def first(self) -> PendingT | None:
        """Return the only request that may write its answer, or None."""
        return self._requests[0] if self._requests else None

    @property
    def newest(self) -> PendingT | None:
        """Return the last request received, or None."""
        return self._requests[-1] if self._requests else None

    def add(self, request: PendingT) -> None:
        """Append the next request of the connection."""
        self._requests.append(request)

    def remove_first(self) -> None:
        """Remove the first request after its answer has been written."""
        self._requests.popleft()

    def remove_newest(self) -> None:
        """Remove the last request, whose remaining bytes are malformed."""
        self._requests.pop()

    def startable(self) -> list[PendingT]:
        """Return the requests that may begin now, in order."""
        found: list[PendingT] = []
        before: PendingT | None = None
        for request in self._requests:
            if before is not None and not before.is_repeatable:
                break
            if not request.is_started:
                may_overtake = request.is_complete and request.is_repeatable
                if before is not None and not may_overtake:
                    break
                found.append(request)
            before = request
        return found

    def drop_unstarted(self) -> int:
        """Remove the requests that have not begun and return their number."""
        n_before = len(self._requests)
        while self._requests and not self._requests[-1].is_started:
            self._requests.pop()
        return n_before - len(self._requests)

    def is_last_started(self, request: PendingT) -> bool:
        """Return whether no request that follows `request` has begun."""
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

        Pipelined requests and the answers that wait for earlier ones are held in
        memory; without limits, a single client could exhaust the memory.
        """
        n_requests = len(self._requests)
        if not n_requests:
            return True
        if n_requests >= n_requests_max:
            return False
        n_bytes = sum(item.n_body_bytes for item in self._requests)
        if n_bytes > request_max_bytes:
            return False
        return (
            sum(item.n_waiting_answer_bytes for item in self._requests)
            <= answer_max_bytes
        )


__all__ = ["Pending", "Pipeline"]
