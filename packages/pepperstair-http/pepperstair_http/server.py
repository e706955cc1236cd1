"""An HTTP/1.1 server on h11: one handler call for each request."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

import structlog

from .connection import ServerConnection
from .exchange import Handler
from .limits import ServerCounters, ServerLimits
from .messages import Request
from .server_state import OpenConnection, ServerState, is_safe

log = structlog.get_logger(__name__)

# Length of the accept queue: many connections arrive at once after a restart of all
# daemons.
BACKLOG: Final = 1024


class HttpServer:
    """Listens on one address and passes each request to the handler.

    `is_repeatable` decides which requests may run concurrently with others on the same
    connection; by default, those with a safe method.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        is_repeatable: Callable[[Request], bool] = is_safe,
    ) -> None:
        self.state = ServerState(handler, limits, is_repeatable)
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def limits(self) -> ServerLimits:
        """Return the limits that apply to clients."""
        return self.state.limits

    @limits.setter
    def limits(self, limits: ServerLimits) -> None:
        self.state.limits = limits

    @property
    def is_draining(self) -> bool:
        """Return whether connections close after their next answer."""
        return self.state.is_draining

    @is_draining.setter
    def is_draining(self, is_draining: bool) -> None:
        self.state.is_draining = is_draining

    @property
    def counters(self) -> ServerCounters:
        """Return the counters of connections and requests."""
        return self.state.counters

    @property
    def connections(self) -> set[OpenConnection]:
        """Return the open connections."""
        return self.state.connections

    async def listen(
        self, host: str, port: int, opened: socket.socket | None = None
    ) -> int:
        """Start listening and return the port; port 0 lets the system choose one.

        `opened` is a socket that already listens at the address. If it is given, the
        server uses this socket, with the connections in its accept queue, and opens
        no other one.
        """
        loop = asyncio.get_running_loop()
        endpoint = {"sock": opened} if opened else {"host": host, "port": port}
        self._server = await loop.create_server(
            lambda: ServerConnection(self.state), backlog=BACKLOG, **endpoint
        )
        self._schedule_sweep()
        return self._server.sockets[0].getsockname()[1]

    def request_connection_close(self) -> None:
        """Continue to serve, but send `connection: close` with answers.

        Clients are notified by other means that this daemon is stopping, and the
        notification takes a while. Until it arrives, a client whose connection was
        refused or closed would get an error for a request that could still be served.
        """
        self.is_draining = True

    def drain(self) -> None:
        """Accept no new connections and close open ones as soon as they are idle.

        Answers in progress are sent to their end, with `connection: close`.
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
        """Schedule the next check for stalled connections.

        A single timer serves all connections: a timer for each connection would be set
        and cancelled twice for each request.
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


__all__ = ["HttpServer"]
