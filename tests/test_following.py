"""Tests of a followed document: versions only increase, apply as a whole, propagate."""

from __future__ import annotations

import asyncio
import random

from msgspec.structs import replace
from result import Err, Ok

from pepperstair_adapter.settings import parse_all_settings
from pepperstair_core import shared_reading
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.following import (
    CallerLimits,
    FollowedDocument,
    FollowedDocumentState,
    OfferResult,
)
from pepperstair_core.intent import Intent
from pepperstair_core.platform_clock import PlatformClock
from pepperstair_core.schema import Fault
from pepperstair_core.shared_reading import ReadSchedule
from pepperstair_core.wire import (
    DocumentCopy,
    DocumentDelta,
    DocumentFresh,
    DocumentHave,
    DocumentPull,
    compress,
    decompress,
    encode_frame,
)
from pepperstair_core.wire.compression import DECOMPRESSED_MAX_BYTES
from pepperstair_platform import WatchedRow, WatchedRows
from pepperstaird import document_exchange, follower
from pepperstaird.clock import boot_ms
from pepperstaird.follower import ConfigurationFollower
from tests.adapter.documents import document, rule
from tests.adapter.test_settings import render_settings

LIMITS = CallerLimits(1, 1, 1, 1)


def read(data: bytes):
    """Parse a document that consists only of its version."""
    if not data.isdigit():
        return Err([Fault("document", "digits")])
    return Ok(FollowedDocument(int(data), Intent("platform"), LIMITS, data))


def test_version_never_decreases():
    """Two answers of the store are reordered; the older version arrives last."""
    following = FollowedDocumentState(read)
    offers = [following.offer(data) for data in (b"5", b"7", b"6", b"7", b"5")]
    assert offers == [
        OfferResult.IN_FORCE,
        OfferResult.IN_FORCE,
        *[OfferResult.OLDER] * 3,
    ]
    assert following.version == 7


def test_invalid_document_leaves_the_last_valid_one_in_force():
    """The row contains an invalid document, which is read again with each answer.

    Its faults are reported once; the routes in force stay.
    """
    following = FollowedDocumentState(read)
    offers = [following.offer(data) for data in (b"5", b"bad", b"bad", b"6")]
    assert offers == [
        OfferResult.IN_FORCE,
        OfferResult.REJECTED,
        OfferResult.REJECTED_BEFORE,
        OfferResult.IN_FORCE,
    ]


class FakeTable:
    """Returns the given answers in turn, then blocks for ever."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.calls: list[int | None] = []
        self.waits_ms: list[int] = []

    async def read(self):
        """Answer a read of the whole table."""
        return await self._next(None)

    async def wait(self, position, wait_ms):
        """Answer a watch and record its duration."""
        self.waits_ms.append(wait_ms)
        return await self._next(position)

    async def _next(self, position):
        self.calls.append(position)
        if not self.answers:
            await asyncio.Event().wait()
        return self.answers.pop(0)


class FakeControl:
    """Records the frames sent to each neighbour."""

    def __init__(self, *neighbours: str) -> None:
        self.neighbours = neighbours
        self.sent: list[tuple[str, object]] = []
        self.neighbour_up_callbacks: list = []
        self.neighbour_down_callbacks: list = []

    def send(self, vm, *frames):
        """Record the frames."""
        self.sent += [(vm, frame) for frame in frames]


def rows(position: int, *values: bytes) -> Ok:
    """Return an answer with versions of the document."""
    found = tuple(WatchedRow("config", value) for value in values)
    return Ok(WatchedRows(found, position))


def read_text(data: bytes):
    """Parse a document that ends with its version."""
    return read(data.rpartition(b"{")[2]).map(lambda found: replace(found, data=data))


def run_text_follower(table, control, frames, **options):
    """Run a follower of longer documents for a moment and return it."""
    return run_follower(table, control, frames, reader=read_text, wait_s=0.6, **options)


def run_follower(
    table,
    control,
    frames=(),
    for_s=0.05,
    seed=1,
    reader=read,
    wait_s=0.01,
    lost=(),
    **options,
):
    """Run a follower for a moment and return it.

    It receives `frames` from neighbours, then the neighbours in `lost` disconnect.
    """

    async def scenario() -> ConfigurationFollower:
        following = ConfigurationFollower(
            table,
            "config",
            reader,
            {},
            control,
            DecisionLog(lambda: 0),
            random.Random(seed),
            **options,
        )
        following.start()
        await asyncio.sleep(wait_s)
        for vm, frame in frames:
            control.on_configuration_frame(vm, frame)
        await asyncio.sleep(for_s)
        for vm in lost:
            for callback in control.neighbour_down_callbacks:
                callback(vm)
        await asyncio.sleep(for_s if lost else 0.0)
        following.close()
        return following

    return asyncio.run(scenario())


def test_table_is_read_again_when_the_watch_has_expired(monkeypatch):
    """The store has discarded its history, so the watch can't be continued."""
    monkeypatch.setattr(follower, "_PAUSE_MIN_S", 0.0)
    table = FakeTable(
        rows(3, b"5"), Err(Failure(ErrorKind.WATCH_EXPIRED)), rows(9, b"7")
    )
    following = run_follower(table, FakeControl())
    assert following.versions() == {"platform": 7}
    assert table.calls == [None, 3, None, 9]


