"""Distribution of crash records among daemons, and their rows on the platform."""

from __future__ import annotations

import asyncio
import functools
from collections import defaultdict

import pytest
from result import Ok

from pepperstair_core.calls import CrashRecord, Quarantine, TrustLevel
from pepperstair_core.calls.quarantine import QUARANTINE_MS
from pepperstair_core.decisions import DecisionKind, DecisionLog
from pepperstair_core.wire import CrashRecords
from pepperstair_peers import Identity
from pepperstair_platform import Row
from pepperstaird.crash_reports import CrashReports
from pepperstaird.quarantine_rows import QuarantineRows

NOW_MS = 1_000_000


class FakeControl:
    """A control plane that records the frames sent to its neighbours."""

    def __init__(self):
        self.neighbours = ("a", "b")
        self.sent = defaultdict(list)
        self.neighbour_up_callbacks = []
        self.frame_handlers = {}

    def send(self, vm, *frames):
        self.sent[vm] += frames


class FakeTable:
    """An in-memory table of rows."""

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
    """The parts of a daemon that handle crashes."""

    def __init__(
        self,
        vm="vm-1",
        table=None,
        *,
        is_first_start=True,
        start_id=7,
        now_ms=lambda: 0.0,
    ):
        self.now_ms = now_ms
        self.control, self.table = FakeControl(), table or FakeTable()
        self.quarantine, self.decisions = Quarantine(), DecisionLog(lambda: 0)
        rows = QuarantineRows(self.table, lambda: NOW_MS, is_first_start)
        identity = Identity(vm, start_id, "127.0.0.1:1", 500)
        self.reports = CrashReports(
            identity, self.control, self.quarantine, rows, self.decisions, now_ms
        )
        self.reports.start()

    def trust_level(self, fingerprint):
        return self.quarantine.trust_level(fingerprint, self.now_ms())


async def wait_for_batch():
    """Wait until queued records were sent."""
    await asyncio.sleep(0.12)


def on_loop(test):
    """Run a test on its own event loop."""

    def run(**arguments):
        asyncio.run(asyncio.wait_for(test(**arguments), 5))

    return functools.wraps(test)(run)


@on_loop
async def test_new_record_is_forwarded_once_and_not_to_its_sender():
    """Guards against records that circulate in the fleet forever."""
    daemon = Daemon()
    frame = CrashRecords((CrashRecord(b"poison", ("vm-2/1/1",)),))
    daemon.control.frame_handlers[CrashRecords]("a", frame)
    await wait_for_batch()
    daemon.control.frame_handlers[CrashRecords]("a", frame)
    daemon.control.frame_handlers[CrashRecords]("b", frame)
    await wait_for_batch()
    assert daemon.control.sent == {"b": [frame]}


@on_loop
async def test_records_after_a_crash_are_sent_in_one_frame():
    """Guards against one frame for each request that was running at a crash."""
    daemon = Daemon()
    running = tuple(b"%d" % index for index in range(12))
    daemon.reports.report_crash("ledger-1", running)
    for fingerprint in running[1:]:
        daemon.reports.report_cleared(daemon.quarantine.record_answer(fingerprint))
    await wait_for_batch()
    assert [len(frames) for frames in daemon.control.sent.values()] == [1, 1]
    (send_all_records,) = daemon.control.neighbour_up_callbacks
    send_all_records("new")
    (reported,) = daemon.control.sent["new"][0].records
    assert reported.fingerprint == b"0"


@on_loop
async def test_quarantine_is_persisted_and_read_by_a_starting_daemon():
    """Guards against a quarantine that is lost with the processes that hold it."""
    first = Daemon()
    for _ in range(3):
        first.reports.report_crash("ledger-1", (b"poison",))
    await wait_for_batch()
    assert first.trust_level(b"poison") is TrustLevel.QUARANTINED
    kinds = [decision.kind for decision in first.decisions.find()]
    assert kinds == [DecisionKind.QUARANTINED]
    restarted = Daemon("vm-2", first.table, is_first_start=False)
    await wait_for_batch()
    assert restarted.trust_level(b"poison") is TrustLevel.QUARANTINED


