"""Membership decisions."""

from __future__ import annotations

import itertools
import random

import pytest
from msgspec.structs import replace

from pepperstair_core.config import MembersSettings, PeersSettings
from pepperstair_core.members import (
    Member,
    MemberState,
    Target,
    TargetState,
    with_state,
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
    """Return a member that is alive."""
    return Member(vm, 1, sequence, MemberState.ALIVE, zone, f"{vm}:1", ())


def membership_of(own: Member, *others: Member) -> Membership:
    """Return the membership of a daemon that already knows some other members."""
    directory = MemberDirectory(own)
    membership = Membership(
        directory, MembersSettings(), PeersSettings(""), random.Random(0), 0
    )
    list(membership.receive("x", MemberUpdate(others), 0))
    return membership


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


def test_departure_of_a_member_changes_few_edges():
    before = edges_of(fleet(60))
    after = edges_of(fleet(60)[1:])
    changed = [vm for vm in after if after[vm] != before[vm]]
    assert len(changed) <= 4


def test_gone_members_are_not_chosen_as_neighbours():
    members = fleet(8)
    gone = [replace(m, state=MemberState.GONE) for m in members[1:]]
    assert choose_neighbours(members[0], gone, 2, 2) == frozenset()


def test_claim_about_the_daemon_itself_is_refuted():
    """A daemon was slow for a moment and receives the claim that it is gone.

    Without a refutation its targets would stay out of use permanently.
    """
    own = member("a")
    membership = membership_of(own, member("b"))
    claim = MemberUpdate((with_state(own, MemberState.GONE),))
    list(membership.receive("b", claim, 10))
    assert membership.directory.own().rank > claim.members[0].rank
    assert membership.directory.own().state is MemberState.ALIVE


def test_silent_neighbour_is_suspected_then_gone():
    """A VM is paused: its connections stay open but no more frames arrive."""
    membership = membership_of(member("a"), member("b"))
    list(membership.flush(lambda vm: True, 0))
    list(membership.open("b", "b:1", True, 0))
    list(membership.tick(2900))
    assert membership.directory.get("b").state is MemberState.ALIVE
    list(membership.tick(3000))
    assert membership.directory.get("b").state is MemberState.SUSPECT
    list(membership.tick(7000))
    assert membership.directory.get("b").state is MemberState.GONE


def test_refused_dial_raises_suspicion_immediately():
    """The process of a neighbour terminates and its VM refuses connections."""
    membership = membership_of(member("a"), member("b"))
    assert Dial("b:1") in list(membership.flush(lambda vm: True, 0))
    list(membership.fail("b:1", True, 5))
    assert membership.directory.get("b").state is MemberState.SUSPECT


def test_paused_daemon_suspects_no_neighbours():
    """A paused VM resumes: it has received nothing, but only because it was paused.

    Suspecting its neighbours would make all of them refute without need.
    """
    membership = membership_of(member("a"), member("b"))
    list(membership.flush(lambda vm: True, 0))
    list(membership.open("b", "b:1", True, 0))
    list(membership.resume(60_000))
    list(membership.tick(60_001))
    assert membership.directory.get("b").state is MemberState.ALIVE
    assert membership.directory.own().incarnation == 2


def test_pause_is_detected_once():
    detector = PauseDetector(3000, 0)
    assert [detector.check(now) for now in (3000, 6001, 6002)] == [0, 3001, 0]


def test_removed_members_are_not_added_again():
    """Daemons remove the record of a gone VM at different times.

    If one daemon sent it to another again, the fleet would keep the record of every
    VM that ever existed.
    """
    directory = MemberDirectory(member("a"))
    gone = replace(member("b"), state=MemberState.GONE)
    assert list(directory.merge([gone])) == []
    list(directory.merge([member("b"), gone]))
    with_gone = directory.digests()
    directory.remove("b")
    assert directory.digests() == with_gone == MemberDirectory(member("a")).digests()


def test_records_are_not_echoed_to_their_sender():
    outbox = MemberOutbox()
    for neighbour in ("b", "c"):
        outbox.open(neighbour)
    outbox.add(member("x"), sender="b")
    outbox.discard_known("c", member("x"))
    assert outbox.is_empty


def test_other_zones_receive_ranks_and_pull_missing_records():
    """Guards against sending a record across zones once per pair of neighbours."""
    outbox = MemberOutbox(is_in_other_zone=lambda vm: vm == "far")
    for neighbour in ("near", "far"):
        outbox.open(neighbour)
    outbox.add(member("x"), sender="b")
    (update,) = outbox.flush(lambda vm: True)
    assert (update.vm, update.frame) == ("near", MemberUpdate((member("x"),)))
    (ranks,) = outbox.flush_ranks()
    assert (ranks.vm, ranks.frame.ranks) == ("far", (rank_of(member("x")),))
    assert list(outbox.flush_ranks()) == []
    receiver = membership_of(member("far", "pos-b"))
    (pull,) = receiver.receive("a", ranks.frame, 0)
    assert pull == Send("a", MembersPull(("x",)))
    sender = membership_of(member("a"), member("x"), member("far", "pos-b"))
    list(sender.open("far", "far:1", False, 0))
    list(sender.receive("far", pull.frame, 0))
    actions = sender.flush(lambda vm: True, 0)
    sent = [action.frame for action in actions if isinstance(action, Send)]
    assert any(member("x") in frame.members for frame in sent)


def test_rank_of_a_record_that_a_neighbour_holds_is_not_sent():
    outbox = MemberOutbox(is_in_other_zone=lambda vm: True)
    outbox.open("far")
    outbox.add(member("x", sequence=2), sender="b")
    outbox.discard_known("far", rank_of(member("x", sequence=1)))
    assert len(list(outbox.flush_ranks())) == 1
    outbox.add(member("x", sequence=2), sender="b")
    outbox.discard_known("far", rank_of(member("x", sequence=2)))
    assert list(outbox.flush_ranks()) == []


def test_target_change_does_not_trigger_neighbour_choice():
    """Guards against recomputing the neighbours for each announcement in the fleet."""
    own, other = member("a"), member("b")
    membership = membership_of(own, other)
    list(membership.flush(lambda vm: True, 0))
    assert not membership.is_flush_due
    list(membership.receive("x", MemberUpdate((replace(other, sequence=1),)), 0))
    assert not membership.is_flush_due
    list(membership.receive("x", MemberUpdate((replace(other, incarnation=2),)), 0))
    assert membership.is_flush_due


def test_own_record_is_sent_in_full_to_every_zone():
    """Guards against targets that reach other zones one round later than necessary."""
    outbox = MemberOutbox(is_in_other_zone=lambda vm: True)
    outbox.open("far")
    outbox.add(member("own"))
    (sent,) = outbox.flush(lambda vm: True)
    assert sent.frame == MemberUpdate((member("own"),))


def test_mass_join_is_served_in_bounded_rounds():
    """Forty daemons rejoin at once and each requests every record."""
    outbox = MemberOutbox()
    records = fleet(600)
    for index in range(40):
        outbox.open(f"joiner-{index}")
        outbox.enqueue(f"joiner-{index}", records)
    sent: list[Send] = list(outbox.flush(lambda vm: True))
    assert len(sent) == 8
    assert all(len(item.frame.members) <= UPDATE_MAX_RECORDS for item in sent)
    assert {item.vm for item in sent}.isdisjoint(
        item.vm for item in outbox.flush(lambda vm: True)
    )


def test_records_with_many_targets_fit_into_frames():
    """VMs with many targets join; their records must fit the frame size limit."""
    outbox = MemberOutbox()
    outbox.open("b")
    labels = tuple((f"label-{index}", "value" * 8) for index in range(8))
    target = Target("ledger", "127.0.0.1:1", labels, 9, 120, TargetState.SERVING)
    outbox.enqueue("b", [replace(m, targets=(target,) * 100) for m in fleet(40)])
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


def test_backoff_is_jittered_and_bounded():
    backoff = DialBackoff(random.Random(1))
    for _ in range(100):
        backoff.fail("a:1", 0)
    assert backoff.is_due("a:1", BACKOFF_MAX_MS)


def test_one_daemon_per_zone_sweeps_the_rows():
    members = fleet(40)
    sweepers = [m for m in members if is_sweeper(m, members)]
    assert sorted(m.availability_zone for m in sweepers) == [
        f"zone-{index}" for index in range(4)
    ]


def test_stale_rows_are_deleted():
    directory = MemberDirectory(member("a"))
    sweep = RowSweep()
    rows = [MemberRow("a", "a:1", 0), MemberRow("b", "b:1", 0)]
    stale = [list(sweep.iter_stale_vms(directory, rows)) for _ in range(10)]
    assert stale == [[]] * 9 + [["b"]]


def test_neighbour_that_could_not_be_dialled_is_dialled_again():
    """Guards against a link that is given up, also once the member counts as gone."""
    membership = membership_of(member("vm-1"), member("vm-2"))
    dialled_ms = []
    for now_ms in range(0, 120_000, 250):
        actions = [
            *membership.flush(lambda vm: True, now_ms),
            *membership.tick(now_ms),
        ]
        for dial in (item for item in actions if isinstance(item, Dial)):
            dialled_ms.append(now_ms)
            list(membership.fail(dial.address, False, now_ms))
    assert membership.directory.get("vm-2").state is MemberState.GONE
    # A gone member is dialled by the probes, of which one may come before it is due.
    probe_max_ms = 1.5 * 5 * MembersSettings().heartbeat_ms
    limit_ms = BACKOFF_MAX_MS + 2 * probe_max_ms
    times_ms = [0, *dialled_ms, 120_000]
    assert all(
        after - before <= limit_ms for before, after in itertools.pairwise(times_ms)
    )
