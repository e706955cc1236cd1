"""Tests that a version goes in force only once enough other members hold it."""

from __future__ import annotations

from random import Random

from pepperstair_core import distribution as d
from pepperstair_core.members import Member, MemberState
from pepperstair_core.versions import Head, Snapshot, digest_of, encode_intent
from pepperstair_core.wire import Have, HeadsDigest

from .fake_network import make_intent


def snapshot(version: int) -> Snapshot:
    """Return a version of customer lantern as committed by its accepting daemon."""
    intent = make_intent("lantern", f"v{version}")
    body = encode_intent(intent)
    head = Head("lantern", version, digest_of(body), 0, "vm-0", f"change-{version}")
    return Snapshot(head, body, intent)


def make_distribution(n_members: int, *neighbours: str) -> d.Distribution:
    """Return one distribution in a fleet, with streams to some members."""
    distribution = d.Distribution("vm-0", "z", Random(1))
    members = tuple(
        Member(f"vm-{n}", 1, 0, MemberState.ALIVE, "z", f"vm-{n}:1", ())
        for n in range(n_members)
    )
    list(distribution.handle(d.MembersChanged(members), 0))
    for vm in neighbours:
        list(distribution.handle(d.NeighbourUp(vm), 0))
    return distribution


def n_put_in_force(actions) -> int:
    """Return how many versions the actions put in force."""
    return sum(isinstance(action, d.PutInForce) for action in actions)


def test_one_other_holder_is_not_enough():
    """A daemon applies a version that one other daemon holds, and both crash during a
    platform outage.

    The version would be lost: the restarted daemon would serve an older one than its
    callers have seen.
    """
    distribution = make_distribution(3, "vm-1", "vm-2")
    actions = list(distribution.handle(d.ChangeAccepted(snapshot(1)), 0))
    assert n_put_in_force(actions) == 0
    first = d.FrameReceived("vm-1", Have("lantern", 1))
    assert n_put_in_force(distribution.handle(first, 10)) == 0
    second = d.FrameReceived("vm-2", Have("lantern", 1))
    assert n_put_in_force(distribution.handle(second, 20)) == 1


def test_isolated_daemon_applies_after_a_bounded_wait():
    """A daemon loses its streams while the other members are still listed as alive.

    Without a bounded wait it would never apply the version it holds. After two seconds
    it applies the version and counts it in `n_in_force_alone`.
    """
    distribution = make_distribution(3)
    list(distribution.handle(d.ChangeAccepted(snapshot(1)), 0))
    assert n_put_in_force(distribution.handle(d.Tick(), 1950)) == 0
    assert n_put_in_force(distribution.handle(d.Tick(), 2000)) == 1
    assert distribution.state.counters.n_in_force_alone == 1


def test_fleet_of_two_does_not_wait():
    distribution = make_distribution(2, "vm-1")
    accepted = distribution.handle(d.ChangeAccepted(snapshot(1)), 0)
    assert n_put_in_force(accepted) == 1


def test_versions_go_in_force_during_a_burst():
    """Changes arrive faster than neighbours can confirm the newest one.

    If only the newest version were a candidate, no proxy would apply any version until
    the burst ends.
    """
    distribution = make_distribution(3, "vm-1", "vm-2")
    n_applied = 0
    for version in range(1, 40):
        now_ms = version * 10
        list(distribution.handle(d.ChangeAccepted(snapshot(version)), now_ms))
        for vm in ("vm-1", "vm-2"):
            late = d.FrameReceived(vm, Have("lantern", version - 2))
            n_applied += n_put_in_force(distribution.handle(late, now_ms))
    assert n_applied > 5


def test_older_version_that_arrives_late_is_ignored():
    """Two updates are reordered in flight and the older one arrives last.

    Applying it would return the proxy to routes that were already replaced.
    """
    distribution = make_distribution(1)
    list(distribution.handle(d.ChangeAccepted(snapshot(2)), 0))
    late = distribution.handle(d.ChangeAccepted(snapshot(1)), 10)
    assert n_put_in_force(late) == 0
    assert distribution.state.customer("lantern").in_force_version == 2
    assert distribution.state.counters.n_versions_ignored == 1


def test_lost_announcement_of_a_holder_is_queried_again():
    """A neighbour's `Have` frame is lost with its stream.

    Without a repeated query the version would stay held here and never go in force,
    while every other proxy has it.
    """
    distribution = make_distribution(3, "vm-1", "vm-2")
    list(distribution.handle(d.ChangeAccepted(snapshot(1)), 0))
    list(distribution.handle(d.FrameReceived("vm-1", Have("lantern", 1)), 10))
    list(distribution.handle(d.Tick(), 100))
    actions = list(distribution.handle(d.Tick(), 400))
    assert d.Send("vm-2", HeadsDigest(b"", False)) in actions
    answer = HeadsDigest(b"x", True, 0, True, (("lantern", 1),))
    answered = distribution.handle(d.FrameReceived("vm-2", answer), 410)
    assert n_put_in_force(answered) == 1
