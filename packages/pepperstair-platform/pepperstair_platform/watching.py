"""A table that tells of its changes, as every platform with a watch offers one.

A watch is a hint: it may hang, lose changes or reach further back than the
platform remembers. Whoever follows a table reads it whole again whenever the
watch ends in any other way than with its changes.
"""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct
from result import Result

from pepperstair_core.errors import Failure

from .platform import Compare, Row


class WatchedRow(Struct, frozen=True):
    """One row of a watched table; `value` is None where the row was removed."""

    key: str
    value: bytes | None


class WatchedRows(Struct, frozen=True):
    """Rows, and the position in the table's history that they reach up to."""

    rows: tuple[WatchedRow, ...]
    position: int


class RowTable(Protocol):
    """Rows by key, of which any daemon may write and delete its own."""

    async def read_rows(self, prefix: str) -> Result[tuple[Row, ...], Failure]:
        """Return all rows whose key starts with a prefix, by key."""

    async def commit(
        self, compare: tuple[Compare, ...], put: tuple[Row, ...]
    ) -> Result[bool, Failure]:
        """Write rows if every comparison holds; False where one does not."""

    async def delete_row(self, key: str) -> Result[bool, Failure]:
        """Delete one row, whether or not it is there."""


class WatchedTable(Protocol):
    """A table that can be read whole and watched from a position on."""

    async def read(self) -> Result[WatchedRows, Failure]:
        """Return all rows."""

    async def wait(self, position: int, wait_ms: int) -> Result[WatchedRows, Failure]:
        """Return the rows that changed after a position, none after `wait_ms`.

        The failure is `watch_expired` where the history no longer reaches back
        to the position.
        """


__all__ = ["RowTable", "WatchedRow", "WatchedRows", "WatchedTable"]
