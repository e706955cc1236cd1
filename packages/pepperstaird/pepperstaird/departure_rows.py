"""Acknowledged departures of targets, persisted on the platform.

An acknowledgement of a departure has to outlive the process. A daemon that restarts
right after it has acknowledged a departure has lost its state, while earlier
announcements of the target may still arrive. If the daemon accepted these
announcements, it would route requests to a target that is about to exit, and the
requests would be aborted seconds after the target announced its departure.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterator
from typing import Final

import structlog
from msgspec.structs import astuple

from pepperstair_core.events import Event
from pepperstair_core.json_text import parse_json
from pepperstair_platform import Row, RowTable
from pepperstair_targets import LAST_SEQUENCE, Departure, OrderedAnnouncements

from .row_calls import call_until_answered, delete_batch

log = structlog.get_logger(__name__)

_PREFIX: Final = "departure/"
# Age after which the row of a departure is obsolete: announcements are delayed by
# seconds, so none is still in transit after ten minutes. A daemon that writes a row
# deletes the obsolete rows of other daemons.
RETENTION_MS: Final = 600_000
# Maximum time that the acknowledgement of a departure waits until its row is written,
# and that the first announcement waits until the row is read. Targets wait a second for
# the answer; reading or writing a row takes some 20 ms.
WAIT_MAX_S: Final = 0.4


class DepartureRows:
    """Persists the departures of this VM's targets in one row.

    The row of an earlier process of this VM is read before the first announcement is
    accepted. If `is_first_start` is set, there was no such process and no row is read.
    """

    def __init__(
        self,
        table: RowTable,
        vm: str,
        announcements: OrderedAnnouncements,
        wall_ms: Callable[[], int],
        is_first_start: bool = False,
    ) -> None:
        self._is_first_start = is_first_start
        self._expired_keys: list[str] = []
        self._table = table
        self._key = f"{_PREFIX}{vm}"
        self._announcements = announcements
        self._wall_ms = wall_ms
        self._saved: frozenset[tuple[str, int, bool]] = frozenset()
        self._restore_task: asyncio.Task[None] | None = None
        self._write_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start reading the row of an earlier process."""
        self._start_restore()

    async def wait_restored(self) -> None:
        """Wait for up to `WAIT_MAX_S` until the row has been read.

        During an outage of the platform the row is unavailable. The daemon then serves
        its target without the row: a delayed announcement that it accepts by mistake is
        rare, and does less harm than a daemon that waits until the outage ends.
        """
        if not self._start_restore().done():
            await asyncio.wait([self._start_restore()], timeout=WAIT_MAX_S)

    async def save(self) -> None:
        """Write changed departures, and wait up to `WAIT_MAX_S` for writes in progress.

        A write that takes longer continues in the background.
        """
        self.save_soon()
        if self._write_task is not None and not self._write_task.done():
            await asyncio.wait([self._write_task], timeout=WAIT_MAX_S)

    def save_soon(self) -> None:
        """Start to write changed departures, without waiting for the write."""
        current = self._current_departures()
        if current == self._saved:
            return
        self._saved = current
        if self._write_task is not None:
            self._write_task.cancel()
        self._write_task = asyncio.get_running_loop().create_task(self._write())

    def _start_restore(self) -> asyncio.Task[None]:
        """Return the task that reads the row, which the first call starts."""
        if self._restore_task is None:
            self._restore_task = asyncio.get_running_loop().create_task(self._restore())
        return self._restore_task

    def _current_departures(self) -> frozenset[tuple[str, int, bool]]:
        """Return the departures reduced to what decides whether to write the row.

        A draining target repeats its announcement with a new sequence each time. To
        avoid a write for each of them, the result holds only whether the sequence is
        `LAST_SEQUENCE`, not the sequence itself.
        """
        return frozenset(
            (item.name, item.start_ms, item.sequence == LAST_SEQUENCE)
            for item in self._announcements.departures()
        )

    async def _restore(self) -> None:
        if self._is_first_start:
            return
        all_rows = await call_until_answered(lambda: self._table.read_rows(_PREFIX))
        rows = [row for row in all_rows if row.key == self._key]
        oldest_ms = self._wall_ms() - RETENTION_MS
        self._expired_keys = [
            row.key
            for row in all_rows
            if row.key != self._key and _newest_ms(row) < oldest_ms
        ]
        recent = [item for row in rows for item in _iter_departures(row)]
        recent = [item for item in recent if item.recorded_ms >= oldest_ms]
        self._announcements.restore(recent)
        if recent:
            self._saved |= self._current_departures()
            names = [item.name for item in recent]
            log.info(Event.DEPARTURES_RESTORED, targets=names)

    async def _write(self) -> None:
        # The row is read before it is written: otherwise a restarted daemon would
        # overwrite the departures that the earlier process wrote to the row.
        await asyncio.shield(self._start_restore())
        oldest_ms = self._wall_ms() - RETENTION_MS
        departures = self._announcements.departures()
        recent = [astuple(item) for item in departures if item.recorded_ms >= oldest_ms]
        row = Row(self._key, json.dumps(recent))
        await call_until_answered(lambda: self._table.commit((), (row,)))
        await self._delete_expired()

    async def _delete_expired(self) -> None:
        """Delete the rows that had expired when read, such as those of removed VMs."""
        expired_keys, self._expired_keys = self._expired_keys, []
        await delete_batch(self._table, expired_keys)


def _iter_departures(row: Row) -> Iterator[Departure]:
    """Yield the departures of a row; log and skip what can't be parsed.

    Another release may write rows in another format.
    """
    try:
        for name, start_ms, sequence, recorded_ms in parse_json(row.value):
            yield Departure(str(name), int(start_ms), int(sequence), int(recorded_ms))
    except (ValueError, TypeError) as error:
        log.warning(Event.ANNOUNCEMENT_IGNORED, target=row.key, cause=repr(error))


def _newest_ms(row: Row) -> int:
    """Return when the last departure of a row was recorded, 0 if it is unreadable."""
    return max((item.recorded_ms for item in _iter_departures(row)), default=0)


__all__ = ["RETENTION_MS", "WAIT_MAX_S", "DepartureRows"]
