"""Differential test of the membership against a naive full mesh, under faults."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from .fake_network import FakeNetwork
from .naive.full_mesh import NaiveMember, exchange_all

ZONES = ["pos-a", "pos-b", "pos-c"]
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "restart", "touch", "cut", "heal", "break", "pause"]),
        st.integers(0, 11),
        st.integers(1, 20),
    ),
    max_size=10,
)


def apply_fault(network: FakeNetwork, kind: str, index: int) -> None:
    """Inject one fault into the fake fleet."""
    node = list(network.nodes.values())[index % len(network.nodes)]
    if kind == "kill" and len(network.running()) > 2:
        network.kill(node.vm)
    elif kind == "restart":
        network.kill(node.vm)
        network.start(node.vm, node.zone)
    elif kind == "touch" and node.is_running:
        network.update_own_record(node.vm)
    elif kind == "cut":
        network.partitioned_zones = frozenset((node.zone,))
    elif kind == "heal":
        network.partitioned_zones = frozenset()
    elif kind == "break":
        network.close_streams(node.vm)
    elif kind == "pause" and node.is_running:
        network.execute(node.vm, node.membership.resume(network.now_ms))


def naive_view(network: FakeNetwork) -> dict[str, int]:
    """Return the final view of a naive full mesh of the running daemons."""
    owns = [node.membership.directory.own() for node in network.running()]
    members = [NaiveMember(replace(own)) for own in owns]
    exchange_all(members)
    views = [{vm: m.sequence for vm, m in member.view.items()} for member in members]
    assert all(view == views[0] for view in views)
    return views[0]


@settings(derandomize=True, max_examples=40, deadline=None, database=None)
@given(
    seed=st.integers(0, 10_000),
    n_nodes=st.integers(2, 12),
    faults=FAULTS,
    drop=st.sampled_from([0.0, 0.1, 0.3]),
    duplicate=st.sampled_from([0.0, 0.3]),
)
def test_views_converge_to_those_of_the_full_mesh(
    seed, n_nodes, faults, drop, duplicate
):
    """Frames are lost, duplicated and reordered while daemons and zone links fail.

    A daemon whose view stays wrong sends calls to a VM that is gone, or none to
    one that has rejoined.
    """
    zones = [ZONES[index % len(ZONES)] for index in range(n_nodes)]
    network = FakeNetwork(seed, zones, ("vm-000", "vm-001"))
    network.drop_probability = drop
    network.duplicate_probability = duplicate
    for kind, index, n_ticks in faults:
        apply_fault(network, kind, index)
        network.run(n_ticks * 250)
    network.partitioned_zones = frozenset()
    network.drop_probability = 0.0
    network.run(60_000)
    expected = naive_view(network)
    assert [node.view for node in network.running()] == [expected] * len(
        network.running()
    )


def test_mass_failure_leaves_one_connected_fleet():
    """Half of the VMs, including the seeds, are replaced at once.

    If the remaining daemons were split into groups, a change made in one group would
    never reach the proxies of another.
    """
    network = FakeNetwork(3, [ZONES[index % 3] for index in range(40)], ("vm-000",))
    network.run(15_000)
    for index in range(20):
        network.kill(f"vm-{index:03d}")
    network.run(20_000)
    survivors = {node.vm for node in network.running()}
    assert {frozenset(node.view) for node in network.running()} == {
        frozenset(survivors)
    }
    for index in range(20):
        network.start(f"vm-{index:03d}", ZONES[index % 3])
    network.run(30_000)
    assert {len(node.view) for node in network.running()} == {40}


def test_partitioned_zone_rejoins():
    """The switch of a zone fails for a minute and each side considers the other gone.

    Without dials to addresses outside the known fleet, no daemon would dial the other
    side again, and each side would keep its own configuration permanently.
    """
    network = FakeNetwork(5, [ZONES[index % 3] for index in range(15)], ("vm-000",))
    network.run(10_000)
    network.partitioned_zones = frozenset(("pos-b",))
    network.run(60_000)
    inside = {node.vm for node in network.running() if node.zone == "pos-b"}
    assert all(set(network.nodes[vm].view) == inside for vm in inside)
    network.partitioned_zones = frozenset()
    network.run(20_000)
    assert {len(node.view) for node in network.running()} == {15}


def frames_per_second_when_idle(n_nodes: int) -> float:
    """Return the frames that an idle daemon sends per second."""
    zones = [ZONES[index % len(ZONES)] for index in range(n_nodes)]
    network = FakeNetwork(1, zones, ("vm-000",))
    network.run(20_000)
    network.n_frames.clear()
    network.run(20_000)
    assert set(network.n_frames) <= {"Heartbeat", "MembersDigest"}
    return sum(network.n_frames.values()) / n_nodes / 20


@pytest.mark.parametrize("n_nodes", [12, 48])
def test_idle_frame_rate_is_independent_of_fleet_size(n_nodes):
    """A daemon sends heartbeats to at most four neighbours and occasional digests."""
    assert frames_per_second_when_idle(n_nodes) <= 4.2


def test_lost_update_is_repaired_on_an_open_stream():
    """A record is lost between two neighbours, and their stream stays open.

    Without a repair the loss would stay undetected, and calls would still be sent to
    a target that has left.
    """
    network = FakeNetwork(7, ["pos-a", "pos-b"], ("vm-000",))
    network.run(5_000)
    network.drop_probability = 1.0
    network.update_own_record("vm-000")
    network.run(500)
    network.drop_probability = 0.0
    network.run(20_000)
    assert network.nodes["vm-001"].view == network.nodes["vm-000"].view


def test_daemon_joins_despite_unreachable_seeds():
    """Most of the seeds have been replaced since the settings were written.

    A daemon that dialled them one at a time would start to serve seconds later.
    """
    seeds = ("gone-1", "gone-2", "gone-3", "vm-000")
    network = FakeNetwork(8, ["pos-a", "pos-b"], seeds)
    network.run(1_000)
    assert [len(node.view) for node in network.running()] == [2, 2]
