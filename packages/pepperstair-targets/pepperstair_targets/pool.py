"""Kept connections to one target."""

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
# A target on the own VM acknowledges within a millisecond; half a second leaves
# room for a pause of it and is still short beside the deadline of a call.
UNACKNOWLEDGED_MS: Final = 500
# A refusal from the own VM comes at once, also to a busy loop.
_PROBE_TIMEOUT_S: Final = 0.1
# A call that must not run twice is not sent on a connection that the target
# may just be closing: its outcome would be unknown. Targets close theirs after
# some seconds without use.
FRESH_S: Final = 1.0
# The target's timer and this one start at different moments.
_CLOSE_MARGIN_S: Final = 1.0
_IDLE_MAX_S: Final = 60.0


class ConnectionPool:
    """Connections to a target, reused where an answer was read to its end.

    A call opens a connection only when none is idle, and no more calls run than
    the target takes connections: so the cap holds without counting those in use.
    """

    def __init__(self, address: str, n_connections_max: int) -> None:
        self._host, self._port = parse_address(address)
        self._n_connections_max = n_connections_max
        self._idle: deque[ClientConnection] = deque()
        self._is_closed = False

    @property
    def has_open(self) -> bool:
        """Return whether a kept connection is still open."""
        return any(not connection.is_closed for connection in self._idle)

    def take_idle(self, *, is_fresh_wanted: bool = False) -> ClientConnection | None:
        """Return a kept connection that is still open, or None.

        With `is_fresh_wanted` only one that was in use just now will do.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle[-1]
            idle_s = now_s - connection.idle_since_s
            if connection.is_reusable and idle_s <= _idle_max_s(connection):
                if is_fresh_wanted and idle_s > FRESH_S:
                    return None
                return self._idle.pop()
            self._idle.pop().close()
        return None

    async def open(self) -> ClientConnection:
        """Open a connection; a failure proves that nothing was sent."""
        try:
            return await self._connect(CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            failure = Failure(
                ErrorKind.TARGET_UNREACHABLE, str(error), run=RunStatus.NO
            )
            raise PepperstairError(failure) from error

    async def is_refused(self, hold_s: float) -> bool:
        """Return whether nobody serves at the target's address any more.

        A connection that opens instead, and stays open for `hold_s`, is kept for the
        next call.
        """
        try:
            connection = await self._connect(_PROBE_TIMEOUT_S)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError) as error:
            log.info(Event.TARGET_PROBE_FAILED, cause=repr(error))
            return False
        await asyncio.sleep(hold_s)
        is_refused = connection.is_closed
        self.give_back(connection)
        return is_refused

    def give_back(self, connection: ClientConnection) -> None:
        """Keep a connection for the next call, if it may carry one.

        Closing one whose answer is not whole tells the target that nobody
        waits for the rest.
        """
        has_room = len(self._idle) < self._n_connections_max
        if connection.is_reusable and has_room and not self._is_closed:
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()

    def limit(self, n_connections_max: int) -> None:
        """Take a changed cap, closing idle connections that are over it."""
        self._n_connections_max = n_connections_max
        while len(self._idle) > n_connections_max:
            self._idle.popleft().close()

    def close(self) -> None:
        """Close the idle connections now and the others when they come back."""
        self._is_closed = True
        while self._idle:
            self._idle.pop().close()

    async def _connect(self, timeout_s: float) -> ClientConnection:
        async with asyncio.timeout(timeout_s):
            connection = await connect(self._host, self._port)
        connection.notice_silence(UNACKNOWLEDGED_MS)
        return connection


def _idle_max_s(connection: ClientConnection) -> float:
    """Return for how long a connection may be kept without use."""
    if connection.keep_alive_s is None:
        return _IDLE_MAX_S
    return max(0.0, connection.keep_alive_s - _CLOSE_MARGIN_S)


__all__ = ["ConnectionPool"]