def test_only_the_newest_valid_version_of_an_answer_is_put_in_force():
    """Versions arrive in quick succession, and the last one is invalid."""
    following = run_follower(
        FakeTable(rows(3, b"5", b"6", b"7", b"bad")), FakeControl()
    )
    assert following.versions() == {"platform": 7}
    assert (following.n_rejected, following.n_ignored) == (1, 0)


def test_removed_row_leaves_the_routes_in_force():
    table = FakeTable(rows(3, b"5"), Ok(WatchedRows((WatchedRow("config", None),), 4)))
    assert run_follower(table, FakeControl(), for_s=0.5).versions() == {"platform": 5}


def test_daemon_refused_by_the_store_gets_the_version_from_a_neighbour():
    """The store refuses only this VM; a neighbour has a version in force.

    Without the neighbour's copy this daemon would refuse every request as not ready.
    """
    refused = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
    control = FakeControl("vm-2", "vm-3")
    frames = [("vm-2", DocumentHave(5)), ("vm-2", DocumentCopy(compress(b"5"), 3))]
    following = run_follower(FakeTable(*[refused] * 9), control, frames)
    assert following.versions() == {"platform": 5}
    assert following.is_floor_known
    # It announces the version to the others; the sender of the copy knows it already.
    assert ("vm-3", DocumentHave(5)) in control.sent


def test_neighbour_with_an_older_version_can_pull_the_document():
    control = FakeControl("vm-2")
    frames = [("vm-2", DocumentHave(4)), ("vm-2", DocumentPull(4))]
    run_follower(FakeTable(rows(3, b"5")), control, frames)
    assert control.sent == [
        ("vm-2", DocumentHave(5)),
        ("vm-2", DocumentHave(5)),
        ("vm-2", DocumentCopy(compress(b"5"), 3)),
    ]


def test_daemon_without_any_version_pulls_at_once():
    control = FakeControl("vm-2")
    refused = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
    run_follower(FakeTable(*[refused] * 9), control, [("vm-2", DocumentHave(4))])
    assert ("vm-2", DocumentPull(0)) in control.sent


def test_corrupt_copy_is_ignored():
    """A neighbour of another release sends something else instead of a copy."""
    control = FakeControl("vm-2")
    refused = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
    frames = [
        ("vm-2", DocumentCopy(data, 3)) for data in (b"5", compress(b"5")[:-2], b"")
    ]
    following = run_follower(FakeTable(*[refused] * 9), control, frames)
    assert following.versions() == {}


def test_copy_beyond_the_decompressed_size_limit_is_refused():
    """A few bytes that decompress to gigabytes would exhaust the VM's memory."""
    assert decompress(compress(b"0" * DECOMPRESSED_MAX_BYTES)) is not None
    assert decompress(compress(b"0" * (DECOMPRESSED_MAX_BYTES + 1))) is None


