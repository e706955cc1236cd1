"""A queue of changes for each customer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import structlog

log = structlog.get_logger(__name__)

N_WAITING_MAX: Final = 64
WAIT_MAX_MS: Final = 5000


class ChangeQueues:
    """Serializes the parsing and the commit of changes per customer.

    Changes of one customer can't be accepted concurrently anyway, because each change
    creates the version after the newest one. Without a queue, the daemon would parse a
    burst of large documents of one customer all at once, which would block the event
    loop and delay the requests of all other customers.
    """

    def __init__(self) -> None:
        self._customer_locks: dict[str, asyncio.Lock] = {}
        self._n_queued: dict[str, int] = {}

    @asynccontextmanager
    async def turn(self, customer: str) -> AsyncIterator[bool]:
        """Wait for a customer's lock; yield False if the queue is full or too slow.

        Up to `N_WAITING_MAX` changes wait, each for up to `WAIT_MAX_MS`.
        """
        if self._n_queued.get(customer, 0) > N_WAITING_MAX:
            yield False
            return
        lock = self._customer_locks.setdefault(customer, asyncio.Lock())
        self._n_queued[customer] = self._n_queued.get(customer, 0) + 1
        is_acquired = False
        try:
            is_acquired = await _acquire_in_time(lock)
            yield is_acquired
        finally:
            if is_acquired:
                lock.release()
            self._dequeue(customer)

    def _dequeue(self, customer: str) -> None:
        self._n_queued[customer] -= 1
        if not self._n_queued[customer]:
            del self._n_queued[customer], self._customer_locks[customer]


async def _acquire_in_time(lock: asyncio.Lock) -> bool:
    try:
        async with asyncio.timeout(WAIT_MAX_MS / 1000):
            await lock.acquire()
    except TimeoutError:
        return False
    return True


__all__ = ["N_WAITING_MAX", "WAIT_MAX_MS", "ChangeQueues"]
