"""An HTTP/1.1 server on h11: one handler call for each request."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

import structlog

from .connection import ServerConnection
from .exchange import Handler

log = structlog.get_logger(__name__)

_N_SWEEPS_PER_TIMEOUT: Final = 4


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What one server takes from its clients.

    The head of a request may take `header_timeout_ms`, or as long as a client
    may stay silent where that is 0.
    """

    n_connections_max: int = 1000
    header_max_bytes: int = 16_384
    idle_timeout_ms: int = 60_000
    header_timeout_ms: int = 0

    @property
    def head_limit_s(self) -> float:
        """Return how long the head of a request may take."""
        return (self.header_timeout_ms or self.idle_timeout_ms) / 1000

    @property
    def sweep_interval_s(self) -> float:
        """Return how often stalled connections are looked for."""
        shortest_s = min(self.idle_timeout_ms / 1000, self.head_limit_s)
        return shortest_s / _N_SWEEPS_PER_TIMEOUT


@dataclass(slots=True)
class ServerCounters:
    """What a server met, for metrics."""

    n_connections: int = 0
    n_refused: int = 0
    n_malformed: int = 0
    n_stalled: int = 0


class HttpServer:
    """Listens on one address and hands each request to the handler."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self.handler = handler
        self.limits = limits
        self.counters = ServerCounters()
        self.connections: set[ServerConnection] = set()
        self.is_draining = False
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> int:
        """Start listening and return the port, chosen by the system for 0."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), host, port, backlog=1024
        )
        self._schedule_sweep()
        return self._server.sockets[0].getsockname()[1]

    def ask_to_leave(self) -> None:
        """Serve on, but ask the client of each answer to close its connection.

        Clients are told elsewhere that this daemon leaves and need a while to
        hear it. One whose connection was refused or closed meanwhile would
        see an error for a request that could still be served.
        """
        self.is_draining = True

    def drain(self) -> None:
        """Take no further connections and close the open ones when they are idle.

        An answer that is still to come goes out whole, with `connection: close`.
        """
        self.is_draining = True
        self._stop_listening()
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._stop_listening()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.close()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    def _schedule_sweep(self) -> None:
        """Look for stalled connections a few times in each idle timeout.

        One timer for all: a timer for each connection would be set and
        cancelled twice for each request.
        """
        loop = asyncio.get_running_loop()
        delay_s = self.limits.sweep_interval_s
        self._sweep_timer = loop.call_later(delay_s, self._sweep)

    def _sweep(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            if connection.close_if_stalled(now_s):
                self.counters.n_stalled += 1
        self._schedule_sweep()


__all__ = ["HttpServer", "ServerCounters", "ServerLimits"]
