"""Persists quarantined requests on the platform, for daemons that start later."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterable, Iterator
from typing import Any, Final

import structlog

from pepperstair_core.calls import CrashRecord
from pepperstair_core.calls.quarantine import QUARANTINE_MAX_MS
from pepperstair_core.events import Event
from pepperstair_core.json_text import parse_json
from pepperstair_platform import Row, RowTable

from .row_calls import call_until_answered, delete_batch

log = structlog.get_logger(__name__)

_PREFIX: Final = "quarantine/"


class QuarantineRows:
    """Persists one row for each quarantined request.

    If `is_first_start` is set, no rows are read at the start, because there was no
    earlier process of this daemon.
    """

    def __init__(
        self, table: RowTable, wall_ms: Callable[[], int], is_first_start: bool = False
    ) -> None:
        self._table = table
        self._wall_ms = wall_ms
        self._is_first_start = is_first_start
        self._write_tasks: dict[bytes, asyncio.Task[None]] = {}
        self._read_task: asyncio.Task[None] | None = None
        self._on_read: Callable[[Iterable[CrashRecord]], None] = lambda stored: None

    def start(self, on_read: Callable[[Iterable[CrashRecord]], None]) -> None:
        """Read the rows, and register the callback for records that are read."""
        self._on_read = on_read
        if not self._is_first_start:
            self.read()

    def read(self) -> None:
        """Start reading the rows of all daemons, unless a read is in progress."""
        if self._read_task is None or self._read_task.done():
            self._read_task = _create_task(self._read())

    def save(self, record: CrashRecord) -> None:
        """Write the row of a quarantined request, and cancel an earlier write of it."""
        fingerprint = record.fingerprint
        earlier = self._write_tasks.pop(fingerprint, None)
        if earlier is not None:
            earlier.cancel()
        self._write_tasks[fingerprint] = _create_task(self._write(record))

    def close(self) -> None:
        """Stop reading and writing."""
        for task in (self._read_task, *self._write_tasks.values()):
            if task is not None:
                task.cancel()

    async def _read(self) -> None:
        rows = await call_until_answered(lambda: self._table.read_rows(_PREFIX))
        oldest_ms = self._wall_ms() - QUARANTINE_MAX_MS
        stored = [
            (row, record, recorded_ms)
            for row in rows
            for record, recorded_ms in _iter_records(row)
        ]
        self._on_read(
            recent for _, recent, recorded_ms in stored if recorded_ms >= oldest_ms
        )
        expired_keys = (
            row.key for row, _, recorded_ms in stored if recorded_ms < oldest_ms
        )
        await delete_batch(self._table, expired_keys)

    async def _write(self, record: CrashRecord) -> None:
        value = json.dumps([record.crash_ids, self._wall_ms()])
        row = Row(f"{_PREFIX}{record.fingerprint.hex()}", value)
        await call_until_answered(lambda: self._table.commit((), (row,)))


def _create_task(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    return asyncio.get_running_loop().create_task(coroutine)


def _iter_records(row: Row) -> Iterator[tuple[CrashRecord, int]]:
    """Yield the record of a row; log and skip a row that can't be parsed.

    Another release may write rows in another format.
    """
    try:
        fingerprint = bytes.fromhex(row.key.removeprefix(_PREFIX))
        crash_ids, recorded_ms = parse_json(row.value)
        yield CrashRecord(fingerprint, tuple(map(str, crash_ids))), int(recorded_ms)
    except (ValueError, TypeError) as error:
        log.warning(Event.ROW_IGNORED, key=row.key, cause=repr(error))


__all__ = ["QuarantineRows"]
