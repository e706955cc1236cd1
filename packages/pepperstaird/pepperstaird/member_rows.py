"""The rows of daemons in the platform's table, for discovery.

The rows only help daemons discover each other if the seeds in the settings are not
enough. Liveness never depends on the rows, and an outage of the platform disables
discovery through the rows only.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Iterator
from typing import Final

import structlog

from pepperstair_core.json_text import parse_json
from pepperstair_core.membership import (
    MemberDirectory,
    MemberRow,
    RowSweep,
    is_sweeper,
)
from pepperstair_peers import ControlPlane
from pepperstair_platform import Row, RowTable

from .clock import wall_ms
from .row_calls import delete_batch

log = structlog.get_logger(__name__)

# Interval at which the row of this daemon is rewritten, to show that it is alive.
ROW_INTERVAL_S: Final = 300.0
_PREFIX: Final = "member/"
_FIRST_WRITE_DELAY_MAX_S: Final = 2.0
# While this daemon's row is not written, or no neighbour is known, the platform is
# queried again with exponential backoff, so that an outage causes no retry storm.
_RETRY_MIN_S: Final = 0.5
_RETRY_MAX_S: Final = 8.0


class MemberRows:
    """Writes this daemon's row, and reads the rows of the other daemons.

    A daemon reads the rows to discover members, and to delete the rows of daemons that
    no longer write them if it is the sweeper. If `is_first_start` is set, there is no
    row of an earlier process.
    """

    def __init__(
        self,
        platform: RowTable,
        control: ControlPlane,
        directory: MemberDirectory,
        rng: random.Random,
        first_write_delay_max_s: float | None = None,
        is_first_start: bool = False,
    ) -> None:
        self._is_first_start = is_first_start
        self._is_written = False
        self._first_write_delay_max_s = (
            _FIRST_WRITE_DELAY_MAX_S
            if first_write_delay_max_s is None
            else first_write_delay_max_s
        )
        self._platform = platform
        self._control = control
        self._directory = directory
        self._rng = rng
        self._sweep = RowSweep()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start writing and reading rows."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop writing and reading rows."""
        if self._task is not None:
            self._task.cancel()

    async def remove_own(self) -> None:
        """Delete this daemon's row on leaving; if that fails, the sweeper does it."""
        self.close()
        await self._platform.delete_row(_row_key(self._directory.own().vm))

    async def _run(self) -> None:
        if not self._is_first_start:
            # Rows written before the restart contain the addresses of the other
            # daemons. Without these addresses, callers would find no target until the
            # jitter below is over.
            await self._discover_members()
        # The jitter keeps daemons that start together from writing all rows at once.
        await asyncio.sleep(self._rng.uniform(0, self._first_write_delay_max_s))
        retry_s = _RETRY_MIN_S
        while True:
            is_done = self._is_written or await self._write_own()
            if not self._control.neighbours:
                is_done = await self._read() and is_done
            if is_done and self._control.neighbours:
                retry_s = _RETRY_MIN_S
                await asyncio.sleep(ROW_INTERVAL_S * self._rng.uniform(0.9, 1.1))
                self._is_written = False
                if self._is_sweeper():
                    await self._read()
                continue
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(_RETRY_MAX_S, 2 * retry_s)

    async def _discover_members(self) -> None:
        rows = await self._read_rows()
        own = self._directory.own()
        # The row of a restarted daemon is still valid if its address is unchanged.
        self._is_written = any(
            row.vm == own.vm and row.peer_address == own.peer_address
            for row in rows or ()
        )

    def _is_sweeper(self) -> bool:
        return is_sweeper(self._directory.own(), self._directory.members())

    async def _write_own(self) -> bool:
        own = self._directory.own()
        value = {"peer_address": own.peer_address, "written_ms": wall_ms()}
        row = Row(_row_key(own.vm), json.dumps(value, sort_keys=True))
        written = await self._platform.commit((), (row,))
        self._is_written = written.is_ok()
        return self._is_written

    async def _read(self) -> bool:
        rows = await self._read_rows()
        if rows is None:
            return False
        stale_vms = list(self._sweep.iter_stale_vms(self._directory, rows))
        await delete_batch(self._platform, map(_row_key, stale_vms))
        return True

    async def _read_rows(self) -> list[MemberRow] | None:
        """Return all rows and dial their addresses; None if the read failed."""
        read = await self._platform.read_rows(_PREFIX)
        if read.is_err():
            return None
        rows = list(_iter_rows(read.unwrap()))
        self._control.discover(row.peer_address for row in rows)
        return rows


def _row_key(vm: str) -> str:
    return f"{_PREFIX}{vm}"


def _iter_rows(rows: tuple[Row, ...]) -> Iterator[MemberRow]:
    """Yield the readable rows; other releases may write rows in other formats."""
    for row in rows:
        try:
            value = parse_json(row.value)
            address, written_ms = value["peer_address"], value["written_ms"]
        except (ValueError, KeyError, TypeError):
            continue
        yield MemberRow(row.key.removeprefix(_PREFIX), str(address), int(written_ms))


__all__ = ["ROW_INTERVAL_S", "MemberRows"]
