"""Following a document: never back, never in part; spread among neighbours."""

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
from tests.adapter.test_settings import filled

LIMITS = CallerLimits(1, 1, 1, 1)


def read(data: bytes):
    """Read a document that is only its version."""
    if not data.isdigit():
        return Err([Fault("document", "digits")])
    return Ok(FollowedDocument(int(data), Intent("platform"), LIMITS, data))


def test_version_never_goes_back():
    """Two answers of the store cross; the older version arrives last."""
    following = FollowedDocumentState(read)
    offers = [following.offer(data) for data in (b"5", b"7", b"6", b"7", b"5")]
    assert offers == [
        OfferResult.IN_FORCE,
        OfferResult.IN_FORCE,
        *[OfferResult.OLDER] * 3,
    ]
    assert following.version == 7


def test_document_that_can_not_be_read_leaves_the_last_good_one():
    """The row holds bytes that are no document, read again with each answer.

    It is said once why; the routes in force stay.
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
    """Gives answers in turn, then waits for ever."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.calls: list[int | None] = []
        self.waits_ms: list[int] = []

    async def read(self):
        """Answer a read of the whole table."""
        return await self._next(None)

    async def wait(self, position, wait_ms):
        """Answer a watch."""
        self.waits_ms.append(wait_ms)
        return await self._next(position)

    async def _next(self, position):
        self.calls.append(position)
        if not self.answers:
            await asyncio.Event().wait()
        return self.answers.pop(0)


class FakeControl:
    """Keeps what is sent to each neighbour."""

    def __init__(self, *neighbours: str) -> None:
        self.neighbours = neighbours
        self.sent: list[tuple[str, object]] = []
        self.neighbour_up_callbacks: list = []
        self.neighbour_down_callbacks: list = []

    def send(self, vm, *frames):
        """Keep the frames."""
        self.sent += [(vm, frame) for frame in frames]


def rows(position: int, *values: bytes) -> Ok:
    """Return an answer with versions of the document."""
    found = tuple(WatchedRow("config", value) for value in values)
    return Ok(WatchedRows(found, position))


def read_text(data: bytes):
    """Read a document that ends with its version."""
    return read(data.rpartition(b"{")[2]).map(lambda found: replace(found, data=data))


def follow_text(table, control, frames, **more):
    """Let a follower of longer documents run for a moment and return it."""
    return follow(table, control, frames, reader=read_text, wait_s=0.6, **more)


