"""Departures of targets that a daemon has acknowledged and persists on the platform."""

from __future__ import annotations

import asyncio
import json

from result import Err, Ok

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.members import Target, TargetState
from pepperstair_platform import Row
from pepperstair_targets import Announcement, OrderedAnnouncements, TargetRegistry
from pepperstaird import departure_rows
from pepperstaird.departure_rows import RETENTION_MS, DepartureRows

WALL_MS = 10_000_000
SERVING, DRAINING = TargetState.SERVING, TargetState.DRAINING


class FakeTable:
    """An in-memory table of rows that a test can make unavailable."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.is_unavailable = False
        self.n_writes = 0

    async def read_rows(self, prefix: str):
        """Return the rows with a prefix."""
        if self.is_unavailable:
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
        return Ok(tuple(row for key, row in self.rows.items() if key[:9] == prefix[:9]))

    async def commit(self, compare, put):
        """Write rows."""
        if self.is_unavailable:
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
        self.n_writes += 1
        self.rows.update((row.key, row) for row in put)
        return Ok(True)

    async def delete_row(self, key: str):
        """Delete a row."""
        self.rows.pop(key, None)
        return Ok(True)


class Process:
    """One process of a VM's daemon: its target registry and its departure rows."""

    def __init__(self, table: FakeTable) -> None:
        self.registry = TargetRegistry(6000)
        self.announcements = OrderedAnnouncements(
            self.registry, lambda: 0, lambda: WALL_MS, 3000
        )
        self.rows = DepartureRows(table, "vm-1", self.announcements, lambda: WALL_MS)

    async def accept(self, sequence: int, state: TargetState = SERVING) -> bool:
        """Process an announcement and acknowledge it."""
        await self.rows.wait_restored()
        target = Target("i-1", "127.0.0.1:1", (), 12, 99, state)
        is_accepted = self.announcements.accept(Announcement(target, 0, sequence))
        await self.rows.save()
        return is_accepted

    async def deregister(self) -> None:
        """Process the deregistration of the target and acknowledge it."""
        self.announcements.deregister("i-1")
        await self.rows.save()

    def states(self) -> list[TargetState]:
        """Return the states of the targets in use."""
        return [target.state for target in self.registry.targets()]


def test_restarted_daemon_remembers_the_deregistration_that_it_acknowledged():
    """An instance deregisters, and the daemon acknowledges that and is killed. A
    delayed earlier announcement of the instance arrives at the new process.

    If it were accepted, requests would reach an instance that is about to exit.
    """

    async def scenario() -> None:
        table = FakeTable()
        first = Process(table)
        await first.accept(5)
        await first.deregister()
        second = Process(table)
        assert not await second.accept(6)
        assert second.states() == []

    asyncio.run(scenario())


def test_restarted_daemon_remembers_that_its_target_drains():
    """The daemon is killed after it acknowledged that its instance drains. The new
    process first receives a delayed heartbeat from before the draining, and only then
    the next one from after it.
    """

    async def scenario() -> None:
        table = FakeTable()
        first = Process(table)
        await first.accept(5)
        await first.accept(7, DRAINING)
        await first.accept(8, DRAINING)
        assert table.n_writes == 1
        second = Process(table)
        assert not await second.accept(6)
        assert await second.accept(9, DRAINING)
        assert second.states() == [DRAINING]
        assert table.n_writes == 1

    asyncio.run(scenario())


def test_unavailable_store_delays_answers_only_briefly(monkeypatch):
    """The store is down while an instance announces itself and then deregisters.

    The instance waits one second for an answer before it tries another daemon, but it
    has only this one. Once the store is back, the acknowledged departure is persisted.
    """
    monkeypatch.setattr(departure_rows, "WAIT_MAX_S", 0.01)

    async def scenario() -> None:
        table = FakeTable()
        table.is_unavailable = True
        first = Process(table)
        async with asyncio.timeout(5):
            assert await first.accept(5)
            await first.deregister()
            assert not table.rows
            table.is_unavailable = False
            while not table.rows:
                await asyncio.sleep(0.01)
        second = Process(table)
        assert not await second.accept(6)

    asyncio.run(scenario())


def test_old_and_unreadable_rows_are_ignored_and_removed():
    """Removed VMs and other releases leave obsolete rows on the platform."""

    async def scenario() -> None:
        table = FakeTable()
        old = [["i-1", 0, 9, WALL_MS - RETENTION_MS - 1]]
        for vm, text in (("vm-1", json.dumps(old)), ("vm-2", "not JSON")):
            table.rows[f"departure/{vm}"] = Row(f"departure/{vm}", text)
        process = Process(table)
        assert await process.accept(1)
        await process.deregister()
        assert list(table.rows) == ["departure/vm-1"]

    asyncio.run(scenario())


def test_acknowledgement_waits_for_a_write_that_an_answer_has_started():
    """Guards against an acknowledged departure that a crash right after it loses.

    The target has stated in an answer that it is leaving, and its announcement of the
    same departure arrives while the row is being written.
    """

    async def scenario() -> None:
        table = FakeTable()
        process = Process(table)
        await process.accept(1)
        process.announcements.deregister("i-1")
        process.rows.save_soon()
        await process.accept(2, DRAINING)
        assert table.n_writes == 1
        assert not await Process(table).accept(3)

    asyncio.run(scenario())