def test_copy_of_a_large_document_fits_one_frame():
    """A copy has thousands of routes. A frame over the limit makes its receiver close
    the stream, so that the two daemons would lose their connection with each version.
    """
    rules = [rule(f"r-{index:x}", f"/p{index:x}/", "ledger") for index in range(3000)]
    data = document(7, *rules)
    settings = parse_all_settings(render_settings()).unwrap().product
    frame_max_bytes = settings.peers.frame_max_bytes
    assert len(data) > frame_max_bytes
    assert len(encode_frame(DocumentCopy(compress(data), 3))) < frame_max_bytes / 2


def test_watch_continues_from_the_position_of_a_neighbours_copy(monkeypatch):
    """Versions arrive in quick succession, and a neighbour sends one between two
    watches.

    If the watch continued from the previous position, the store would send the same
    version again, which takes most of a second on a slow link.
    """
    monkeypatch.setattr(follower, "_PAUSE_MIN_S", 0.03)
    table = FakeTable(rows(3, b"5"))
    copy = DocumentCopy(compress(b"7"), 9)
    following = run_follower(table, FakeControl(), [("vm-2", copy)], for_s=0.1)
    assert following.versions() == {"platform": 7}
    assert table.calls == [None, 9]


def test_copy_of_an_older_version_does_not_move_the_watch(monkeypatch):
    """A neighbour that lags behind sends its version."""
    monkeypatch.setattr(follower, "_PAUSE_MIN_S", 0.03)
    table = FakeTable(rows(3, b"5"))
    copy = DocumentCopy(compress(b"4"), 9)
    run_follower(table, FakeControl(), [("vm-2", copy)], for_s=0.1)
    assert table.calls == [None, 3]


def test_watches_of_daemons_started_together_are_not_renewed_together(monkeypatch):
    """Six daemons are killed together and restart, and the store stops answering just
    after each has started its watch. A version is written in the meantime.

    If their watches ended at the same time, all would hang for six seconds or more
    after the store has recovered, and route by the old version.
    """
    monkeypatch.setattr(follower, "_PAUSE_MIN_S", 0.0)
    for fleet in range(20):
        first_waits_ms = []
        for number in range(6):
            table = FakeTable(rows(3, b"5"))
            run_follower(table, FakeControl(), for_s=0.01, seed=6 * fleet + number)
            first_waits_ms.append(table.waits_ms[0])
        assert min(first_waits_ms) <= 5_500


def test_versions_in_quick_succession_do_not_saturate_a_slow_link(monkeypatch):
    """The transfer of a document takes 0.1 s on the VM's link, and versions arrive in
    quick succession.

    Reads without a pause in between would saturate the link and delay calls.
    """
    monkeypatch.setattr(follower, "_PAUSE_MIN_S", 0.0)
    table = FakeTable(rows(3, b"5"), rows(4, b"6"), rows(5, b"7"))
    slow = {"transfer_s": lambda n_bytes: 0.1 * n_bytes}
    run_follower(table, FakeControl(), for_s=0.09, **slow)
    assert len(table.calls) == 1


def test_daemon_on_a_slow_link_pulls_versions_from_its_neighbours(monkeypatch):
    """The transfer of the document takes a second on the VM's link. Its watch would
    transfer the document with each version and delay all calls.
    """
    monkeypatch.setattr(follower, "_PAUSE_MIN_S", 0.0)
    monkeypatch.setattr(follower, "_PAUSE_MAX_S", 0.0)
    table = FakeTable(rows(3, b"5"))
    control = FakeControl("vm-2", "vm-3")
    frames = [("vm-2", DocumentHave(7)), ("vm-3", DocumentHave(7))]
    slow = {"transfer_s": lambda n_bytes: 1.0, "must_watch": lambda: False}
    run_follower(table, control, frames, **slow)
    assert table.calls == [None]
    # It pulls from one neighbour at once, and the same version from no second one.
    assert [sent for sent in control.sent if sent[1] == DocumentPull(5)] == [
        ("vm-2", DocumentPull(5))
    ]


