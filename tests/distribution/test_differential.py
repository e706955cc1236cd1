"""The distribution and the naive version end in the same state."""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ..naive.distribution import poll
from .fake_network import (
    FakeNetwork,
    make_intent,
    started,
    versions_only_rise,
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


def do_step(network: FakeNetwork, number: int, step: tuple[str, int, str]) -> None:
    """Do one step of a generated history."""
    what, node, customer = step
    vm = f"vm-{node}"
    if what == "accept" and not network.is_platform_out:
        network.accept(vm, make_intent(customer, f"c{number}"))
    elif what == "commit" and not network.is_platform_out:
        network.commit(make_intent(customer, f"c{number}"), vm)
    elif what == "restart":
        network.kill(vm)
        network.start(vm, network.zones[vm])
    elif what == "cut":
        network.set_cut(lambda a, b: (a == vm) != (b == vm))
    elif what == "join":
        network.set_cut(lambda a, b: False)
    elif what in ("outage", "recover"):
        network.is_platform_out = what == "outage"
    network.run(100 if what != "wait" else 2500)
    assert versions_only_rise(network)


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
def test_ends_as_the_naive_version_does(seed, steps, dropped, repeated):
    """Frames are lost, repeated and overtake each other while daemons restart,
    a daemon is cut off and the platform goes out.

    Once all is well again, every proxy has what the naive version has, and on
    the way none moved back.
    """
    network = started(N_NODES, seed, n_zones=2)
    network.drop_probability = dropped
    network.repeat_probability = repeated
    for number, step in enumerate(steps):
        do_step(network, number, step)
    network.drop_probability = network.repeat_probability = 0.0
    network.is_platform_out = False
    network.set_cut(lambda a, b: False)
    wanted = poll({}, network.heads, network.objects)
    network.run_until(
        lambda: all(
            node.in_force == wanted and node.distribution.floor.is_known
            for node in network.nodes.values()
        )
    )
    assert versions_only_rise(network)