@on_loop
async def test_quarantine_reached_by_merged_records_is_persisted():
    """Guards against a quarantine that no daemon persists.

    No daemon detects the third crash of the request; the count is reached only by
    merging records.
    """
    daemon, other = Daemon(), Daemon("vm-2")
    daemon.reports.report_crash("ledger-1", (b"poison",))
    reported = CrashRecords((CrashRecord(b"poison", ("vm-2/1/1", "vm-3/1/1")),))
    for each in (daemon, other):
        each.control.frame_handlers[CrashRecords]("a", reported)
    await wait_for_batch()
    assert daemon.trust_level(b"poison") is TrustLevel.QUARANTINED
    assert list(daemon.table.rows) == [f"quarantine/{b'poison'.hex()}"]
    assert other.table.rows == {}


@on_loop
async def test_unreadable_row_is_ignored():
    """Guards against a start that fails on a row of a different format."""
    table = FakeTable()
    for key, value in (
        ("zz", "[[], 1]"),
        ("00", "{"),
        ("01", "[1, 2, 3]"),
        ("02", "[" * 60_000),
    ):
        table.rows[f"quarantine/{key}"] = Row(f"quarantine/{key}", value)
    daemon = Daemon(table=table, is_first_start=False)
    await wait_for_batch()
    assert list(daemon.quarantine.records()) == []


class Clock:
    """A clock that is set by hand, in milliseconds."""

    def __init__(self, now_ms):
        self.now_ms = now_ms

    def __call__(self):
        return self.now_ms


@pytest.mark.parametrize("way", ["neighbour", "row"])
@on_loop
async def test_quarantine_ends_in_time_at_a_daemon_that_starts_meanwhile(way):
    """Guards against a quarantine that every restart of a daemon begins anew."""
    crashed = Daemon()
    for _ in range(3):
        crashed.reports.report_crash("ledger-1", (b"poison",))
    await wait_for_batch()
    uptime_ms = Clock(5_000.0)
    started = Daemon(
        "vm-2",
        crashed.table if way == "row" else None,
        is_first_start=way == "neighbour",
        start_id=7 + QUARANTINE_MS - 1_000,
        now_ms=uptime_ms,
    )
    if way == "neighbour":
        frame = crashed.control.sent["a"][0]
        started.control.frame_handlers[CrashRecords]("a", frame)
    await wait_for_batch()
    assert started.trust_level(b"poison") is TrustLevel.QUARANTINED
    uptime_ms.now_ms += 1_000.0
    assert started.trust_level(b"poison") is TrustLevel.SUSPECT


@on_loop
async def test_crash_that_seems_to_be_in_the_future_counts_as_new():
    """Guards against a quarantine that is too long as a VM's clock was ahead."""
    uptime_ms = Clock(0.0)
    daemon = Daemon(now_ms=uptime_ms)
    ids = tuple(f"vm-{n}/9999999999999/1/5" for n in range(3))
    frame = CrashRecords((CrashRecord(b"poison", ids),))
    daemon.control.frame_handlers[CrashRecords]("a", frame)
    assert daemon.trust_level(b"poison") is TrustLevel.QUARANTINED
    uptime_ms.now_ms += QUARANTINE_MS
    assert daemon.trust_level(b"poison") is TrustLevel.SUSPECT


@on_loop
async def test_crash_id_of_another_release_counts_as_new():
    daemon = Daemon()
    ids = ("vm-2/1/1", "vm-3/1/x/y", "vm-4", "vm-5/1/1/" + "9" * 5_000)
    frame = CrashRecords((CrashRecord(b"poison", ids),))
    daemon.control.frame_handlers[CrashRecords]("a", frame)
    assert daemon.trust_level(b"poison") is TrustLevel.QUARANTINED


@on_loop
async def test_crash_with_a_wrong_date_counts():
    """Guards against crashes that don't count as the clock of their VM was wrong.

    The daemon on that VM started while the time of day was an hour behind.
    """
    daemon = Daemon(start_id=4_000_000)
    for crash_id in ("vm-2/400000/1/5", "vm-3/4000000/1/5", "vm-4/4000000/1/5"):
        frame = CrashRecords((CrashRecord(b"poison", (crash_id,)),))
        daemon.control.frame_handlers[CrashRecords]("a", frame)
    assert daemon.trust_level(b"poison") is TrustLevel.QUARANTINED
