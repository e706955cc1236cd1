"""Limits the rate of requests to the platform, fairly between customers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

import structlog

from pepperstair_core.deficit_round_robin import DeficitRoundRobin, TokenBucket

log = structlog.get_logger(__name__)

_BYTES_PER_TURN: Final = 65_536
N_WAITING_MAX: Final = 64


class FairRateLimiter:
    """Admits requests to the platform at a bounded rate, by deficit round robin.

    Without the limiter, the bulk changes of one customer would use up the platform's
    capacity, and a small customer's change would time out behind them. A request takes
    one round-robin turn, plus one turn for each 64 KB that it carries. The rate limits
    requests, not bytes; if one turn admitted many small requests of a customer, the
    other customers would be delayed for seconds. `now_ms` is a monotonic clock.
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

    async def acquire(self, customer: str, n_bytes: int, timeout_ms: int) -> bool:
        """Wait for a permit; return False if too many wait or the wait times out."""
        loop = asyncio.get_running_loop()
        if not self._queue and not self._bucket.take(self._now_ms()):
            return True
        if self._n_waiting.get(customer, 0) >= N_WAITING_MAX:
            self.n_refused += 1
            return False
        permit: asyncio.Future[None] = loop.create_future()
        self._queue.put(customer, permit, 1 + n_bytes // _BYTES_PER_TURN)
        self._n_waiting[customer] = self._n_waiting.get(customer, 0) + 1
        if self._task is None:
            self._task = loop.create_task(self._grant_permits())
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await permit
        except TimeoutError:
            self.n_refused += 1
            return False
        finally:
            self._remove_waiting(customer)
        return True

    def close(self) -> None:
        """Stop granting permits."""
        if self._task is not None:
            self._task.cancel()

    def _remove_waiting(self, customer: str) -> None:
        self._n_waiting[customer] -= 1
        if not self._n_waiting[customer]:
            del self._n_waiting[customer]

    async def _grant_permits(self) -> None:
        while (permit := self._next_permit()) is not None:
            while wait_ms := self._bucket.take(self._now_ms()):
                await asyncio.sleep(wait_ms / 1000)
            if permit.done():
                continue
            permit.set_result(None)
        self._task = None

    def _next_permit(self) -> asyncio.Future[None] | None:
        """Return the next permit whose requester is still waiting, or None."""
        while (permit := self._queue.take()) is not None:
            if not permit.done():
                return permit
        return None


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


__all__ = ["N_WAITING_MAX", "FairRateLimiter"]
