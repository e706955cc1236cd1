"""Concurrent reads of one table by several parts of a daemon."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_platform import CoalescedRows, Row

ROWS = (Row("departure/a", "1"), Row("member/a", "2"))


class SlowTable:
    """Returns one of the given answers to each read after 10 ms."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.prefixes: list[str] = []

    async def read_rows(self, prefix: str):
        """Return the next answer."""
        self.prefixes.append(prefix)
        await asyncio.sleep(0.01)
        return self.answers.pop(0)


def test_concurrent_reads_share_one_read():
    async def scenario() -> None:
        table = SlowTable(Ok(ROWS), Ok(ROWS))
        rows = CoalescedRows(table)
        reads = (rows.read_rows("member/"), rows.read_rows("departure/"))
        members, departures = await asyncio.gather(*reads)
        assert members == Ok(ROWS[1:]) and departures == Ok(ROWS[:1])
        assert table.prefixes == [""]
        # A later read must not return an earlier result.
        assert await rows.read_rows("member/") == Ok(ROWS[1:])
        assert len(table.prefixes) == 2

    asyncio.run(scenario())


def test_cancelled_reader_does_not_cancel_the_read_of_another():
    """Guards against a cancelled reader that cancels a read it shares with another.

    The daemon would then start without its own departure rows.
    """

    async def scenario() -> None:
        rows = CoalescedRows(SlowTable(Ok(ROWS)))
        cancelled_read = asyncio.ensure_future(rows.read_rows("member/"))
        other_read = asyncio.ensure_future(rows.read_rows("departure/"))
        await asyncio.sleep(0)
        cancelled_read.cancel()
        assert await other_read == Ok(ROWS[:1])

    asyncio.run(scenario())


def test_failed_read_is_not_cached():
    async def scenario() -> None:
        failed = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
        rows = CoalescedRows(SlowTable(failed, Ok(ROWS)))
        assert await rows.read_rows("member/") == failed
        assert await rows.read_rows("member/") == Ok(ROWS[1:])

    asyncio.run(scenario())
