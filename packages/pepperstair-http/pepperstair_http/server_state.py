"""State that a server shares with its connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

import structlog
from msgspec import Struct, field

from .exchange import Handler
from .limits import ServerCounters, ServerLimits
from .messages import Request

log = structlog.get_logger(__name__)

# Methods without side effects (RFC 9110, section 9.2.1).
_SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})


def is_safe(request: Request) -> bool:
    """Return whether the method of a request is safe, that is, has no side effects."""
    return request.method in _SAFE_METHODS


class OpenConnection(Protocol):
    """The interface of a client's connection to its server."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress."""

    def close(self) -> None:
        """Close the connection once all written data has been sent."""

    def close_if_stalled(self, now_s: float) -> bool:
        """Close the connection if its client stalls; return whether it was closed."""


class ServerState(Struct):
    """The handler, the limits and the open connections of a server.

    `is_repeatable` decides which requests may run concurrently with others of their
    connection.
    """

    handler: Handler
    limits: ServerLimits
    is_repeatable: Callable[[Request], bool] = is_safe
    counters: ServerCounters = field(default_factory=ServerCounters)
    connections: set[OpenConnection] = field(default_factory=set)
    is_draining: bool = False


__all__ = ["OpenConnection", "ServerState", "is_safe"]
