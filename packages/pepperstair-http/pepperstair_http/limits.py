"""Limits that a server applies to its clients, and its counters."""

from __future__ import annotations

from typing import Final

import structlog
from msgspec import Struct, field

log = structlog.get_logger(__name__)

_N_SWEEPS_PER_TIMEOUT: Final = 4


class PipelineLimits(Struct, frozen=True):
    """Limits on the requests that a client pipelines on one connection.

    Up to `n_requests_max` requests run concurrently. Up to `request_max_bytes` of
    further requests are buffered behind them, and no further request begins while
    more than `answer_max_bytes` of answers wait for an earlier answer.
    """

    n_requests_max: int = 16
    request_max_bytes: int = 65_536
    answer_max_bytes: int = 1_048_576


class ServerLimits(Struct, frozen=True):
    """Limits of one server on its clients.

    The head of a request must arrive within `header_timeout_ms`, or within
    `idle_timeout_ms` if `header_timeout_ms` is 0.
    """

    n_connections_max: int = 1000
    header_max_bytes: int = 16_384
    idle_timeout_ms: int = 60_000
    header_timeout_ms: int = 0
    pipelining: PipelineLimits = field(default_factory=PipelineLimits)

    @property
    def head_timeout_s(self) -> float:
        """Return the time within which the head of a request must arrive."""
        return (self.header_timeout_ms or self.idle_timeout_ms) / 1000

    @property
    def sweep_interval_s(self) -> float:
        """Return the interval between checks for stalled connections."""
        shortest_s = min(self.idle_timeout_ms / 1000, self.head_timeout_s)
        return shortest_s / _N_SWEEPS_PER_TIMEOUT


class ServerCounters(Struct):
    """Counters of a server's connections and requests, for metrics.

    `n_ahead` counts requests that began before an earlier request of their
    connection was answered, `n_dropped` requests that were read but never began.
    """

    n_connections: int = 0
    n_refused: int = 0
    n_malformed: int = 0
    n_stalled: int = 0
    n_ahead: int = 0
    n_dropped: int = 0


__all__ = ["PipelineLimits", "ServerCounters", "ServerLimits"]
