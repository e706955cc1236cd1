"""Tests that versions reach every daemon completely and at a bounded cost."""

from __future__ import annotations

import msgpack
from msgspec.structs import replace

from pepperstair_core import distribution as d
from pepperstair_core.versions import digest_of, encode_intent, make_delta
from pepperstair_core.wire import Busy, DeltaPush, Have, Pull, SnapshotPart

from .fake_network import (
    bucket_of,
    make_intent,
    start_ready_network,
    versions_only_increase,
)


def n_actions(network, kind, *vms: str) -> int:
    """Return how many actions of a kind some daemons have returned."""
    return sum(
        isinstance(action, kind) for vm in vms for action in network.nodes[vm].actions
    )


def test_tree_prunes_itself():
    """Every stream carries every version until it is pruned from the customer's tree.

    Without pruning, control bytes would grow with the number of streams instead of the
    number of daemons.
    """
    network = start_ready_network(8)
    for version in range(1, 6):
        network.sent.clear()
        network.accept("vm-0", make_intent("lantern", f"v{version}"))
        network.run_until(lambda v=version: network.all_in_force("lantern", v))
        network.run(200)
    delta = max(
        len(action.frame.delta.patch) + 150
        for action in network.nodes["vm-0"].actions
        if isinstance(action, d.Send) and isinstance(action.frame, DeltaPush)
    )
    assert network.sent["DeltaPush"] < 1.2 * delta * len(network.nodes)


def test_change_survives_a_crash_of_its_accepting_daemon():
    """A change is accepted, and its daemon crashes before it announces the change.

    The operator has already received the acceptance, and only the pollers can discover
    the change.
    """
    network = start_ready_network(6, n_zones=2)
    network.commit(make_intent("lantern", "a"), "vm-0")
    network.kill("vm-0")
    assert network.run_until(lambda: network.all_in_force("lantern", 1)) < 3000


def test_delta_with_a_bad_digest_is_not_applied():
    """A delta is corrupt, or was made from a base that differs from the held one.

    If it were applied unchecked, the proxy would serve routes that nobody accepted.
    """
    network = start_ready_network(3)
    first = network.accept("vm-0", make_intent("lantern", "a"))
    network.run_until(lambda: network.all_in_force("lantern", 1))
    second = network.commit(make_intent("lantern", "b"), "vm-9")
    held_snapshot = network.nodes["vm-0"].in_force["lantern"]
    other = replace(second, body=encode_intent(make_intent("lantern", "c")))
    frame = DeltaPush(replace(make_delta(first, other), head=second.head))
    network.deliver("vm-0", "vm-1", frame)
    assert network.nodes["vm-1"].in_force["lantern"] == held_snapshot
    assert network.nodes["vm-1"].distribution.state.counters.n_deltas_refused == 1
    network.run_until(lambda: network.all_in_force("lantern", 2))
    assert network.nodes["vm-1"].in_force["lantern"].body == second.body


def test_deltas_received_during_a_full_pull_are_applied():
    """A daemon joins while a customer's versions change faster than a pull completes.

    Without the deltas that arrive during the pull, it would stay behind and repeat the
    full pull.
    """
    network = start_ready_network(4)
    versions = [
        network.accept("vm-0", make_intent("lantern", f"v{n}")) for n in range(4)
    ]
    distribution = network.nodes["vm-3"].distribution
    network.kill("vm-3")
    node = network.start("vm-3")
    distribution = node.distribution
    for base, target in zip(versions[1:], versions[2:], strict=False):
        network.deliver("vm-0", "vm-3", DeltaPush(make_delta(base, target)))
    assert distribution.state.customer("lantern").held is None
    (part,) = iter_parts_of(versions[1])
    network.deliver("vm-0", "vm-3", part)
    assert distribution.state.customer("lantern").held_version == 4
    assert versions_only_increase(network)


def iter_parts_of(snapshot):
    """Return a small snapshot as its only part."""
    return (SnapshotPart(snapshot.head, 0, 1, snapshot.body),)


def test_concurrent_full_pulls_are_bounded():
    """Most of the fleet restarts at the same time and pulls full snapshots.

    If all pulls were served at once, they would stall the remaining daemons; if all
    were redirected to the object store, they would stall the platform.
    """
    network = start_ready_network(12)
    intent = make_intent("lantern", "a", n_routes=1500)
    network.accept("vm-0", intent)
    network.run_until(lambda: network.all_in_force("lantern", 1))
    restarted_vms = [f"vm-{n}" for n in range(3, 12)]
    for vm in restarted_vms:
        network.kill(vm)
    network.has_platform_outage = True
    for vm in restarted_vms:
        network.start(vm)
    n_served_pulls = [
        len(network.nodes[vm].distribution.state.served_pulls)
        for _ in range(100)
        for vm in ("vm-0", "vm-1", "vm-2")
        if network.run(50) is None
    ]
    assert max(n_served_pulls) <= d.Timing().n_pulls_served_max
    assert network.all_in_force("lantern", 1)


