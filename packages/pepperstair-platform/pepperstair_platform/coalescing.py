"""Coalesces concurrent reads of one table into a single read."""

from __future__ import annotations

import asyncio

from result import Result

from pepperstair_core.errors import Failure

from .platform import Compare, Row
from .watching import RowTable


class CoalescedRows:
    """A table that is always read completely; concurrent reads share one request.

    A read that starts while another one is in progress shares its result, because
    several parts of a starting daemon need rows of the same small table.
    """

    def __init__(self, table: RowTable) -> None:
        self._table = table
        self._read_task: asyncio.Task[Result[tuple[Row, ...], Failure]] | None = None

    async def read_rows(self, prefix: str) -> Result[tuple[Row, ...], Failure]:
        """Return all rows whose key starts with a prefix, ordered by key."""
        if self._read_task is None or self._read_task.done():
            reading = self._table.read_rows("")
            self._read_task = asyncio.get_running_loop().create_task(reading)
        # Cancelling one caller must not cancel the read that it shares with other
        # callers.
        read = await asyncio.shield(self._read_task)
        return read.map(
            lambda rows: tuple(row for row in rows if row.key.startswith(prefix))
        )

    async def commit(
        self, compare: tuple[Compare, ...], put: tuple[Row, ...]
    ) -> Result[bool, Failure]:
        """Write rows if every comparison holds; return False if one does not."""
        return await self._table.commit(compare, put)

    async def delete_row(self, key: str) -> Result[bool, Failure]:
        """Delete one row, whether or not it exists."""
        return await self._table.delete_row(key)


__all__ = ["CoalescedRows"]
