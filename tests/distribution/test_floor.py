"""Tests that a restarted daemon never serves an older version than it held before."""

from __future__ import annotations

import pytest

from pepperstair_core import distribution as d
from pepperstair_core.wire import HeadsDigest

from .fake_network import FakeNetwork, make_intent, start_ready_network


def is_ready(network: FakeNetwork, vm: str) -> bool:
    """Return whether a daemon knows its floor.

    The floor is the minimum versions that it must have in force to serve calls.
    """
    return network.nodes[vm].distribution.floor.is_known


def restart_daemon(network: FakeNetwork, vm: str) -> None:
    """Kill a daemon and restart it with empty state."""
    network.kill(vm)
    network.run(200)
    network.start(vm, network.zones[vm])


def network_at_version_2(n_nodes: int) -> FakeNetwork:
    """Return a network in which version 2 is in force everywhere."""
    network = start_ready_network(n_nodes)
    for version in (1, 2):
        network.accept("vm-0", make_intent("lantern", f"v{version}"))
        network.run_until(lambda v=version: network.all_in_force("lantern", v))
    return network


@pytest.mark.parametrize("is_out", [False, True])
def test_restart_reaches_the_version_held_before(is_out):
    """A daemon is killed and restarted, with and without a platform outage.

    If it were ready before it knows which versions it held, callers would get older
    routes.
    """
    network = network_at_version_2(4)
    network.has_platform_outage = is_out
    restart_daemon(network, "vm-1")
    network.run_until(lambda: is_ready(network, "vm-1"))
    assert network.all_in_force("lantern", 2)
    expected_source = "neighbours" if is_out else "platform"
    assert network.nodes["vm-1"].distribution.floor.reached_by == expected_source


def test_lagging_neighbours_that_answer_first_do_not_set_the_floor():
    """In a platform outage, two of four neighbours missed the last version.

    If the first two answers were enough, the restarted daemon would serve the older
    version.
    """
    network = start_ready_network(5)
    network.accept("vm-0", make_intent("lantern", "v1"))
    network.run_until(lambda: network.all_in_force("lantern", 1))
    lagging = {"vm-3", "vm-4"}
    network.set_partition(lambda a, b: (a in lagging) != (b in lagging))
    network.has_platform_outage = True
    network.accept("vm-0", make_intent("lantern", "v2"))
    network.run(1000)
    network.kill("vm-0")
    network.paused_vms = {"vm-1", "vm-2"}
    network.set_partition(
        lambda a, b: "vm-0" not in (a, b) and (a in lagging) != (b in lagging)
    )
    network.start("vm-0")
    network.run(1000)
    assert not is_ready(network, "vm-0")
    network.paused_vms = set()
    network.run_until(lambda: is_ready(network, "vm-0"))
    assert network.nodes["vm-0"].in_force["lantern"].head.version == 2


def test_daemons_restarted_together_do_not_confirm_each_others_floor():
    """All daemons are replaced at the same time during a platform outage.

    If their answers counted, each would find that the others hold nothing either, and
    all would serve an empty configuration as current. They refuse calls until one of
    them knows its floor.
    """
    network = network_at_version_2(4)
    network.has_platform_outage = True
    for vm in list(network.nodes):
        network.kill(vm)
    for vm in ("vm-0", "vm-1", "vm-2", "vm-3"):
        network.start(vm)
    network.run(20_000)
    assert not any(is_ready(network, vm) for vm in network.nodes)
    network.has_platform_outage = False
    network.run_until(lambda: network.all_in_force("lantern", 2))
    network.run_until(lambda: all(is_ready(network, vm) for vm in network.nodes))


def test_daemon_alone_without_platform_is_not_ready():
    """A daemon starts during a platform outage and no other daemon answers.

    It can't know which versions it held before, so it refuses calls as not run.
    """
    network = FakeNetwork()
    network.has_platform_outage = True
    network.start("vm-0")
    network.run(20_000)
    assert not is_ready(network, "vm-0")


def test_corrupt_object_does_not_block_a_restarted_daemon():
    """A customer's newest object is corrupt, no daemon could apply it, and one daemon
    restarts.

    No proxy ever had that version, so the daemon is ready with the versions of the
    others. If it waited for the object, it would refuse the calls of all customers.
    """
    network = network_at_version_2(4)
    head = network.commit(make_intent("lantern", "v3"), "vm-9").head
    network.objects[head.digest] = b"damaged"
    network.run(3000)
    restart_daemon(network, "vm-1")
    network.run_until(lambda: is_ready(network, "vm-1"))
    assert network.all_in_force("lantern", 2)


def test_answers_from_before_a_pause_do_not_set_the_floor():
    """Answers that a daemon had requested are buffered while it is paused, and are read
    when it resumes; meanwhile a new version is distributed.

    If the daemon accepted these outdated answers, it would serve its old version.
    """
    network = network_at_version_2(4)
    paused = network.nodes["vm-1"].distribution
    old_number = 7
    network.paused_vms = {"vm-1"}
    network.accept("vm-0", make_intent("lantern", "v3"))
    network.run(1000)
    network.has_platform_outage = True
    list(paused.handle(d.Paused(), network.now_ms))
    versions = (("lantern", 2),)
    for vm in ("vm-0", "vm-2", "vm-3"):
        late = HeadsDigest(b"x", True, old_number, True, versions)
        list(paused.handle(d.FrameReceived(vm, late), network.now_ms))
    heads = d.HeadsRead(None, (), old_number)
    list(paused.handle(heads, network.now_ms))
    list(paused.handle(d.Tick(), network.now_ms + 5000))
    assert not paused.floor.is_known
    network.paused_vms = set()
    network.run_until(lambda: is_ready(network, "vm-1"))
    assert network.nodes["vm-1"].in_force["lantern"].head.version == 3


def test_resumed_and_restarted_daemons_do_not_wait_for_each_other():
    """One of three daemons is paused while a version is distributed, and resumes as
    another one restarts in an outage.

    Neither knows its floor, but the resumed one still has its held versions. If only
    ready daemons counted, both would refuse calls until the outage ends.
    """
    network = start_ready_network(3)
    network.accept("vm-0", make_intent("lantern", "v1"))
    network.run_until(lambda: network.all_in_force("lantern", 1))
    network.paused_vms = {"vm-1"}
    network.accept("vm-0", make_intent("lantern", "v2"))
    network.run(3000)
    network.has_platform_outage = True
    network.kill("vm-0")
    network.paused_vms = set()
    network.handle("vm-1", d.Paused())
    network.start("vm-0")
    network.run_until(lambda: is_ready(network, "vm-0") and is_ready(network, "vm-1"))
    assert network.all_in_force("lantern", 2)
