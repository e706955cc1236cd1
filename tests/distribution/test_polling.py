"""The platform is read by a few pollers, also when they or it fail."""

from __future__ import annotations

from pepperstair_core.distribution.polling import pollers

from .fake_network import make_intent, started


def test_reads_do_not_grow_with_the_fleet():
    """Every daemon that polls makes the source's work harder."""
    n_reads = []
    for n_nodes in (6, 24):
        network = started(n_nodes, n_zones=2)
        network.run(2000)
        before = network.n_reads
        network.run(20_000)
        n_reads.append(network.n_reads - before)
    assert n_reads[1] <= 1.2 * n_reads[0]


def test_frozen_pollers_are_passed_over():
    """Both pollers of the zone freeze, and no one has noticed yet.

    A change whose daemon died would stay unknown to the whole zone; after five
    seconds without a sign each daemon reads the heads itself.
    """
    network = started(8)
    network.run(3000)
    network.silent = set(pollers(network.nodes["vm-0"].distribution.state))
    network.commit(make_intent("lantern", "a"), "vm-9")
    awake = [vm for vm in network.nodes if vm not in network.silent]
    passed_ms = network.run_until(
        lambda: all("lantern" in network.nodes[vm].in_force for vm in awake)
    )
    assert 3000 < passed_ms < 9000


def test_outage_is_no_retry_storm():
    """The platform is out for a minute while all daemons want to read it.

    If they all tried again and again it would come back into a storm of reads.
    """
    network = started(20, n_zones=2)
    network.run(3000)
    network.is_platform_out = True
    before = network.n_reads
    network.run(60_000)
    assert network.n_reads - before < 60 * 4
    network.is_platform_out = False
    network.commit(make_intent("lantern", "a"), "vm-9")
    assert network.run_until(lambda: network.all_in_force("lantern", 1)) < 8000
