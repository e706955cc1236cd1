"""Turns at the platform: fair between customers, at a bounded rate."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

import structlog

from pepperstair_core.deficit_round_robin import DeficitRoundRobin, TokenBucket

log = structlog.get_logger(__name__)

_UNIT_BYTES: Final = 65_536
N_WAITING_MAX: Final = 64


class FairRateLimiter:
    """Lets requests to the platform pass one by one, each customer in turn.

    Without it one customer's bulk would use up the platform's capacity, and a
    small customer's change would time out behind it. A turn is one request, or
    one for each 64 KB that it carries: the rate is counted in requests, so a
    turn of many small ones would hold the others up for seconds. `now_ms` is a
    clock that never goes back.
    """

    def __init__(self, n_per_s: int, now_ms: Callable[[], int] | None = None) -> None:
        self._now_ms = now_ms or _monotonic_ms
        self._bucket = TokenBucket(n_per_s, self._now_ms())
        self._queue: DeficitRoundRobin[asyncio.Future[None]] = DeficitRoundRobin(
            quantum=1
        )
        self._n_waiting: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None
        self.n_refused = 0

    async def take(self, customer: str, n_bytes: int, timeout_ms: int) -> bool:
        """Wait for a turn; False where too many wait or none came in time."""
        loop = asyncio.get_running_loop()
        if not self._queue and not self._bucket.take(self._now_ms()):
            return True
        if self._n_waiting.get(customer, 0) >= N_WAITING_MAX:
            self.n_refused += 1
            return False
        turn: asyncio.Future[None] = loop.create_future()
        self._queue.put(customer, turn, 1 + n_bytes // _UNIT_BYTES)
        self._n_waiting[customer] = self._n_waiting.get(customer, 0) + 1
        if self._task is None:
            self._task = loop.create_task(self._give_turns())
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await turn
        except TimeoutError:
            self.n_refused += 1
            return False
        finally:
            self._leave(customer)
        return True

    def close(self) -> None:
        """Give no more turns."""
        if self._task is not None:
            self._task.cancel()

    def _leave(self, customer: str) -> None:
        self._n_waiting[customer] -= 1
        if not self._n_waiting[customer]:
            del self._n_waiting[customer]

    async def _give_turns(self) -> None:
        while (turn := self._next_turn()) is not None:
            while wait_ms := self._bucket.take(self._now_ms()):
                await asyncio.sleep(wait_ms / 1000)
            if turn.done():
                continue
            turn.set_result(None)
        self._task = None

    def _next_turn(self) -> asyncio.Future[None] | None:
        """Return the next turn that somebody still waits for."""
        while (turn := self._queue.take()) is not None:
            if not turn.done():
                return turn
        return None


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


__all__ = ["N_WAITING_MAX", "FairRateLimiter"]