def test_daemon_on_a_slow_link_watches_where_others_depend_on_it(monkeypatch):
    """A daemon on a slow link has lost its last neighbour, or it is the one in its zone
    that discovers versions for the others.
    """
    monkeypatch.setattr(follower, "_PAUSE_MIN_S", 0.0)
    monkeypatch.setattr(follower, "_PAUSE_MAX_S", 0.0)
    monkeypatch.setattr(follower, "_WATCH_CHECK_INTERVAL_S", 0.01)
    table = FakeTable(rows(3, b"5"))
    must_watch = [False]
    slow = {"transfer_s": lambda n_bytes: 1.0, "must_watch": lambda: must_watch[0]}
    control = FakeControl()
    frames = [("vm-2", DocumentHave(5))]
    run_follower(table, control, frames, **slow)
    assert table.calls == [None]
    must_watch[0] = True
    table = FakeTable(rows(3, b"5"))
    run_follower(table, control, frames, **slow)
    assert table.calls == [None, 3] and table.waits_ms[0] > 0


def shared_options(**options):
    """Return the options of a follower in a fleet that shares its reads."""
    schedule = ReadSchedule(2000.0, boot_ms(), random.Random(1))
    return {"schedule": schedule, "reader_rank": lambda: 9, **options}


def test_starting_daemon_uses_a_neighbours_copy_and_reads_nothing():
    """Guards against reads of the store that grow with the number of daemon starts."""
    table, control = FakeTable(rows(3, b"5")), FakeControl("vm-2", "vm-3")
    frames = [
        ("vm-2", DocumentFresh(5, 3, 10)),
        ("vm-2", DocumentCopy(compress(b"5"), 3, 10)),
    ]
    following = run_follower(table, control, frames, for_s=0.5, **shared_options())
    assert following.versions() == {"platform": 5}
    assert table.calls == []
    # The confirmation is forwarded to the other neighbours.
    forwarded_to = [
        vm for vm, frame in control.sent if isinstance(frame, DocumentFresh)
    ]
    assert "vm-3" in forwarded_to


def test_daemon_without_a_recent_confirmation_reads_the_table(monkeypatch):
    """Guards against live neighbours that have lost their connection to the store."""
    monkeypatch.setattr(shared_reading, "FIRST_READ_SHARE", 0.05)
    monkeypatch.setattr(shared_reading, "LAST_READ_SHARE", 0.05)
    table, control = FakeTable(rows(9, b"7")), FakeControl("vm-2", "vm-3")
    copy = DocumentCopy(compress(b"5"), 3, 10)
    following = run_follower(
        table, control, [("vm-2", copy)], for_s=0.5, **shared_options()
    )
    assert following.versions() == {"platform": 7}
    assert table.calls[0] == 3 and table.waits_ms[0] == 0


def test_version_announced_while_an_older_one_arrives_is_pulled_at_once():
    """Guards against daemons that lag when versions arrive in quick succession."""
    control = FakeControl("vm-2", "vm-3")
    frames = [
        ("vm-2", DocumentFresh(5, 3, 10)),
        ("vm-3", DocumentFresh(6, 4, 10)),
        ("vm-2", DocumentCopy(compress(b"5"), 3, 10)),
    ]
    run_follower(FakeTable(), control, frames, **shared_options())
    assert ("vm-3", DocumentPull(5)) in control.sent


def test_confirmation_of_an_older_version_is_ignored():
    """Guards against a daemon that trusts a neighbour with an older version."""
    table, control = FakeTable(), FakeControl("vm-2", "vm-3")
    frames = [
        ("vm-2", DocumentCopy(compress(b"5"), 3)),
        ("vm-3", DocumentFresh(4, 9, 0)),
    ]
    following = run_follower(table, control, frames, **shared_options())
    assert not following.schedule.is_confirmed
    assert ("vm-3", DocumentHave(5)) in control.sent


def test_neighbour_with_the_previous_version_gets_a_delta():
    """Guards against sending whole documents over slow links for one changed route."""
    routes = b"".join(b"{%x" % (index**5) for index in range(200))
    old, new = routes + b"{5", routes + b"{6"
    control = FakeControl("vm-2")
    frames = [("vm-2", DocumentPull(5)), ("vm-2", DocumentPull(4))]
    run_text_follower(FakeTable(rows(3, old), rows(4, new)), control, frames)
    sent = [type(frame) for _, frame in control.sent]
    assert sent.count(DocumentDelta) == 1 and sent.count(DocumentCopy) == 1


