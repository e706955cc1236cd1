"""Differential test of the distribution against the naive implementation."""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ..naive.distribution import poll
from .fake_network import (
    FakeNetwork,
    make_intent,
    start_ready_network,
    versions_only_increase,
)

N_NODES = 5
CUSTOMERS = ("lantern", "sayaw")
NODES = st.integers(0, N_NODES - 1)
STEPS = st.one_of(
    st.tuples(st.just("accept"), NODES, st.sampled_from(CUSTOMERS)),
    st.tuples(st.just("commit"), NODES, st.sampled_from(CUSTOMERS)),
    st.tuples(st.just("restart"), NODES, st.just("")),
    st.tuples(st.just("cut"), NODES, st.just("")),
    st.tuples(st.just("join"), NODES, st.just("")),
    st.tuples(st.just("outage"), NODES, st.just("")),
    st.tuples(st.just("recover"), NODES, st.just("")),
    st.tuples(st.just("wait"), NODES, st.just("")),
)


def execute_step(network: FakeNetwork, number: int, step: tuple[str, int, str]) -> None:
    """Execute one step of a generated history."""
    operation, node, customer = step
    vm = f"vm-{node}"
    if operation == "accept" and not network.has_platform_outage:
        network.accept(vm, make_intent(customer, f"c{number}"))
    elif operation == "commit" and not network.has_platform_outage:
        network.commit(make_intent(customer, f"c{number}"), vm)
    elif operation == "restart":
        network.kill(vm)
        network.start(vm, network.zones[vm])
    elif operation == "cut":
        network.set_partition(lambda a, b: (a == vm) != (b == vm))
    elif operation == "join":
        network.set_partition(lambda a, b: False)
    elif operation in ("outage", "recover"):
        network.has_platform_outage = operation == "outage"
    network.run(100 if operation != "wait" else 2500)
    assert versions_only_increase(network)


@settings(
    derandomize=True,
    max_examples=30,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    st.integers(0, 2**32),
    st.lists(STEPS, min_size=3, max_size=14),
    st.sampled_from((0.0, 0.3)),
    st.sampled_from((0.0, 0.3)),
)
def test_converges_to_the_state_of_the_naive_version(seed, steps, dropped, duplicated):
    """Frames are lost, duplicated and reordered while daemons restart, a daemon is
    partitioned and the platform has an outage.

    After recovery every proxy has the versions of the naive implementation, and no
    proxy ever returned to an older one.
    """
    network = start_ready_network(N_NODES, seed, n_zones=2)
    network.drop_probability = dropped
    network.duplicate_probability = duplicated
    for number, step in enumerate(steps):
        execute_step(network, number, step)
    network.drop_probability = network.duplicate_probability = 0.0
    network.has_platform_outage = False
    network.set_partition(lambda a, b: False)
    expected = poll({}, network.heads, network.objects)
    network.run_until(
        lambda: all(
            node.in_force == expected and node.distribution.floor.is_known
            for node in network.nodes.values()
        )
    )
    assert versions_only_increase(network)
