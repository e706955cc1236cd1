"""One line of waiting changes for each customer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

import structlog

log = structlog.get_logger(__name__)

N_WAITING_MAX: Final = 64
WAIT_MAX_MS: Final = 5000


class ChangeLines:
    """Lets one change of each customer be read and committed at a time.

    Changes of one customer can't be accepted side by side anyway, as each takes
    the next version. Without a line, a burst of a large customer's documents
    would be read all at once, and the event loop would answer nobody else for
    as long as that takes.
    """

    def __init__(self) -> None:
        self._locks: dict[str, asyncio.Lock] = {}
        self._n_in_line: dict[str, int] = {}

    @asynccontextmanager
    async def turn(self, customer: str) -> AsyncIterator[bool]:
        """Wait for a customer's turn; False where the line is too long."""
        if self._n_in_line.get(customer, 0) > N_WAITING_MAX:
            yield False
            return
        lock = self._locks.setdefault(customer, asyncio.Lock())
        self._n_in_line[customer] = self._n_in_line.get(customer, 0) + 1
        is_taken = False
        try:
            is_taken = await _take(lock)
            yield is_taken
        finally:
            if is_taken:
                lock.release()
            self._leave(customer)

    def _leave(self, customer: str) -> None:
        self._n_in_line[customer] -= 1
        if not self._n_in_line[customer]:
            del self._n_in_line[customer], self._locks[customer]


async def _take(lock: asyncio.Lock) -> bool:
    try:
        async with asyncio.timeout(WAIT_MAX_MS / 1000):
            await lock.acquire()
    except TimeoutError:
        return False
    return True


__all__ = ["N_WAITING_MAX", "WAIT_MAX_MS", "ChangeLines"]
