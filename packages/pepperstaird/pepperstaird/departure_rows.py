"""What this daemon has acknowledged of targets that leave, kept in the platform.

The acknowledgement binds the VM, not the process: a daemon that restarts right
after it knows nothing of it, and what the target said before may still arrive.
Taken for news, that would bring requests to a target that is about to end, which
one would notice as requests cut off seconds after it said that it leaves.
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

from .row_calls import call_until_answered, delete_some

log = structlog.get_logger(__name__)

_PREFIX: Final = "departure/"
# Announcements are held up for seconds; ten minutes are room for any of them, and
# rows that are older are deleted by whoever writes one next.
KEPT_MS: Final = 600_000
# How long an acknowledgement waits for its row, and the first announcement for
# what was kept. Targets wait a second for the answer; a row takes some 20 ms.
WAIT_MAX_S: Final = 0.4


class DepartureRows:
    """Keeps the departures of this VM's targets in one row.

    What an earlier process of this VM has kept is read before the first
    announcement is taken, unless with `is_first_start` there was none.
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
        self._old_keys: list[str] = []
        self._table = table
        self._key = f"{_PREFIX}{vm}"
        self._announcements = announcements
        self._wall_ms = wall_ms
        self._saved: frozenset[tuple[str, int, bool]] = frozenset()
        self._restoring: asyncio.Task[None] | None = None
        self._writing: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to read what was kept."""
        self._reading()

    async def restored(self) -> None:
        """Return once the row was read, or after a while without it.

        With the platform away the daemon can't know; a target that serves is
        worth more than what a rare delayed announcement costs.
        """
        if not self._reading().done():
            await asyncio.wait([self._reading()], timeout=WAIT_MAX_S)

    async def save(self) -> None:
        """Write what is new, and return once it is kept or after a while."""
        wanted = self._wanted()
        if wanted == self._saved:
            return
        self._saved = wanted
        if self._writing is not None:
            self._writing.cancel()
        self._writing = asyncio.get_running_loop().create_task(self._write())
        await asyncio.wait([self._writing], timeout=WAIT_MAX_S)

    def _reading(self) -> asyncio.Task[None]:
        """Return the task that reads the row, which the first call starts."""
        if self._restoring is None:
            self._restoring = asyncio.get_running_loop().create_task(self._restore())
        return self._restoring

    def _wanted(self) -> frozenset[tuple[str, int, bool]]:
        """Return what the row has to say; a target that drains says so repeatedly."""
        return frozenset(
            (item.name, item.start_ms, item.sequence == LAST_SEQUENCE)
            for item in self._announcements.departures()
        )

    async def _restore(self) -> None:
        if self._is_first_start:
            return
        found = await call_until_answered(lambda: self._table.read_rows(_PREFIX))
        rows = [row for row in found if row.key == self._key]
        oldest_ms = self._wall_ms() - KEPT_MS
        self._old_keys = [
            row.key
            for row in found
            if row.key != self._key and _newest_ms(row) < oldest_ms
        ]
        kept = [item for row in rows for item in _iter_departures(row)]
        kept = [item for item in kept if item.recorded_ms >= oldest_ms]
        self._announcements.restore(kept)
        if kept:
            self._saved |= self._wanted()
            names = [item.name for item in kept]
            log.info(Event.DEPARTURES_RESTORED, targets=names)

    async def _write(self) -> None:
        # Else a daemon that restarted would write over what it kept before.
        await asyncio.shield(self._reading())
        oldest_ms = self._wall_ms() - KEPT_MS
        departures = self._announcements.departures()
        kept = [astuple(item) for item in departures if item.recorded_ms >= oldest_ms]
        row = Row(self._key, json.dumps(kept))
        await call_until_answered(lambda: self._table.commit((), (row,)))
        await self._delete_old()

    async def _delete_old(self) -> None:
        """Delete rows that counted no more at the start, as of VMs that are gone."""
        old, self._old_keys = self._old_keys, []
        await delete_some(self._table, old)


def _iter_departures(row: Row) -> Iterator[Departure]:
    """Yield what a row says; another release may write what can't be read."""
    try:
        for name, start_ms, sequence, recorded_ms in parse_json(row.value):
            yield Departure(str(name), int(start_ms), int(sequence), int(recorded_ms))
    except (ValueError, TypeError) as error:
        log.warning(Event.ANNOUNCEMENT_IGNORED, target=row.key, cause=repr(error))


def _newest_ms(row: Row) -> int:
    """Return when the last departure of a row was noted, 0 if it can't be read."""
    return max((item.recorded_ms for item in _iter_departures(row)), default=0)


__all__ = ["KEPT_MS", "WAIT_MAX_S", "DepartureRows"]
