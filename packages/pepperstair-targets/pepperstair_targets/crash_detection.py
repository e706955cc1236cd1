"""Distinguish a target that has exited from one that only closed a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import structlog

from .pool import ConnectionPool
from .target_call import TargetCall

log = structlog.get_logger(__name__)

# Delay before the probe that checks whether a target has exited. The connections of a
# process that exits close at the same time, but this daemon sees them close one after
# another.
_CLOSE_DELAY_S: Final = 0.002
# Time for which a probe connection must stay open to prove that the target is running.
# A listener that outlives its target accepts connections and then closes them.
_PROBE_HOLD_S: Final = 0.02


class CrashDetector:
    """Tracks the running calls of one target and detects that it has exited.

    `on_exited` is called after the exit, with the fingerprints of the calls that were
    running. The callback must prevent further calls to the target.
    """

    def __init__(
        self, pool: ConnectionPool, on_exited: Callable[[tuple[bytes, ...]], None]
    ) -> None:
        self._pool = pool
        self._on_exited = on_exited
        self._running: set[TargetCall] = set()
        self._broken_calls: list[TargetCall] = []
        self._check_task: asyncio.Task[bool] | None = None

    def begin(self, call: TargetCall) -> None:
        """Add a call that starts."""
        self._running.add(call)

    def end(self, call: TargetCall) -> None:
        """Remove a call that has ended, with an answer or a failure."""
        self._running.remove(call)

    def is_any_running(self, is_wanted: Callable[[bytes], bool]) -> bool:
        """Return whether a request is running whose fingerprint `is_wanted` accepts."""
        return any(is_wanted(call.fingerprint) for call in self._running)

    async def has_exited(self, call: TargetCall) -> bool:
        """Return whether the target, whose connection for a call broke, has exited.

        Calls that break together share one probe of the target, which continues even
        if their callers disconnect.
        """
        self._broken_calls.append(call)
        if self._check_task is None or self._check_task.done():
            check_task = asyncio.get_running_loop().create_task(self._check())
            self._check_task = check_task
        return await asyncio.shield(self._check_task)

    async def _check(self) -> bool:
        await asyncio.sleep(_CLOSE_DELAY_S)
        has_exited = await self._probe()
        broken_calls, self._broken_calls = self._broken_calls, []
        if has_exited:
            sent = [call for call in self._running if call.is_sent]
            fingerprints = {call.fingerprint for call in (*broken_calls, *sent)}
            self._on_exited(tuple(sorted(fingerprints - {b""})))
        return has_exited

    async def _probe(self) -> bool:
        is_other_running = any(call.is_connected for call in self._running)
        if is_other_running and len(self._broken_calls) == 1:
            return False
        # An open connection alone does not prove that the target is running, because a
        # silently lost connection appears open until it is used. So the target is
        # probed even if another connection is open, but then the probe connection need
        # not stay open.
        is_apparently_alive = is_other_running or self._pool.has_open
        return await self._pool.is_target_gone(
            0.0 if is_apparently_alive else _PROBE_HOLD_S
        )


__all__ = ["CrashDetector"]
