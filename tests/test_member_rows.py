"""Member rows in the platform's table."""

from __future__ import annotations

import asyncio
import json
import random

from result import Ok

from pepperstair_core.members import Member, MemberState
from pepperstair_core.membership import MemberDirectory
from pepperstair_platform import Row
from pepperstaird import member_rows
from pepperstaird.member_rows import MemberRows


class FakePlatform:
    """Holds rows in memory."""

    def __init__(self, *rows: Row) -> None:
        self.rows = {row.key: row for row in rows}
        self.calls: list[str] = []

    async def read_rows(self, prefix: str):
        """Return all rows."""
        self.calls.append("read")
        return Ok(tuple(self.rows.values()))

    async def commit(self, compare, put):
        """Write rows."""
        self.calls.append("write")
        self.rows.update((row.key, row) for row in put)
        return Ok(True)

    async def delete_row(self, key: str):
        """Delete a row."""
        self.rows.pop(key, None)
        return Ok(True)


class FakeControl:
    """Records the discovered addresses."""

    neighbours = ()

    def __init__(self) -> None:
        self.addresses: set[str] = set()

    def discover(self, addresses) -> None:
        """Record the addresses."""
        self.addresses |= set(addresses)


def test_daemon_discovers_others_by_rows_and_removes_its_own(monkeypatch):
    """All seeds in the settings have been replaced; only the rows have addresses."""
    monkeypatch.setattr(member_rows, "_FIRST_WRITE_DELAY_MAX_S", 0.0)
    value = json.dumps({"peer_address": "127.0.0.1:9", "written_ms": 1})
    platform = FakePlatform(Row("member/b", value), Row("member/c", "not JSON"))
    own = Member("a", 1, 0, MemberState.ALIVE, "pos-a", "127.0.0.1:1", ())
    control = FakeControl()

    async def scenario() -> None:
        rows = MemberRows(platform, control, MemberDirectory(own), random.Random(0))
        rows.start()
        async with asyncio.timeout(5):
            while not control.addresses:
                await asyncio.sleep(0.001)
        assert control.addresses == {"127.0.0.1:1", "127.0.0.1:9"}
        assert "member/a" in platform.rows
        await rows.remove_own()

    asyncio.run(scenario())
    assert "member/a" not in platform.rows


def member_row(vm: str, address: str) -> Row:
    """Return the row of a daemon."""
    value = {"peer_address": address, "written_ms": 1}
    return Row(f"member/{vm}", json.dumps(value))


def calls_during_start(platform, neighbours, **options) -> list[str]:
    """Return the calls that a daemon makes to the platform during its start."""
    own = Member("a", 1, 0, MemberState.ALIVE, "pos-a", "127.0.0.1:1", ())
    control = FakeControl()
    control.neighbours = neighbours

    async def scenario() -> None:
        rng = random.Random(0)
        rows = MemberRows(platform, control, MemberDirectory(own), rng, 0.0, **options)
        rows.start()
        await asyncio.sleep(0.05)
        rows.close()

    asyncio.run(scenario())
    return platform.calls


def test_restarted_daemon_with_neighbours_reads_once_and_does_not_write():
    """Guards against unnecessary platform calls when a whole fleet restarts."""
    platform = FakePlatform(member_row("a", "127.0.0.1:1"))
    assert calls_during_start(platform, ("b",)) == ["read"]


def test_daemon_whose_address_changed_writes_its_row():
    platform = FakePlatform(member_row("a", "127.0.0.1:7"))
    assert calls_during_start(platform, ("b",)) == ["read", "write"]


def test_first_start_writes_before_it_reads():
    """Guards against reading a table that no daemon can have written yet."""
    calls = calls_during_start(FakePlatform(), (), is_first_start=True)
    assert calls[:2] == ["write", "read"]
