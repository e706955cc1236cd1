"""What daemons tell each other of crashed targets."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from result import Ok

from pepperstair_core.calls import CrashRecord, Quarantine, TrustLevel
from pepperstair_core.decisions import DecisionKind, DecisionLog
from pepperstair_core.wire import CrashRecords
from pepperstair_peers import Identity
from pepperstair_platform import Row
from pepperstaird.crash_reports import CrashReports
from pepperstaird.quarantine_rows import QuarantineRows

NOW_MS = 1_000_000


class Control:
    """A control plane with neighbours that only note what they are sent."""

    def __init__(self):
        self.neighbours = ("a", "b")
        self.sent = defaultdict(list)
        self.neighbour_up_callbacks = []

    def send(self, vm, *frames):
        self.sent[vm] += frames


class Table:
    """Rows in memory."""

    def __init__(self):
        self.rows = {}
        self.n_reads = 0

    async def read_rows(self, prefix):
        self.n_reads += 1
        return Ok(tuple(row for key, row in self.rows.items() if key >= prefix))

    async def commit(self, compare, put):
        self.rows.update((row.key, row) for row in put)
        return Ok(True)

    async def delete_row(self, key):
        del self.rows[key]
        return Ok(True)


class Daemon:
    """The parts of a daemon that have to do with crashes."""

    def __init__(self, vm="vm-1", table=None, *, is_first_start=True):
        self.control, self.table = Control(), table or Table()
        self.quarantine, self.decisions = Quarantine(), DecisionLog()
        rows = QuarantineRows(self.table, lambda: NOW_MS, is_first_start)
        identity = Identity(vm, 7, "127.0.0.1:1", 500)
        self.reports = CrashReports(
            identity, self.control, self.quarantine, rows, self.decisions, lambda: 0.0
        )
        self.reports.start()

    def trust_level(self, fingerprint):
        return self.quarantine.trust_level(fingerprint, 0.0)


async def settled():
    """Wait until what is gathered has gone out."""
    await asyncio.sleep(0.12)


def on_loop(test):
    """Run a test on a loop of its own."""

    def run():
        asyncio.run(asyncio.wait_for(test(), 5))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


@on_loop
async def test_news_goes_on_once_and_not_back_to_where_it_came_from():
    """Guards against records that go round in the fleet for ever."""
    daemon = Daemon()
    frame = CrashRecords((CrashRecord(b"poison", ("vm-2/1/1",)),))
    daemon.control.on_crash_records("a", frame)
    await settled()
    daemon.control.on_crash_records("a", frame)
    daemon.control.on_crash_records("b", frame)
    await settled()
    assert daemon.control.sent == {"b": [frame]}


@on_loop
async def test_what_follows_a_crash_goes_out_in_one_frame():
    """Guards against a frame for each request that a crash put under record."""
    daemon = Daemon()
    running = tuple(b"%d" % index for index in range(12))
    daemon.reports.report_crash("ledger-1", running)
    for fingerprint in running[1:]:
        daemon.reports.report_cleared(daemon.quarantine.record_answer(fingerprint))
    await settled()
    assert [len(frames) for frames in daemon.control.sent.values()] == [1, 1]
    (tell_all,) = daemon.control.neighbour_up_callbacks
    tell_all("new")
    (told,) = daemon.control.sent["new"][0].records
    assert told.fingerprint == b"0"


@on_loop
async def test_third_crash_is_kept_in_the_platform_and_read_by_who_starts():
    """Guards against a quarantine that ends with the processes that knew of it."""
    first = Daemon()
    for _ in range(3):
        first.reports.report_crash("ledger-1", (b"poison",))
    await settled()
    assert first.trust_level(b"poison") is TrustLevel.QUARANTINED
    kinds = [decision.kind for decision in first.decisions.find()]
    assert kinds == [DecisionKind.QUARANTINED]
    later = Daemon("vm-2", first.table, is_first_start=False)
    await settled()
    assert later.trust_level(b"poison") is TrustLevel.QUARANTINED


@on_loop
async def test_crashes_that_are_added_up_by_the_neighbours_are_kept_too():
    """Guards against a quarantine that nobody writes, as nobody saw the third crash."""
    daemon, other = Daemon(), Daemon("vm-2")
    daemon.reports.report_crash("ledger-1", (b"poison",))
    told = CrashRecords((CrashRecord(b"poison", ("vm-2/1/1", "vm-3/1/1")),))
    for each in (daemon, other):
        each.control.on_crash_records("a", told)
    await settled()
    assert daemon.trust_level(b"poison") is TrustLevel.QUARANTINED
    assert list(daemon.table.rows) == [f"quarantine/{b'poison'.hex()}"]
    assert other.table.rows == {}


@on_loop
async def test_row_that_can_not_be_read_is_left_out():
    """Guards against a start that fails on a row of another writer."""
    table = Table()
    for key, value in (
        ("zz", "[[], 1]"),
        ("00", "{"),
        ("01", "[1, 2, 3]"),
        ("02", "[" * 60_000),
    ):
        table.rows[f"quarantine/{key}"] = Row(f"quarantine/{key}", value)
    daemon = Daemon(table=table, is_first_start=False)
    await settled()
    assert list(daemon.quarantine.records()) == []