def follow(
    table,
    control,
    frames=(),
    for_s=0.05,
    seed=1,
    reader=read,
    wait_s=0.01,
    lost=(),
    **more,
):
    """Let a follower run for a moment and return it.

    It gets `frames` from neighbours, then those in `lost` go.
    """

    async def scenario() -> ConfigurationFollower:
        following = ConfigurationFollower(
            table,
            "config",
            reader,
            {},
            control,
            DecisionLog(),
            random.Random(seed),
            **more,
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


def test_table_is_read_anew_when_the_watch_has_lost_its_history(monkeypatch):
    """The store forgets its history; the watch can't be continued."""
    monkeypatch.setattr(follower, "_SETTLE_S", 0.0)
    table = FakeTable(
        rows(3, b"5"), Err(Failure(ErrorKind.WATCH_EXPIRED)), rows(9, b"7")
    )
    following = follow(table, FakeControl())
    assert following.versions() == {"platform": 7}
    assert table.calls == [None, 3, None, 9]


def test_only_the_newest_good_version_of_an_answer_is_put_in_force():
    """Versions come in quick succession, and the last one is no document."""
    following = follow(FakeTable(rows(3, b"5", b"6", b"7", b"bad")), FakeControl())
    assert following.versions() == {"platform": 7}
    assert (following.n_rejected, following.n_ignored) == (1, 0)


def test_removed_row_leaves_the_routes_in_force():
    table = FakeTable(rows(3, b"5"), Ok(WatchedRows((WatchedRow("config", None),), 4)))
    assert follow(table, FakeControl(), for_s=0.5).versions() == {"platform": 5}


def test_daemon_that_the_store_turns_away_learns_from_a_neighbour():
    """The store refuses this VM only; a neighbour has a version in force.

    Without the neighbour this daemon would refuse every request as not ready.
    """
    refused = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
    control = FakeControl("vm-2", "vm-3")
    frames = [("vm-2", DocumentHave(5)), ("vm-2", DocumentCopy(compress(b"5"), 3))]
    following = follow(FakeTable(*[refused] * 9), control, frames)
    assert following.versions() == {"platform": 5}
    assert following.is_floor_known
    # It tells the others; the one that it has it from knows by itself.
    assert ("vm-3", DocumentHave(5)) in control.sent


def test_neighbour_that_is_behind_gets_the_document_when_it_asks():
    control = FakeControl("vm-2")
    frames = [("vm-2", DocumentHave(4)), ("vm-2", DocumentPull(4))]
    follow(FakeTable(rows(3, b"5")), control, frames)
    assert control.sent == [
        ("vm-2", DocumentHave(5)),
        ("vm-2", DocumentHave(5)),
        ("vm-2", DocumentCopy(compress(b"5"), 3)),
    ]


def test_daemon_without_any_version_asks_at_once():
    control = FakeControl("vm-2")
    refused = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
    follow(FakeTable(*[refused] * 9), control, [("vm-2", DocumentHave(4))])
    assert ("vm-2", DocumentPull(0)) in control.sent


def test_damaged_copy_changes_nothing():
    """A neighbour of another release sends something else in a copy's place."""
    control = FakeControl("vm-2")
    refused = Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
    frames = [
        ("vm-2", DocumentCopy(data, 3)) for data in (b"5", compress(b"5")[:-2], b"")
    ]
    following = follow(FakeTable(*[refused] * 9), control, frames)
    assert following.versions() == {}


def test_copy_that_unpacks_to_more_than_anything_sent_is_refused():
    """A few bytes that unpack to gigabytes would fill the memory of the VM."""
    assert decompress(compress(b"0" * DECOMPRESSED_MAX_BYTES)) is not None
    assert decompress(compress(b"0" * (DECOMPRESSED_MAX_BYTES + 1))) is None


def test_copy_of_a_large_document_fits_one_frame():
    """Thousands of routes: a frame over the limit makes its receiver close the
    stream, and the two daemons lose sight of each other with each version.
    """
    rules = [rule(f"r-{index:x}", f"/p{index:x}/", "ledger") for index in range(3000)]
    data = document(7, *rules)
    settings = parse_all_settings(filled()).unwrap().product
    frame_max_bytes = settings.peers.frame_max_bytes
    assert len(data) > frame_max_bytes
    assert len(encode_frame(DocumentCopy(compress(data), 3))) < frame_max_bytes / 2


def test_watch_goes_on_from_where_a_neighbour_has_read(monkeypatch):
    """Versions come in quick succession, and a neighbour tells of one between two
    watches.

    Watched from the position of before, the source would send the same version once
    more, which takes a slow link the better part of a second.
    """
    monkeypatch.setattr(follower, "_SETTLE_S", 0.03)
    table = FakeTable(rows(3, b"5"))
    copy = DocumentCopy(compress(b"7"), 9)
    following = follow(table, FakeControl(), [("vm-2", copy)], for_s=0.1)
    assert following.versions() == {"platform": 7}
    assert table.calls == [None, 9]


def test_copy_of_an_older_version_does_not_move_the_watch(monkeypatch):
    """A neighbour that is behind sends what it has."""
    monkeypatch.setattr(follower, "_SETTLE_S", 0.03)
    table = FakeTable(rows(3, b"5"))
    copy = DocumentCopy(compress(b"4"), 9)
    follow(table, FakeControl(), [("vm-2", copy)], for_s=0.1)
    assert table.calls == [None, 3]


def test_watches_of_daemons_started_together_are_not_renewed_together(monkeypatch):
    """Six daemons were killed together, and the store turns silent just when each of
    them has begun its watch. A version is written meanwhile.

    In step, they would all hang on their watches for six seconds and more after the
    store is back, and route by the old version.
    """
    monkeypatch.setattr(follower, "_SETTLE_S", 0.0)
    for fleet in range(20):
        first_waits_ms = []
        for number in range(6):
            table = FakeTable(rows(3, b"5"))
            follow(table, FakeControl(), for_s=0.01, seed=6 * fleet + number)
            first_waits_ms.append(table.waits_ms[0])
        assert min(first_waits_ms) <= 5_500


def test_versions_in_quick_succession_leave_room_on_a_slow_link(monkeypatch):
    """The document takes the VM's link 0.1 s, and versions follow each other.

    Read one after the other without a pause they would fill the link, and calls
    would wait behind them.
    """
    monkeypatch.setattr(follower, "_SETTLE_S", 0.0)
    table = FakeTable(rows(3, b"5"), rows(4, b"6"), rows(5, b"7"))
    slow = {"carry_s": lambda n_bytes: 0.1 * n_bytes}
    follow(table, FakeControl(), for_s=0.09, **slow)
    assert len(table.calls) == 1


def test_daemon_on_a_slow_link_takes_versions_from_its_neighbours(monkeypatch):
    """The document takes the VM's link a second. Its watch would bring it with each
    version, and all calls would wait behind it.
    """
    monkeypatch.setattr(follower, "_SETTLE_S", 0.0)
    monkeypatch.setattr(follower, "_SETTLE_MAX_S", 0.0)
    table = FakeTable(rows(3, b"5"))
    control = FakeControl("vm-2", "vm-3")
    frames = [("vm-2", DocumentHave(7)), ("vm-3", DocumentHave(7))]
    slow = {"carry_s": lambda n_bytes: 1.0, "is_source": lambda: False}
    follow(table, control, frames, **slow)
    assert table.calls == [None]
    # It asks one of them at once, and no second one for the same version.
    assert [sent for sent in control.sent if sent[1] == DocumentPull(5)] == [
        ("vm-2", DocumentPull(5))
    ]


def test_daemon_on_a_slow_link_watches_where_others_depend_on_it(monkeypatch):
    """The last neighbour of a daemon on a slow link is gone, or it is the one of its
    zone that finds versions for the others.
    """
    monkeypatch.setattr(follower, "_SETTLE_S", 0.0)
    monkeypatch.setattr(follower, "_SETTLE_MAX_S", 0.0)
    monkeypatch.setattr(follower, "_LOOK_STEP_S", 0.01)
    table = FakeTable(rows(3, b"5"))
    is_source = [False]
    slow = {"carry_s": lambda n_bytes: 1.0, "is_source": lambda: is_source[0]}
    control = FakeControl()
    frames = [("vm-2", DocumentHave(5))]
    follow(table, control, frames, **slow)
    assert table.calls == [None]
    is_source[0] = True
    table = FakeTable(rows(3, b"5"))
    follow(table, control, frames, **slow)
    assert table.calls == [None, 3] and table.waits_ms[0] > 0


def shared(**more):
    """Return what makes a follower one of a fleet that shares its reads."""
    schedule = ReadSchedule(2000.0, boot_ms(), random.Random(1))
    return {"schedule": schedule, "place": lambda: 9, **more}


def test_starting_daemon_takes_the_copy_of_a_neighbour_and_reads_nothing():
    """Guards against reads of the store that grow with the daemons that start."""
    table, control = FakeTable(rows(3, b"5")), FakeControl("vm-2", "vm-3")
    frames = [
        ("vm-2", DocumentFresh(5, 3, 10)),
        ("vm-2", DocumentCopy(compress(b"5"), 3, 10)),
    ]
    following = follow(table, control, frames, for_s=0.5, **shared())
    assert following.versions() == {"platform": 5}
    assert table.calls == []
    # The confirmation goes on to the others.
    passed = [vm for vm, frame in control.sent if isinstance(frame, DocumentFresh)]
    assert "vm-3" in passed


def test_daemon_that_hears_no_confirmation_reads_for_itself(monkeypatch):
    """Guards against neighbours that are alive and have lost the store."""
    monkeypatch.setattr(shared_reading, "FIRST_READ_SHARE", 0.05)
    monkeypatch.setattr(shared_reading, "LAST_READ_SHARE", 0.05)
    table, control = FakeTable(rows(9, b"7")), FakeControl("vm-2", "vm-3")
    copy = DocumentCopy(compress(b"5"), 3, 10)
    following = follow(table, control, [("vm-2", copy)], for_s=0.5, **shared())
    assert following.versions() == {"platform": 7}
    assert table.calls[0] == 3 and table.waits_ms[0] == 0


def test_version_heard_while_an_older_one_arrives_is_asked_for_at_once():
    """Guards against daemons that fall behind versions in quick succession."""
    control = FakeControl("vm-2", "vm-3")
    frames = [
        ("vm-2", DocumentFresh(5, 3, 10)),
        ("vm-3", DocumentFresh(6, 4, 10)),
        ("vm-2", DocumentCopy(compress(b"5"), 3, 10)),
    ]
    follow(FakeTable(), control, frames, **shared())
    assert ("vm-3", DocumentPull(5)) in control.sent


def test_confirmation_of_an_older_version_counts_for_nothing():
    """Guards against a daemon that trusts a neighbour which is behind."""
    table, control = FakeTable(), FakeControl("vm-2", "vm-3")
    frames = [
        ("vm-2", DocumentCopy(compress(b"5"), 3)),
        ("vm-3", DocumentFresh(4, 9, 0)),
    ]
    following = follow(table, control, frames, **shared())
    assert not following.schedule.is_confirmed
    assert ("vm-3", DocumentHave(5)) in control.sent


def test_neighbour_with_the_version_before_gets_what_has_changed():
    """Guards against whole documents on narrow links for one changed route."""
    routes = b"".join(b"{%x" % (index**5) for index in range(200))
    old, new = routes + b"{5", routes + b"{6"
    control = FakeControl("vm-2")
    frames = [("vm-2", DocumentPull(5)), ("vm-2", DocumentPull(4))]
    follow_text(FakeTable(rows(3, old), rows(4, new)), control, frames)
    sent = [type(frame) for _, frame in control.sent]
    assert sent.count(DocumentDelta) == 1 and sent.count(DocumentCopy) == 1


def test_version_is_announced_before_it_arrives_and_forwarded_on_arrival():
    """Guards against a way through the fleet that takes a reading at each daemon."""
    control = FakeControl("vm-2", "vm-3")
    copy = DocumentCopy(compress(b"5"), 3)
    frames = [
        ("vm-2", DocumentHave(5)),
        ("vm-3", DocumentPull(0)),
        ("vm-2", copy),
    ]
    follow(FakeTable(), control, frames, **shared())
    to_third = [frame for vm, frame in control.sent if vm == "vm-3"]
    assert to_third == [DocumentHave(5), copy]


def test_neighbour_that_does_not_send_a_version_is_followed_by_the_next(monkeypatch):
    """Guards against a daemon that waits for one that was killed meanwhile."""
    monkeypatch.setattr(document_exchange, "_PULL_AGAIN_S", 0.01)
    control = FakeControl("vm-2", "vm-3")
    frames = [("vm-2", DocumentHave(5)), ("vm-3", DocumentHave(5))]
    follow(FakeTable(), control, frames, **shared())
    asked = [vm for vm, frame in control.sent if frame == DocumentPull(0)]
    assert asked[:3] == ["vm-2", "vm-3", "vm-2"]


def test_pull_moves_on_at_once_when_its_neighbour_is_lost():
    """Guards against a version that comes late as its source is no neighbour now."""
    control = FakeControl("vm-2", "vm-3", "vm-4")
    frames = [(vm, DocumentHave(5)) for vm in control.neighbours]
    follow(FakeTable(), control, frames, lost=("vm-3", "vm-2"), **shared())
    asked = [vm for vm, frame in control.sent if frame == DocumentPull(0)]
    assert asked == ["vm-2", "vm-4"]


def test_document_that_is_no_good_is_not_asked_for_again(monkeypatch):
    """Guards against copies of a bad version that fill a narrow link for ever."""
    monkeypatch.setattr(document_exchange, "_PULL_AGAIN_S", 0.01)
    control = FakeControl("vm-2")
    frames = [("vm-2", DocumentHave(5)), ("vm-2", DocumentCopy(compress(b"bad"), 3))]
    frames += [("vm-2", DocumentHave(5))] * 3
    follow(FakeTable(), control, frames, **shared())
    assert [frame for _, frame in control.sent if isinstance(frame, DocumentPull)] == []


def test_daemon_that_rejected_the_newest_version_sends_no_confirmation():
    """Guards against an older release that holds newer ones at an old version."""
    control = FakeControl("vm-2")
    table = FakeTable(rows(3, b"5", b"bad"))
    following = follow(table, control, [("vm-2", DocumentHave(4))], 0.5, **shared())
    assert following.versions() == {"platform": 5}
    assert [
        frame for _, frame in control.sent if isinstance(frame, DocumentFresh)
    ] == []
    assert ("vm-2", DocumentHave(5)) in control.sent
    assert len(table.calls) == 1
