"""Reads of one table that several parts of a daemon ask for."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_platform import CoalescedRows, Row

ROWS = (Row("departure/a", "1"), Row("member/a", "2"))


class SlowTable:
    """Answers each read after a moment."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.prefixes: list[str] = []

    async def read_rows(self, prefix: str):
        """Return the next answer."""
        self.prefixes.append(prefix)
        await asyncio.sleep(0.01)
        return self.answers.pop(0)


def test_reads_asked_for_together_are_one_read():
    async def scenario() -> None:
        table = SlowTable(Ok(ROWS), Ok(ROWS))
        rows = CoalescedRows(table)
        reads = (rows.read_rows("member/"), rows.read_rows("departure/"))
        members, departures = await asyncio.gather(*reads)
        assert members == Ok(ROWS[1:]) and departures == Ok(ROWS[:1])
        assert table.prefixes == [""]
        # A later read must not answer with what was true before it.
        assert await rows.read_rows("member/") == Ok(ROWS[1:])
        assert len(table.prefixes) == 2

    asyncio.run(scenario())


def test_reader_that_leaves_does_not_cancel_the_read_of_another():
    """Guards against a daemon that starts without its own departures."""

    async def scenario() -> None:
        rows = CoalescedRows(SlowTable(Ok(ROWS)))
        leaving = asyncio.ensure_future(rows.read_rows("member/"))
        staying = asyncio.ensure_future(rows.read_rows("departure/"))
        await asyncio.sleep(0)
        leaving.cancel()
        assert await staying == Ok(ROWS[:1])

    asyncio.run(scenario())


def test_failed_read_fails_for_all_and_is_not_kept():
    async def scenario() -> None:
        failed = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
        rows = CoalescedRows(SlowTable(failed, Ok(ROWS)))
        assert await rows.read_rows("member/") == failed
        assert await rows.read_rows("member/") == Ok(ROWS[1:])

    asyncio.run(scenario())
