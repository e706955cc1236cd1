"""Reads of one table that are asked for together and made once."""

from __future__ import annotations

import asyncio

from result import Result

from pepperstair_core.errors import Failure

from .platform import Compare, Row
from .watching import RowTable


class CoalescedRows:
    """A table whose rows of all prefixes are read at once.

    A read that is asked for while another one is under way shares its answer: several
    parts of a daemon that starts need rows of the same small table.
    """

    def __init__(self, table: RowTable) -> None:
        self._table = table
        self._reading: asyncio.Task[Result[tuple[Row, ...], Failure]] | None = None

    async def read_rows(self, prefix: str) -> Result[tuple[Row, ...], Failure]:
        """Return all rows whose key starts with a prefix, by key."""
        if self._reading is None or self._reading.done():
            reading = self._table.read_rows("")
            self._reading = asyncio.get_running_loop().create_task(reading)
        # One caller that leaves must not cancel the read of the others.
        read = await asyncio.shield(self._reading)
        return read.map(
            lambda rows: tuple(row for row in rows if row.key.startswith(prefix))
        )

    async def commit(
        self, compare: tuple[Compare, ...], put: tuple[Row, ...]
    ) -> Result[bool, Failure]:
        """Write rows if every comparison holds; False where one does not."""
        return await self._table.commit(compare, put)

    async def delete_row(self, key: str) -> Result[bool, Failure]:
        """Delete one row, whether or not it is there."""
        return await self._table.delete_row(key)


__all__ = ["CoalescedRows"]
