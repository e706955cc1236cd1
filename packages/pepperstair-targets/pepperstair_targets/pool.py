"""A pool of persistent connections to one target."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

import structlog

from pepperstair_core.config import parse_address
from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, RunStatus
from pepperstair_core.events import Event
from pepperstair_http import ClientConnection, connect

log = structlog.get_logger(__name__)

CONNECT_TIMEOUT_S: Final = 1.0
# Maximum time for which data sent to a target may stay unacknowledged. A target on the
# same VM acknowledges within a millisecond. Half a second allows for a pause of the
# target and is still short compared to the deadline of a call.
UNACKNOWLEDGED_MS: Final = 500
# Timeout of a probe connection. A target on the same VM refuses a connection at once,
# and this daemon notices the refusal within the timeout even if its event loop is busy.
_PROBE_TIMEOUT_S: Final = 0.1
# Maximum idle time of a connection that is reused for a non-idempotent call. If the
# target were just closing the connection, the outcome of the call would be unknown.
# Targets close connections after some seconds without use.
FRESH_IDLE_MAX_S: Final = 1.0
# Time before the expiry of the target's idle timeout at which this daemon stops reusing
# a connection. It is needed because the idle timers of the target and of this daemon
# start at different moments.
_CLOSE_MARGIN_S: Final = 1.0
_IDLE_MAX_S: Final = 60.0


class ConnectionPool:
    """Connections to a target, which are reused after an answer is read to its end.

    A call opens a connection only if none is idle, and the number of running calls
    never exceeds the target's connection limit. The limit therefore holds although
    the connections in use are not counted.
    """

    def __init__(self, address: str, n_connections_max: int) -> None:
        self._host, self._port = parse_address(address)
        self._n_connections_max = n_connections_max
        self._idle: deque[ClientConnection] = deque()
        self._is_closed = False

    @property
    def has_open(self) -> bool:
        """Return whether an idle connection is still open."""
        return any(not connection.is_closed for connection in self._idle)

    def take_idle(self, *, is_fresh_wanted: bool = False) -> ClientConnection | None:
        """Remove and return an idle connection that is still open, or None.

        With `is_fresh_wanted`, it must have been idle for at most `FRESH_IDLE_MAX_S`.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle[-1]
            idle_s = now_s - connection.idle_since_s
            if connection.is_reusable and idle_s <= _idle_max_s(connection):
                if is_fresh_wanted and idle_s > FRESH_IDLE_MAX_S:
                    return None
                return self._idle.pop()
            self._idle.pop().close()
        return None

    async def open(self) -> ClientConnection:
        """Open a connection, or raise TARGET_UNREACHABLE with the run status NO."""
        try:
            return await self._connect(CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            failure = Failure(
                ErrorKind.TARGET_UNREACHABLE, str(error), run=RunStatus.NO
            )
            raise PepperstairError(failure) from error

    async def is_target_gone(self, hold_s: float) -> bool:
        """Return whether no process serves at the target's address any more.

        The probe is a new connection. If this connection stays open for `hold_s`, it
        is added to the pool for the next call.
        """
        try:
            connection = await self._connect(_PROBE_TIMEOUT_S)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError) as error:
            log.info(Event.TARGET_PROBE_FAILED, cause=repr(error))
            return False
        await asyncio.sleep(hold_s)
        is_target_gone = connection.is_closed
        self.release(connection)
        return is_target_gone

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused.

        Closing a connection before its answer is complete signals to the target that
        the rest is not needed.
        """
        has_room = len(self._idle) < self._n_connections_max
        if connection.is_reusable and has_room and not self._is_closed:
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()

    def set_connection_limit(self, n_connections_max: int) -> None:
        """Change the connection limit and close idle connections that exceed it."""
        self._n_connections_max = n_connections_max
        while len(self._idle) > n_connections_max:
            self._idle.popleft().close()

    def close(self) -> None:
        """Close idle connections now and those in use when they are returned."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()

    async def _connect(self, timeout_s: float) -> ClientConnection:
        async with asyncio.timeout(timeout_s):
            connection = await connect(self._host, self._port)
        connection.detect_dead_peer(UNACKNOWLEDGED_MS)
        return connection


def _idle_max_s(connection: ClientConnection) -> float:
    """Return how long a connection may be idle and still be reused."""
    if connection.keep_alive_s is None:
        return _IDLE_MAX_S
    return max(0.0, connection.keep_alive_s - _CLOSE_MARGIN_S)


__all__ = ["ConnectionPool"]
