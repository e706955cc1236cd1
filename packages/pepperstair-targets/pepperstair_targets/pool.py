"""Kept connections to one target."""

from __future__ import annotations

from collections import deque

import structlog

from pepperstair_core.config import parse_address
from pepperstair_http import ClientConnection, connect

log = structlog.get_logger(__name__)


class ConnectionPool:
    """Connections to a target, reused where an answer was read to its end."""

    def __init__(self, address: str) -> None:
        self._host, self._port = parse_address(address)
        self._idle: deque[ClientConnection] = deque()

    async def take(self) -> ClientConnection:
        """Return a usable connection, or raise OSError."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return await connect(self._host, self._port)

    def give_back(self, connection: ClientConnection) -> None:
        """Keep a connection for the next call, if it may carry one."""
        if connection.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()


__all__ = ["ConnectionPool"]
