"""Tests that a few pollers read the platform, also when they or the platform fail."""

from __future__ import annotations

from pepperstair_core.distribution.polling import pollers

from .fake_network import make_intent, start_ready_network


def test_reads_do_not_grow_with_the_fleet():
    """If every daemon polled, the load on the platform would grow with the fleet."""
    n_reads = []
    for n_nodes in (6, 24):
        network = start_ready_network(n_nodes, n_zones=2)
        network.run(2000)
        before = network.n_reads
        network.run(20_000)
        n_reads.append(network.n_reads - before)
    assert n_reads[1] <= 1.2 * n_reads[0]


def test_paused_pollers_are_bypassed():
    """Both pollers of the zone are paused, and membership has not detected it yet.

    A change whose accepting daemon crashed would stay unknown to the whole zone. After
    five seconds without a beacon from a poller, each daemon reads the heads itself.
    """
    network = start_ready_network(8)
    network.run(3000)
    network.paused_vms = set(pollers(network.nodes["vm-0"].distribution.state))
    network.commit(make_intent("lantern", "a"), "vm-9")
    running_vms = [vm for vm in network.nodes if vm not in network.paused_vms]
    elapsed_ms = network.run_until(
        lambda: all("lantern" in network.nodes[vm].in_force for vm in running_vms)
    )
    assert 3000 < elapsed_ms < 9000


def test_outage_causes_no_retry_storm():
    """The platform has an outage of one minute.

    If all daemons retried throughout, their reads would overload it while it recovers.
    """
    network = start_ready_network(20, n_zones=2)
    network.run(3000)
    network.has_platform_outage = True
    before = network.n_reads
    network.run(60_000)
    assert network.n_reads - before < 60 * 4
    network.has_platform_outage = False
    network.commit(make_intent("lantern", "a"), "vm-9")
    assert network.run_until(lambda: network.all_in_force("lantern", 1)) < 8000