def test_version_is_announced_before_it_arrives_and_forwarded_on_arrival():
    """Guards against a propagation delay that includes parsing at each daemon."""
    control = FakeControl("vm-2", "vm-3")
    copy = DocumentCopy(compress(b"5"), 3)
    frames = [
        ("vm-2", DocumentHave(5)),
        ("vm-3", DocumentPull(0)),
        ("vm-2", copy),
    ]
    run_follower(FakeTable(), control, frames, **shared_options())
    sent_to_vm_3 = [frame for vm, frame in control.sent if vm == "vm-3"]
    assert sent_to_vm_3 == [DocumentHave(5), copy]


def test_pull_moves_on_to_the_next_neighbour_after_a_timeout(monkeypatch):
    """Guards against a daemon that waits for a neighbour killed in the meantime."""
    monkeypatch.setattr(shared_reading, "PULL_RETRY_SHARE", 0.005)
    control = FakeControl("vm-2", "vm-3")
    frames = [("vm-2", DocumentHave(5)), ("vm-3", DocumentHave(5))]
    run_follower(FakeTable(), control, frames, **shared_options())
    requested_vms = [vm for vm, frame in control.sent if frame == DocumentPull(0)]
    assert requested_vms[:3] == ["vm-2", "vm-3", "vm-2"]


def test_pull_moves_on_at_once_when_its_neighbour_is_lost():
    """Guards against a version that is delayed as its source has disconnected."""
    control = FakeControl("vm-2", "vm-3", "vm-4")
    frames = [(vm, DocumentHave(5)) for vm in control.neighbours]
    run_follower(
        FakeTable(), control, frames, lost=("vm-3", "vm-2"), **shared_options()
    )
    requested_vms = [vm for vm, frame in control.sent if frame == DocumentPull(0)]
    assert requested_vms == ["vm-2", "vm-4"]


def test_rejected_document_is_not_pulled_again(monkeypatch):
    """Guards against endless copies of an invalid version that saturate a slow link."""
    monkeypatch.setattr(shared_reading, "PULL_RETRY_SHARE", 0.005)
    control = FakeControl("vm-2")
    frames = [("vm-2", DocumentHave(5)), ("vm-2", DocumentCopy(compress(b"bad"), 3))]
    frames += [("vm-2", DocumentHave(5))] * 3
    run_follower(FakeTable(), control, frames, **shared_options())
    assert [frame for _, frame in control.sent if isinstance(frame, DocumentPull)] == []


def test_rejected_older_version_does_not_bar_the_newest_one(monkeypatch):
    """Guards against a valid version that is never pulled while the store is silent.

    The newest version is announced before the copy of an invalid one arrives.
    """
    monkeypatch.setattr(shared_reading, "PULL_RETRY_SHARE", 0.005)
    control = FakeControl("vm-2", "vm-3")
    frames = [
        ("vm-2", DocumentHave(5)),
        ("vm-3", DocumentHave(6)),
        ("vm-2", DocumentCopy(compress(b"5 bad"), 3)),
    ]
    run_follower(
        FakeTable(),
        control,
        frames,
        read_number=lambda data: int(data[:1]),
        **shared_options(),
    )
    assert ("vm-3", DocumentPull(0)) in control.sent


def test_unreadable_version_is_pulled_again_in_the_end(monkeypatch):
    """Guards against a damaged copy that bars a version for good."""
    monkeypatch.setattr(shared_reading, "PULL_RETRY_SHARE", 0.005)
    monkeypatch.setattr(document_exchange, "REJECTED_RETRY_S", 0.1)
    control = FakeControl("vm-2")
    frames = [("vm-2", DocumentHave(5)), ("vm-2", DocumentCopy(compress(b"bad"), 3))]
    run_follower(FakeTable(), control, frames, 0.3, **shared_options())
    assert ("vm-2", DocumentPull(0)) in control.sent


