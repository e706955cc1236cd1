"""A restarted daemon never serves an older version than it held before."""

from __future__ import annotations

import pytest

from pepperstair_core import distribution as d
from pepperstair_core.wire import HeadsDigest

from .fake_network import FakeNetwork, make_intent, started


def is_ready(network: FakeNetwork, vm: str) -> bool:
    """Return whether a daemon knows its floor."""
    return network.nodes[vm].distribution.floor.is_known


def restarted(network: FakeNetwork, vm: str) -> None:
    """Kill a daemon and start it again with nothing in its hands."""
    network.kill(vm)
    network.run(200)
    network.start(vm, network.zones[vm])


def two_versions(n_nodes: int) -> FakeNetwork:
    """Return a network in which version 2 is in force everywhere."""
    network = started(n_nodes)
    for version in (1, 2):
        network.accept("vm-0", make_intent("lantern", f"v{version}"))
        network.run_until(lambda v=version: network.all_in_force("lantern", v))
    return network


@pytest.mark.parametrize("is_out", [False, True])
def test_restart_reaches_the_version_held_before(is_out):
    """A daemon is killed and started again, perhaps while the platform is out.

    Were it ready before it knows what it held, callers would meet older routes.
    """
    network = two_versions(4)
    network.is_platform_out = is_out
    restarted(network, "vm-1")
    network.run_until(lambda: is_ready(network, "vm-1"))
    assert network.all_in_force("lantern", 2)
    wanted = "neighbours" if is_out else "platform"
    assert network.nodes["vm-1"].distribution.floor.reached_by == wanted


def test_lagging_neighbours_that_answer_first_do_not_make_the_floor():
    """The platform is out and two of four neighbours missed the last version.

    Were the first two answers enough, the restarted daemon would come back at
    the older version.
    """
    network = started(5)
    network.accept("vm-0", make_intent("lantern", "v1"))
    network.run_until(lambda: network.all_in_force("lantern", 1))
    lagging = {"vm-3", "vm-4"}
    network.set_cut(lambda a, b: (a in lagging) != (b in lagging))
    network.is_platform_out = True
    network.accept("vm-0", make_intent("lantern", "v2"))
    network.run(1000)
    network.kill("vm-0")
    network.silent = {"vm-1", "vm-2"}
    network.set_cut(
        lambda a, b: "vm-0" not in (a, b) and (a in lagging) != (b in lagging)
    )
    network.start("vm-0")
    network.run(1000)
    assert not is_ready(network, "vm-0")
    network.silent = set()
    network.run_until(lambda: is_ready(network, "vm-0"))
    assert network.nodes["vm-0"].in_force["lantern"].head.version == 2


def test_herd_without_memory_does_not_vouch_for_itself():
    """All daemons are replaced at once while the platform is out.

    Each would find that the others hold nothing either, and all would serve an
    empty configuration as if it were current; they refuse calls until somebody
    knows.
    """
    network = two_versions(4)
    network.is_platform_out = True
    for vm in list(network.nodes):
        network.kill(vm)
    for vm in ("vm-0", "vm-1", "vm-2", "vm-3"):
        network.start(vm)
    network.run(20_000)
    assert not any(is_ready(network, vm) for vm in network.nodes)
    network.is_platform_out = False
    network.run_until(lambda: network.all_in_force("lantern", 2))
    network.run_until(lambda: all(is_ready(network, vm) for vm in network.nodes))


def test_daemon_alone_without_platform_is_not_ready():
    """A daemon starts while the platform is out and no other daemon answers.

    It can't know what it held before, so it refuses calls as not run.
    """
    network = FakeNetwork()
    network.is_platform_out = True
    network.start("vm-0")
    network.run(20_000)
    assert not is_ready(network, "vm-0")


def test_damaged_object_does_not_keep_a_restarted_daemon_away():
    """A customer's newest object is damaged, no daemon could take it, and one
    daemon restarts.

    No proxy ever had that version, so the daemon is ready with what the others
    have; waiting for the object would keep all customers' calls away.
    """
    network = two_versions(4)
    head = network.commit(make_intent("lantern", "v3"), "vm-9").head
    network.objects[head.digest] = b"damaged"
    network.run(3000)
    restarted(network, "vm-1")
    network.run_until(lambda: is_ready(network, "vm-1"))
    assert network.all_in_force("lantern", 2)


def test_answers_from_before_a_pause_make_no_floor():
    """A daemon is paused; answers that it had asked for wait in its buffers while
    a version spreads, and are read when it wakes.

    Taken for news they would make it serve the version it remembers.
    """
    network = two_versions(4)
    paused = network.nodes["vm-1"].distribution
    old_number = 7
    network.silent = {"vm-1"}
    network.accept("vm-0", make_intent("lantern", "v3"))
    network.run(1000)
    network.is_platform_out = True
    list(paused.handle(d.Paused(), network.now_ms))
    versions = (("lantern", 2),)
    for vm in ("vm-0", "vm-2", "vm-3"):
        late = HeadsDigest(b"x", True, old_number, True, versions)
        list(paused.handle(d.FrameReceived(vm, late), network.now_ms))
    heads = d.HeadsRead(None, (), old_number)
    list(paused.handle(heads, network.now_ms))
    list(paused.handle(d.Tick(), network.now_ms + 5000))
    assert not paused.floor.is_known
    network.silent = set()
    network.run_until(lambda: is_ready(network, "vm-1"))
    assert network.nodes["vm-1"].in_force["lantern"].head.version == 3


def test_woken_and_restarted_daemons_do_not_wait_for_each_other():
    """One of three daemons was frozen while a version spread; another restarts in
    an outage as it wakes.

    Neither knows its floor, but the woken one remembers what it held. Counting
    only daemons that are ready, both would refuse calls until the outage ends.
    """
    network = started(3)
    network.accept("vm-0", make_intent("lantern", "v1"))
    network.run_until(lambda: network.all_in_force("lantern", 1))
    network.silent = {"vm-1"}
    network.accept("vm-0", make_intent("lantern", "v2"))
    network.run(3000)
    network.is_platform_out = True
    network.kill("vm-0")
    network.silent = set()
    network.handle("vm-1", d.Paused())
    network.start("vm-0")
    network.run_until(lambda: is_ready(network, "vm-0") and is_ready(network, "vm-1"))
    assert network.all_in_force("lantern", 2)
