"""This daemon's row in the platform's table, and the rows of the others.

The rows only help daemons find each other where the seeds of the settings do
not: liveness never depends on them, and an outage of the platform costs nothing
but discovery.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Iterator
from typing import Final

import structlog

from pepperstair_core.membership import (
    MemberDirectory,
    MemberRow,
    RowSweep,
    is_sweeper,
)
from pepperstair_peers import ControlPlane
from pepperstair_platform import Platform, Row

from .clock import wall_ms

log = structlog.get_logger(__name__)

ROW_INTERVAL_S: Final = 60.0
_PREFIX: Final = "member/"
_JOIN_MAX_S: Final = 2.0
_N_DELETED_MAX: Final = 10


class MemberRows:
    """Writes the own row and reads the others where that is this daemon's turn."""

    def __init__(
        self,
        platform: Platform,
        control: ControlPlane,
        directory: MemberDirectory,
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._control = control
        self._directory = directory
        self._rng = rng
        self._sweep = RowSweep()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to write and read rows."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop writing."""
        if self._task is not None:
            self._task.cancel()

    async def remove_own(self) -> None:
        """Delete the own row, as this daemon leaves; failing that, others will."""
        self.close()
        await self._platform.delete_row(_key(self._directory.own().vm))

    async def _run(self) -> None:
        # A herd that starts together would read and write all rows at once.
        await asyncio.sleep(self._rng.uniform(0, _JOIN_MAX_S))
        while True:
            await self._write_own()
            if self._is_reader():
                await self._read()
            await asyncio.sleep(ROW_INTERVAL_S * self._rng.uniform(0.9, 1.1))

    def _is_reader(self) -> bool:
        if not self._control.neighbours:
            return True
        return is_sweeper(self._directory.own(), self._directory.members())

    async def _write_own(self) -> None:
        own = self._directory.own()
        value = {"peer_address": own.peer_address, "written_ms": wall_ms()}
        row = Row(_key(own.vm), json.dumps(value, sort_keys=True))
        await self._platform.commit((), (row,))

    async def _read(self) -> None:
        read = await self._platform.read_rows(_PREFIX)
        if read.is_err():
            return
        rows = list(_iter_rows(read.unwrap()))
        self._control.discover(row.peer_address for row in rows)
        dead = list(self._sweep.iter_dead(self._directory, rows))
        for vm in dead[:_N_DELETED_MAX]:
            await self._platform.delete_row(_key(vm))


def _key(vm: str) -> str:
    return f"{_PREFIX}{vm}"


def _iter_rows(rows: tuple[Row, ...]) -> Iterator[MemberRow]:
    """Yield the rows that can be read; another version may write others."""
    for row in rows:
        try:
            value = json.loads(row.value)
            address, written_ms = value["peer_address"], value["written_ms"]
        except (ValueError, KeyError, TypeError):
            continue
        yield MemberRow(row.key.removeprefix(_PREFIX), str(address), int(written_ms))


__all__ = ["ROW_INTERVAL_S", "MemberRows"]