def test_daemon_that_rejected_the_newest_version_sends_no_confirmation():
    """Guards against an older release that keeps newer releases at an old version."""
    control = FakeControl("vm-2")
    table = FakeTable(rows(3, b"5", b"bad"))
    following = run_follower(
        table, control, [("vm-2", DocumentHave(4))], 0.5, **shared_options()
    )
    assert following.versions() == {"platform": 5}
    assert [
        frame for _, frame in control.sent if isinstance(frame, DocumentFresh)
    ] == []
    assert ("vm-2", DocumentHave(5)) in control.sent
    assert len(table.calls) == 1


def test_other_rows_are_passed_on_before_the_document_is_confirmed():
    """Guards against a confirmation that there is no order while one is being read."""
    events = []
    order, removed = WatchedRow("rollout/a", b"{}", 2), WatchedRow("rollout/a", None, 4)
    table = FakeTable(
        Ok(WatchedRows((WatchedRow("config", b"5"), order), 3)),
        Ok(WatchedRows((removed,), 4)),
    )

    class Control(FakeControl):
        def send(self, vm, *frames):
            events.extend(type(frame) for frame in frames)

    schedule = ReadSchedule(1000.0, 0.0, random.Random(1), 0.0)

    async def scenario():
        following = ConfigurationFollower(
            table,
            "config",
            read,
            {},
            Control("vm-2"),
            DecisionLog(lambda: 0),
            random.Random(1),
            schedule=schedule,
        )
        following.on_other_rows = lambda *passed: events.append(passed)
        following.start()
        await asyncio.sleep(0.6)
        following.close()

    asyncio.run(scenario())
    assert events[0] == ((order,), 3)
    assert ((removed,), None) in events
    assert DocumentFresh in events


def confirmed_age_ms(following) -> float:
    """Return the age of a follower's last confirmation, by its own account."""
    return boot_ms() - following.schedule.confirmed_ms


def test_answer_is_dated_when_it_was_made():
    """Guards against a slow answer that counts as the newest of its arrival."""

    class SlowTable(FakeTable):
        async def read(self):
            self.started_ms = boot_ms()
            await asyncio.sleep(0.3)
            return Ok(WatchedRows((WatchedRow("config", b"5"),), 3, 90_100))

    clock = PlatformClock()
    options = shared_options(clock=clock)
    table = SlowTable()
    following = run_follower(table, FakeControl(), for_s=0.8, **options)
    # The platform's time is not known here, so the answer counts from its request.
    assert following.schedule.confirmed_ms <= table.started_ms + 1

    now_ms = boot_ms()
    clock.observe(now_ms - 4, now_ms, 90_000)
    table = SlowTable()
    following = run_follower(table, FakeControl(), for_s=0.8, **options)
    made_ms = now_ms + 100
    assert made_ms - 10 <= following.schedule.confirmed_ms <= made_ms


def test_delayed_frame_is_dated_by_the_platforms_clock():
    """Guards against a confirmation that grows younger while a link holds it up."""
    clock = PlatformClock()
    now_ms = boot_ms()
    clock.observe(now_ms - 4, now_ms, 90_000)
    control = FakeControl("vm-2", "vm-3")
    # The frame was made 10 ms after the confirmation and took 1.5 s.
    frames = [
        ("vm-2", DocumentCopy(compress(b"5"), 3, 10, 88_500)),
        ("vm-2", DocumentFresh(5, 3, 10, 88_500)),
    ]
    following = run_follower(
        FakeTable(), control, frames, **shared_options(clock=clock)
    )
    assert confirmed_age_ms(following) >= 1_500
    forwarded = [frame for _, frame in control.sent if isinstance(frame, DocumentFresh)]
    assert {frame.platform_ms for frame in forwarded} == {88_500}


def test_answer_behind_the_known_position_confirms_nothing():
    """Guards against a replica of the store that lags behind the others."""
    frames = [
        ("vm-2", DocumentCopy(compress(b"5"), 9, -1)),
    ]
    table = FakeTable(Ok(WatchedRows((), 7)))
    following = run_follower(
        table, FakeControl("vm-2"), frames, for_s=0.8, **shared_options()
    )
    assert table.calls[0] == 9
    assert not following.schedule.is_confirmed


