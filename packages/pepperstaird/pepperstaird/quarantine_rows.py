"""The quarantined requests, kept in the platform's table for daemons that start."""

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

from .row_calls import call_until_answered, delete_some

log = structlog.get_logger(__name__)

_PREFIX: Final = "quarantine/"


class QuarantineRows:
    """Keeps one row for each quarantined request.

    With `is_first_start` there are no rows of an earlier process to read.
    """

    def __init__(
        self, table: RowTable, wall_ms: Callable[[], int], is_first_start: bool = False
    ) -> None:
        self._table = table
        self._wall_ms = wall_ms
        self._is_first_start = is_first_start
        self._writing: dict[bytes, asyncio.Task[None]] = {}
        self._reading: asyncio.Task[None] | None = None
        self._on_read: Callable[[Iterable[CrashRecord]], None] = lambda kept: None

    def start(self, on_read: Callable[[Iterable[CrashRecord]], None]) -> None:
        """Read what was kept, and hand over what is read now and later."""
        self._on_read = on_read
        if not self._is_first_start:
            self.read()

    def read(self) -> None:
        """Read what any daemon has kept, unless that is under way."""
        if self._reading is None or self._reading.done():
            self._reading = _run(self._read())

    def save(self, record: CrashRecord) -> None:
        """Write the row of a quarantined request, in place of an earlier one."""
        fingerprint = record.fingerprint
        earlier = self._writing.pop(fingerprint, None)
        if earlier is not None:
            earlier.cancel()
        self._writing[fingerprint] = _run(self._write(record))

    def close(self) -> None:
        """Stop reading and writing."""
        for task in (self._reading, *self._writing.values()):
            if task is not None:
                task.cancel()

    async def _read(self) -> None:
        rows = await call_until_answered(lambda: self._table.read_rows(_PREFIX))
        oldest_ms = self._wall_ms() - QUARANTINE_MAX_MS
        kept = [
            (row, record, recorded_ms)
            for row in rows
            for record, recorded_ms in _iter_records(row)
        ]
        self._on_read(
            found for _, found, recorded_ms in kept if recorded_ms >= oldest_ms
        )
        old = (row.key for row, _, recorded_ms in kept if recorded_ms < oldest_ms)
        await delete_some(self._table, old)

    async def _write(self, record: CrashRecord) -> None:
        value = json.dumps([record.crash_ids, self._wall_ms()])
        row = Row(f"{_PREFIX}{record.fingerprint.hex()}", value)
        await call_until_answered(lambda: self._table.commit((), (row,)))


def _run(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    return asyncio.get_running_loop().create_task(coroutine)


def _iter_records(row: Row) -> Iterator[tuple[CrashRecord, int]]:
    """Yield what a row says; another release may write what can't be read."""
    try:
        fingerprint = bytes.fromhex(row.key.removeprefix(_PREFIX))
        crash_ids, recorded_ms = parse_json(row.value)
        yield CrashRecord(fingerprint, tuple(map(str, crash_ids))), int(recorded_ms)
    except (ValueError, TypeError) as error:
        log.warning(Event.ROW_IGNORED, key=row.key, cause=repr(error))


__all__ = ["QuarantineRows"]
