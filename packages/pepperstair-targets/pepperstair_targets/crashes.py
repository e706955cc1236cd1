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

    `on_ended` is told once of each end, with the fingerprints of what was running.
    """

    def __init__(
        self, pool: ConnectionPool, on_ended: Callable[[tuple[bytes, ...]], None]
    ) -> None:
        self._pool = pool
        self._on_ended = on_ended
        self._running: dict[TargetCall, bytes] = {}
        self._cut: list[bytes] = []
        self._checking: asyncio.Task[bool] | None = None
        self._is_reported = False

    def begin(self, call: TargetCall, fingerprint: bytes) -> None:
        """Take the start of a call."""
        self._running[call] = fingerprint

    def end(self, call: TargetCall) -> None:
        """Take the end of a call, however it ended."""
        del self._running[call]

    def answer(self) -> None:
        """Take that the target has answered, so that it lives."""
        self._is_reported = False

    def runs_any(self, is_wanted: Callable[[bytes], bool]) -> bool:
        """Return whether a request with a wanted fingerprint is running."""
        return any(is_wanted(fingerprint) for fingerprint in self._running.values())

    async def has_ended(self, call: TargetCall) -> bool:
        """Return whether the target is gone, after one of its calls was cut.

        Calls that are cut together wait for one look at the target, which goes on
        where their callers leave.
        """
        self._cut.append(self._running[call])
        if self._checking is None or self._checking.done():
            checking = asyncio.get_running_loop().create_task(self._check())
            self._checking = checking
        return await asyncio.shield(self._checking)

    async def _check(self) -> bool:
        await asyncio.sleep(_CLOSING_S)
        has_ended = await self._look()
        cut, self._cut = self._cut, []
        if has_ended and not self._is_reported:
            self._is_reported = True
            self._on_ended(tuple(sorted({*cut, *self._sent()} - {b""})))
        return has_ended

    async def _look(self) -> bool:
        is_other_running = any(call.is_connected for call in self._running)
        if is_other_running and len(self._cut) == 1:
            return False
        # Not trusted alone: a connection that went silent seems open until it is used.
        seems_alive = is_other_running or self._pool.has_open
        return await self._pool.is_refused(0.0 if seems_alive else _HOLD_S)

    def _sent(self) -> set[bytes]:
        return {
            fingerprint for call, fingerprint in self._running.items() if call.is_sent
        }


__all__ = ["CrashWatch"]