def test_document_on_its_way_is_not_sent_again():
    """Guards against copies of copies that fill a slow link."""
    control = FakeControl("vm-2")
    frames = [("vm-2", DocumentPull(0)), ("vm-2", DocumentPull(0))]
    run_follower(FakeTable(rows(3, b"5")), control, frames, **shared_options())
    assert [type(frame) for _, frame in control.sent].count(DocumentCopy) <= 1
    control = FakeControl("vm-2")
    run_follower(FakeTable(rows(3, b"5")), control, frames, wait_s=0.5)
    assert [type(frame) for _, frame in control.sent].count(DocumentCopy) == 1


def test_documents_leave_a_slow_link_one_after_the_other():
    """Guards against copies that all arrive as late as the last of them."""
    control = FakeControl("vm-2", "vm-3")
    frames = [("vm-2", DocumentPull(0)), ("vm-3", DocumentPull(0))]
    slow = {"upload_s": lambda n_bytes: 0.2}
    run_follower(FakeTable(rows(3, b"5")), control, frames, wait_s=0.5, **slow)
    copies = [vm for vm, frame in control.sent if isinstance(frame, DocumentCopy)]
    assert copies == ["vm-2"]
    run_follower(
        FakeTable(rows(3, b"5")), control, frames, for_s=0.3, wait_s=0.5, **slow
    )
    copies = [vm for vm, frame in control.sent if isinstance(frame, DocumentCopy)]
    assert copies == ["vm-2", "vm-2", "vm-3"]


def test_confirmation_keeps_the_pull_of_a_version_that_is_awaited():
    """Guards against a neighbour that has to repeat its pull after a timeout."""
    control = FakeControl("vm-2", "vm-3")
    copy = DocumentCopy(compress(b"6"), 4)
    frames = [
        ("vm-2", DocumentCopy(compress(b"5"), 3)),
        ("vm-2", DocumentHave(6)),
        ("vm-3", DocumentPull(5)),
        ("vm-3", DocumentFresh(5, 3, 10)),
        ("vm-2", copy),
    ]
    run_follower(FakeTable(), control, frames, **shared_options())
    assert ("vm-3", copy) in control.sent


def test_slow_read_is_abandoned_for_the_copy_of_a_neighbour():
    """Guards against a copy that shares a slow link with the whole document."""

    class HangingTable(FakeTable):
        n_abandoned = 0

        async def wait(self, position, wait_ms):
            try:
                return await super().wait(position, wait_ms)
            except asyncio.CancelledError:
                self.n_abandoned += 1
                raise

    copy = DocumentCopy(compress(b"5"), 3, 10)
    frames = [("vm-2", copy), ("vm-2", DocumentHave(6))]
    for transfer_s, n_abandoned in ((1.0, 1), (0.1, 0)):
        table = HangingTable()
        counts = []

        async def scenario(table=table, transfer_s=transfer_s, counts=counts):
            control = FakeControl("vm-2", "vm-3")
            following = ConfigurationFollower(
                table,
                "config",
                read,
                {},
                control,
                DecisionLog(lambda: 0),
                random.Random(1),
                transfer_s=lambda n_bytes: transfer_s,
                **shared_options(),
            )
            following.schedule.bound_ms = 400.0
            following.start()
            control.on_configuration_frame(*frames[0])
            await asyncio.sleep(0.35)
            control.on_configuration_frame(*frames[1])
            await asyncio.sleep(0.02)
            counts.append(table.n_abandoned)
            following.close()

        asyncio.run(scenario())
        assert table.calls[0] == 3 and counts == [n_abandoned]


def test_daemon_watches_again_once_the_store_has_answered_it():
    """Guards against a fleet in which nobody watches after an outage of the store."""
    schedule = ReadSchedule(2000.0, 0.0, random.Random(1))
    schedule.record_read_failure(10_000.0)
    assert not schedule.is_watcher(0, 10_100.0)
    schedule.record_read_success()
    assert schedule.is_watcher(0, 10_100.0)
