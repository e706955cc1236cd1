"""What a server takes from its clients, and what it counts of them."""

from __future__ import annotations

from typing import Final

import structlog
from msgspec import Struct, field

log = structlog.get_logger(__name__)

_N_SWEEPS_PER_TIMEOUT: Final = 4


class AheadLimits(Struct, frozen=True):
    """How far the requests of one connection may run ahead of its answers.

    Up to `n_requests_max` are in progress at once. Behind them `request_max_bytes`
    are kept unread, and no further request begins while answers of more than
    `answer_max_bytes` wait for an earlier one.
    """

    n_requests_max: int = 16
    request_max_bytes: int = 65_536
    answer_max_bytes: int = 1_048_576


class ServerLimits(Struct, frozen=True):
    """What one server takes from its clients.

    The head of a request may take `header_timeout_ms`, or as long as a client
    may stay silent where that is 0.
    """

    n_connections_max: int = 1000
    header_max_bytes: int = 16_384
    idle_timeout_ms: int = 60_000
    header_timeout_ms: int = 0
    ahead: AheadLimits = field(default_factory=AheadLimits)

    @property
    def head_limit_s(self) -> float:
        """Return how long the head of a request may take."""
        return (self.header_timeout_ms or self.idle_timeout_ms) / 1000

    @property
    def sweep_interval_s(self) -> float:
        """Return how often stalled connections are looked for."""
        shortest_s = min(self.idle_timeout_ms / 1000, self.head_limit_s)
        return shortest_s / _N_SWEEPS_PER_TIMEOUT


class ServerCounters(Struct):
    """What a server met, for metrics.

    `n_ahead` counts requests that began before an earlier one of their connection
    was answered, `n_dropped` those that were read but never begun.
    """

    n_connections: int = 0
    n_refused: int = 0
    n_malformed: int = 0
    n_stalled: int = 0
    n_ahead: int = 0
    n_dropped: int = 0


__all__ = ["AheadLimits", "ServerCounters", "ServerLimits"]
