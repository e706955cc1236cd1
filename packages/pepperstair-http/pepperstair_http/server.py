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
    """What one server takes from its clients."""

    n_connections_max: int = 1000
    header_max_bytes: int = 16_384
    idle_timeout_ms: int = 60_000


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
        delay_s = self.limits.idle_timeout_ms / 1000 / _N_SWEEPS_PER_TIMEOUT
        self._sweep_timer = loop.call_later(delay_s, self._sweep)

    def _sweep(self) -> None:
        before_s = asyncio.get_running_loop().time()
        before_s -= self.limits.idle_timeout_ms / 1000
        for connection in list(self.connections):
            if connection.close_if_stalled(before_s):
                self.counters.n_stalled += 1
        self._schedule_sweep()


__all__ = ["HttpServer", "ServerCounters", "ServerLimits"]
