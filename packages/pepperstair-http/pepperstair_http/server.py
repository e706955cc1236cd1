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

# Connections that wait to be accepted, as after a restart of all daemons.
BACKLOG: Final = 1024


class HttpServer:
    """Listens on one address and hands each request to the handler.

    `is_repeatable` says which requests may run side by side with others that their
    client has sent on the same connection; those with a safe method where it is
    left out.
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
        """Return what the server takes from its clients."""
        return self.state.limits

    @limits.setter
    def limits(self, limits: ServerLimits) -> None:
        self.state.limits = limits

    @property
    def is_draining(self) -> bool:
        """Return whether connections end with their next answer."""
        return self.state.is_draining

    @is_draining.setter
    def is_draining(self, is_draining: bool) -> None:
        self.state.is_draining = is_draining

    @property
    def counters(self) -> ServerCounters:
        """Return what the server has met."""
        return self.state.counters

    @property
    def connections(self) -> set[OpenConnection]:
        """Return the connections that are open."""
        return self.state.connections

    async def listen(
        self, host: str, port: int, opened: socket.socket | None = None
    ) -> int:
        """Start listening and return the port, chosen by the system for 0.

        Where a socket at the address is `opened` already, it is taken over with the
        connections that wait there.
        """
        loop = asyncio.get_running_loop()
        where = {"sock": opened} if opened else {"host": host, "port": port}
        self._server = await loop.create_server(
            lambda: ServerConnection(self.state), backlog=BACKLOG, **where
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


__all__ = ["HttpServer"]