def test_pulls_beyond_the_bound_are_referred_to_other_holders():
    """Six neighbours pull a large snapshot at the same time, and one of them is paused.

    Four are served. Capacity becomes free once a receiver announces the version or has
    been silent for `serving_timeout_ms`.
    """
    network = start_ready_network(8)
    network.accept("vm-0", make_intent("lantern", "a", n_routes=1500))
    network.run_until(lambda: network.all_in_force("lantern", 1))
    network.nodes["vm-0"].actions.clear()

    def pull(vm: str) -> str:
        network.deliver(vm, "vm-0", Pull("lantern", 0))
        frame = network.nodes["vm-0"].actions[-1].frame
        if isinstance(frame, Busy):
            assert frame.other_addresses and frame.retry_after_ms
        return type(frame).__name__

    kinds = [pull(f"vm-{number}") for number in range(1, 7)]
    assert kinds == ["SnapshotPart"] * 4 + ["Busy"] * 2
    network.deliver("vm-1", "vm-0", Have("lantern", 1))
    assert pull("vm-5") == "SnapshotPart"
    assert pull("vm-6") == "Busy"
    network.run(d.Timing().serving_timeout_ms)
    assert pull("vm-6") == "SnapshotPart"


def test_paused_daemon_is_repaired_by_anti_entropy():
    """A daemon is paused while a version is distributed, with its streams open and
    the platform unavailable.

    The version is not announced to it again: only the comparison of digests reveals
    what it missed.
    """
    network = start_ready_network(5)
    network.has_platform_outage = True
    network.paused_vms = {"vm-4"}
    network.accept("vm-0", make_intent("lantern", "a"))
    network.run(2000)
    network.paused_vms = set()
    assert network.run_until(lambda: network.all_in_force("lantern", 1)) < 10_000


def test_corrupt_object_leaves_the_held_version_in_force():
    """The object store returns a corrupt body and no neighbour has the version.

    The version is reported as rejected and the held one stays in force. Once the store
    returns the right body, the version goes in force.
    """
    network = start_ready_network(3)
    network.accept("vm-0", make_intent("lantern", "a"))
    network.run_until(lambda: network.all_in_force("lantern", 1))
    bad = network.commit(make_intent("lantern", "b"), "vm-9")
    network.objects[bad.head.digest] = b"damaged"
    network.run(6000)
    assert network.all_in_force("lantern", 1)
    assert n_actions(network, d.Reject, *network.nodes) > 0
    n_fetches = n_actions(network, d.FetchObject, *network.nodes)
    network.run(20_000)
    assert n_actions(network, d.FetchObject, *network.nodes) <= n_fetches + 30
    network.objects[bad.head.digest] = bad.body
    network.run_until(lambda: network.all_in_force("lantern", 2))


def test_unreadable_version_is_not_fetched_repeatedly():
    """A newer release of the daemon accepted a document that this one can't parse.

    Its digest is correct, so fetching it again would not help, and each announcement of
    a neighbour would start another pull. A later version is still applied.
    """
    network = start_ready_network(1)
    network.accept("vm-0", make_intent("lantern", "a"))
    table = msgpack.unpackb(network.nodes["vm-0"].in_force["lantern"].body)
    body = msgpack.packb({**table, "later": True})
    known = network.heads["lantern"]
    head = replace(known, version=2, digest=digest_of(body), change_id="later")
    network.heads["lantern"], network.objects[head.digest] = head, body
    for number in range(20):
        network.bucket_tokens[bucket_of("lantern")] = f"ring {number}"
        network.run(1000)
    assert n_actions(network, d.Reject, "vm-0") == 1
    assert network.all_in_force("lantern", 1)
    network.accept("vm-0", make_intent("lantern", "c"))
    assert network.all_in_force("lantern", 3)


def test_burst_of_a_large_customer_delays_a_small_one_by_a_turn():
    """A large customer makes 500 changes at the same time as one of a small customer.

    With a single queue, the small customer's change would wait for all 500.
    """
    outbox = d.Outbox()
    network = start_ready_network(1)
    base = network.commit(make_intent("lantern", "v0", n_routes=20), "vm-0")
    target = network.commit(make_intent("lantern", "v1", n_routes=20), "vm-0")
    large = DeltaPush(make_delta(base, target))
    for _ in range(500):
        outbox.put("vm-1", "lantern", large)
    small = Have("sayaw", 1)
    outbox.put("vm-1", "sayaw", small)
    n_bytes_before = 0
    while (frame := outbox.take("vm-1")) != small:
        is_delta = isinstance(frame, DeltaPush)
        n_bytes_before += len(frame.delta.patch) if is_delta else 0
    assert n_bytes_before <= 65_536


def test_paused_neighbour_does_not_fill_the_memory():
    """A paused neighbour reads nothing while a customer's versions keep changing.

    The queued deltas would grow until this daemon runs out of memory. A single `Have`
    replaces them, and the neighbour pulls when it resumes.
    """
    outbox = d.Outbox()
    network = start_ready_network(1)
    base = network.commit(make_intent("lantern", "v0", n_routes=200), "vm-0")
    target = network.commit(make_intent("lantern", "v1", n_routes=200), "vm-0")
    large = DeltaPush(make_delta(base, target))
    for _ in range(500):
        outbox.put("vm-1", "lantern", large)
    taken = list(iter(lambda: outbox.take("vm-1"), None))
    assert sum(isinstance(frame, DeltaPush) for frame in taken) < 40
    assert Have("lantern", 2) in taken
