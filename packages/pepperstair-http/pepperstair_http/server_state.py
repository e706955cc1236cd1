"""What a server shares with its connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

import structlog
from msgspec import Struct, field

from .exchange import Handler
from .limits import ServerCounters, ServerLimits
from .messages import Request

log = structlog.get_logger(__name__)

# Methods that change nothing (RFC 9110, section 9.2.1).
_SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})


def is_safe(request: Request) -> bool:
    """Return whether the method of a request promises that it changes nothing."""
    return request.method in _SAFE_METHODS


class OpenConnection(Protocol):
    """A client's connection as its server sees it."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress."""

    def close(self) -> None:
        """Close the connection after what was written has been sent."""

    def close_if_stalled(self, now_s: float) -> bool:
        """Close a connection whose client has done nothing for too long."""


class ServerState(Struct):
    """The handler, the limits and what is open now.

    `is_repeatable` says which requests may run side by side with others of their
    connection.
    """

    handler: Handler
    limits: ServerLimits
    is_repeatable: Callable[[Request], bool] = is_safe
    counters: ServerCounters = field(default_factory=ServerCounters)
    connections: set[OpenConnection] = field(default_factory=set)
    is_draining: bool = False


__all__ = ["OpenConnection", "ServerState", "is_safe"]
