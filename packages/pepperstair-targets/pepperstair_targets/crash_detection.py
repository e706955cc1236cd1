"""Tells a target that has ended from one that broke a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import structlog

from .pool import ConnectionPool
from .target_call import TargetCall

log = structlog.get_logger(__name__)

# The connections of a process that ends close together, and are seen one by one.
_CLOSING_S: Final = 0.002
# A listener that outlives its target closes what it accepts.
_HOLD_S: Final = 0.02


class CrashWatch:
    """The calls that one target is running, and whether it has ended under them.

    `on_ended` is told of its end, with the fingerprints of what was running, and keeps
    further calls from the target.
    """

    def __init__(
        self, pool: ConnectionPool, on_ended: Callable[[tuple[bytes, ...]], None]
    ) -> None:
        self._pool = pool
        self._on_ended = on_ended
        self._running: set[TargetCall] = set()
        self._cut: list[TargetCall] = []
        self._checking: asyncio.Task[bool] | None = None

    def begin(self, call: TargetCall) -> None:
        """Take the start of a call."""
        self._running.add(call)

    def end(self, call: TargetCall) -> None:
        """Take the end of a call, however it ended."""
        self._running.remove(call)

    def runs_any(self, is_wanted: Callable[[bytes], bool]) -> bool:
        """Return whether a request with a wanted fingerprint is running."""
        return any(is_wanted(call.fingerprint) for call in self._running)

    async def has_ended(self, call: TargetCall) -> bool:
        """Return whether the target is gone, after one of its calls was cut.

        Calls that are cut together wait for one look at the target, which goes on
        where their callers leave.
        """
        self._cut.append(call)
        if self._checking is None or self._checking.done():
            checking = asyncio.get_running_loop().create_task(self._check())
            self._checking = checking
        return await asyncio.shield(self._checking)

    async def _check(self) -> bool:
        await asyncio.sleep(_CLOSING_S)
        has_ended = await self._look()
        cut, self._cut = self._cut, []
        if has_ended:
            sent = [call for call in self._running if call.is_sent]
            fingerprints = {call.fingerprint for call in (*cut, *sent)}
            self._on_ended(tuple(sorted(fingerprints - {b""})))
        return has_ended

    async def _look(self) -> bool:
        is_other_running = any(call.is_connected for call in self._running)
        if is_other_running and len(self._cut) == 1:
            return False
        # Not trusted alone: a connection that went silent seems open until it is used.
        seems_alive = is_other_running or self._pool.has_open
        return await self._pool.is_refused(0.0 if seems_alive else _HOLD_S)


__all__ = ["CrashWatch"]
