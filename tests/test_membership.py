"""Decisions about members."""

from __future__ import annotations

import random

import pytest
from msgspec.structs import replace

from pepperstair_core.config import MembersSettings, PeersSettings
from pepperstair_core.members import (
    Member,
    MemberState,
    Target,
    TargetState,
    accuse,
)
from pepperstair_core.membership import (
    Dial,
    MemberDirectory,
    MemberRow,
    Membership,
    PauseDetector,
    RowSweep,
    Send,
    choose_neighbours,
    is_sweeper,
)
from pepperstair_core.membership.backoff import BACKOFF_MAX_MS, DialBackoff
from pepperstair_core.membership.directory import rank_of
from pepperstair_core.membership.outbox import UPDATE_MAX_RECORDS, MemberOutbox
from pepperstair_core.wire import MembersPull, MemberUpdate, encode_frame


def member(vm: str, zone: str = "pos-a", sequence: int = 0) -> Member:
    """Return a living member."""
    return Member(vm, 1, sequence, MemberState.ALIVE, zone, f"{vm}:1", ())


def membership_of(own: Member, *others: Member) -> Membership:
    """Return the membership of a daemon that knows some others already."""
    directory = MemberDirectory(own)
    made = Membership(
        directory, MembersSettings(), PeersSettings(""), random.Random(0), 0
    )
    list(made.receive("x", MemberUpdate(others), 0))
    return made


def fleet(n_members: int) -> list[Member]:
    """Return members in four zones."""
    return [member(f"vm-{i}", f"zone-{i % 4}") for i in range(n_members)]


def edges_of(members: list[Member]) -> dict[str, frozenset[str]]:
    """Return the neighbours that each member chooses."""
    return {m.vm: choose_neighbours(m, members, 2, 2) for m in members}


@pytest.mark.parametrize("n_members", [1, 2, 3, 7, 40])
def test_both_ends_choose_the_same_edges(n_members):
    edges = edges_of(fleet(n_members))
    for vm, neighbours in edges.items():
        assert len(neighbours) <= 4
        assert all(vm in edges[neighbour] for neighbour in neighbours)


def test_a_member_that_goes_changes_few_edges():
    before = edges_of(fleet(60))
    after = edges_of(fleet(60)[1:])
    changed = [vm for vm in after if after[vm] != before[vm]]
    assert len(changed) <= 4


def test_gone_members_are_no_neighbours():
    members = fleet(8)
    gone = [replace(m, state=MemberState.GONE) for m in members[1:]]
    assert choose_neighbours(members[0], gone, 2, 2) == frozenset()


def test_doubt_about_oneself_is_refuted():
    """A daemon was slow for a moment and hears that others take it for gone.

    Left standing, the word would take its targets out of use for good.
    """
    own = member("a")
    membership = membership_of(own, member("b"))
    doubt = MemberUpdate((accuse(own, MemberState.GONE),))
    list(membership.receive("b", doubt, 10))
    assert membership.directory.own().rank > doubt.members[0].rank
    assert membership.directory.own().state is MemberState.ALIVE


def test_silent_neighbour_is_suspected_then_gone():
    """A VM freezes: its connections stay open but nothing comes any more."""
    membership = membership_of(member("a"), member("b"))
    list(membership.flush(lambda vm: True, 0))
    list(membership.open("b", "b:1", True, 0))
    list(membership.tick(2900))
    assert membership.directory.get("b").state is MemberState.ALIVE
    list(membership.tick(3000))
    assert membership.directory.get("b").state is MemberState.SUSPECT
    list(membership.tick(7000))
    assert membership.directory.get("b").state is MemberState.GONE


def test_refused_dial_raises_suspicion_at_once():
    """The process of a neighbour dies and its VM refuses connections."""
    membership = membership_of(member("a"), member("b"))
    assert Dial("b:1") in list(membership.flush(lambda vm: True, 0))
    list(membership.fail("b:1", True, 5))
    assert membership.directory.get("b").state is MemberState.SUSPECT


def test_daemon_that_was_paused_accuses_nobody():
    """A frozen VM wakes: it has heard nobody, but the fault was its own.

    Accusing its neighbours would make all of them refute, for nothing.
    """
    membership = membership_of(member("a"), member("b"))
    list(membership.flush(lambda vm: True, 0))
    list(membership.open("b", "b:1", True, 0))
    list(membership.resume(60_000))
    list(membership.tick(60_001))
    assert membership.directory.get("b").state is MemberState.ALIVE
    assert membership.directory.own().incarnation == 2


def test_pause_is_noticed_once():
    detector = PauseDetector(3000, 0)
    assert [detector.check(now) for now in (3000, 6001, 6002)] == [0, 3001, 0]


def test_forgotten_members_do_not_come_back():
    """Daemons forget a long-gone VM at different times.

    If one taught it to another again, the fleet would carry every VM that ever
    was.
    """
    directory = MemberDirectory(member("a"))
    gone = replace(member("b"), state=MemberState.GONE)
    assert list(directory.merge([gone])) == []
    list(directory.merge([member("b"), gone]))
    with_gone = directory.digests()
    directory.forget("b")
    assert directory.digests() == with_gone == MemberDirectory(member("a")).digests()


def test_records_are_not_echoed_to_their_sender():
    outbox = MemberOutbox()
    for neighbour in ("b", "c"):
        outbox.open(neighbour)
    outbox.add(member("x"), sender="b")
    outbox.confirm("c", member("x"))
    assert outbox.is_empty


