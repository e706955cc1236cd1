"""Interfaces of tables, including tables that can be watched for changes.

A watch is only a hint: it may hang, lose changes or start at a position older than
the history that the platform retains. A follower therefore reads the whole table
again whenever a watch fails or is interrupted.
"""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct
from result import Result

from pepperstair_core.errors import Failure

from .platform import Compare, Row


class WatchedRow(Struct, frozen=True):
    """A row of a watched table; `value` is None if the row was deleted.

    `version` is the position of the row's last change in the history of the platform.
    """

    key: str
    value: bytes | None
    version: int = 0


class WatchedRows(Struct, frozen=True):
    """Rows, with the position in the table's history at which they were read.

    `platform_ms` is the moment of the read on the platform's clock, None if the
    platform does not state it.
    """

    rows: tuple[WatchedRow, ...]
    position: int
    platform_ms: int | None = None


class RowTable(Protocol):
    """A table of rows by key, in which each daemon writes and deletes its own rows."""

    async def read_rows(self, prefix: str) -> Result[tuple[Row, ...], Failure]:
        """Return all rows whose key starts with a prefix, ordered by key."""

    async def commit(
        self, compare: tuple[Compare, ...], put: tuple[Row, ...]
    ) -> Result[bool, Failure]:
        """Write rows if every comparison holds; return False if one does not."""

    async def delete_row(self, key: str) -> Result[bool, Failure]:
        """Delete one row, whether or not it exists."""


class WatchedTable(Protocol):
    """A table that can be read completely and watched from a position."""

    async def read(self) -> Result[WatchedRows, Failure]:
        """Return all rows."""

    async def wait(self, position: int, wait_ms: int) -> Result[WatchedRows, Failure]:
        """Return the rows changed after a position, or none if `wait_ms` ends first.

        Fails with `watch_expired` if the history no longer includes the position.
        """


__all__ = ["RowTable", "WatchedRow", "WatchedRows", "WatchedTable"]