def test_other_zones_hear_of_changes_by_rank_and_ask_for_what_they_lack():
    """Guards against records that cross zones once for each pair of neighbours."""
    outbox = MemberOutbox(is_far=lambda vm: vm == "far")
    for neighbour in ("near", "far"):
        outbox.open(neighbour)
    outbox.add(member("x"), sender="b")
    (whole,) = outbox.flush(lambda vm: True)
    assert (whole.vm, whole.frame) == ("near", MemberUpdate((member("x"),)))
    (told,) = outbox.announce()
    assert (told.vm, told.frame.ranks) == ("far", (rank_of(member("x")),))
    assert list(outbox.announce()) == []
    receiver = membership_of(member("far", "pos-b"))
    (asked,) = receiver.receive("a", told.frame, 0)
    assert asked == Send("a", MembersPull(("x",)))
    sender = membership_of(member("a"), member("x"), member("far", "pos-b"))
    list(sender.open("far", "far:1", False, 0))
    list(sender.receive("far", asked.frame, 0))
    actions = sender.flush(lambda vm: True, 0)
    sent = [action.frame for action in actions if isinstance(action, Send)]
    assert any(member("x") in frame.members for frame in sent)


def test_rank_of_what_a_neighbour_has_is_not_told_to_it():
    outbox = MemberOutbox(is_far=lambda vm: True)
    outbox.open("far")
    outbox.add(member("x", sequence=2), sender="b")
    outbox.confirm("far", rank_of(member("x", sequence=1)))
    assert len(list(outbox.announce())) == 1
    outbox.add(member("x", sequence=2), sender="b")
    outbox.confirm("far", rank_of(member("x", sequence=2)))
    assert list(outbox.announce()) == []


def test_change_of_a_target_leaves_the_neighbours_as_they_are():
    """Guards against a choice of neighbours for each announcement of the fleet."""
    own, other = member("a"), member("b")
    made = membership_of(own, other)
    list(made.flush(lambda vm: True, 0))
    assert not made.is_flush_due
    list(made.receive("x", MemberUpdate((replace(other, sequence=1),)), 0))
    assert not made.is_flush_due
    list(made.receive("x", MemberUpdate((replace(other, incarnation=2),)), 0))
    assert made.is_flush_due


def test_own_change_goes_whole_to_every_zone():
    """Guards against targets that other zones hear of a round later than needed."""
    outbox = MemberOutbox(is_far=lambda vm: True)
    outbox.open("far")
    outbox.add(member("own"))
    (sent,) = outbox.flush(lambda vm: True)
    assert sent.frame == MemberUpdate((member("own"),))


def test_a_herd_that_joins_is_served_in_bounded_rounds():
    """Forty daemons come back at once and each asks for every record."""
    outbox = MemberOutbox()
    records = fleet(600)
    for index in range(40):
        outbox.open(f"joiner-{index}")
        outbox.offer(f"joiner-{index}", records)
    sent: list[Send] = list(outbox.flush(lambda vm: True))
    assert len(sent) == 8
    assert all(len(item.frame.members) <= UPDATE_MAX_RECORDS for item in sent)
    assert {item.vm for item in sent}.isdisjoint(
        item.vm for item in outbox.flush(lambda vm: True)
    )


def test_records_of_many_targets_fit_their_frames():
    """VMs that run many targets join; their records go in frames below the cap."""
    outbox = MemberOutbox()
    outbox.open("b")
    labels = tuple((f"label-{index}", "value" * 8) for index in range(8))
    target = Target("ledger", "127.0.0.1:1", labels, 9, 120, TargetState.SERVING)
    outbox.offer("b", [replace(m, targets=(target,) * 100) for m in fleet(40)])
    n_sent = 0
    while not outbox.is_empty:
        for sent in outbox.flush(lambda vm: True):
            n_sent += len(sent.frame.members)
            assert len(encode_frame(sent.frame)) < PeersSettings("").frame_max_bytes
    assert n_sent == 40


def test_slow_neighbour_gets_the_newest_record_only():
    outbox = MemberOutbox()
    outbox.open("b")
    for sequence in range(1000):
        outbox.add(member("x", sequence=sequence))
        assert list(outbox.flush(lambda vm: False)) == []
    (sent,) = outbox.flush(lambda vm: True)
    assert sent.frame == MemberUpdate((member("x", sequence=999),))


def test_backoff_is_spread_and_bounded():
    backoff = DialBackoff(random.Random(1))
    for _ in range(100):
        backoff.fail("a:1", 0)
    assert backoff.is_due("a:1", BACKOFF_MAX_MS)


def test_one_daemon_a_zone_sweeps_the_rows():
    members = fleet(40)
    sweepers = [m for m in members if is_sweeper(m, members)]
    assert sorted(m.availability_zone for m in sweepers) == [
        f"zone-{index}" for index in range(4)
    ]


def test_rows_that_nobody_writes_are_deleted():
    directory = MemberDirectory(member("a"))
    sweep = RowSweep()
    rows = [MemberRow("a", "a:1", 0), MemberRow("b", "b:1", 0)]
    dead = [list(sweep.iter_stale_vms(directory, rows)) for _ in range(10)]
    assert dead == [[]] * 9 + [["b"]]
