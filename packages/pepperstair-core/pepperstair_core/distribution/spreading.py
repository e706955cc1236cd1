"""Epidemic broadcast of new versions: deltas along a tree, announcements elsewhere.

Each customer has its own tree, which initially contains every stream. A daemon that
receives a version twice requests that the second sender only announce versions, which
prunes the stream from the tree. A pull grafts it back (Plumtree, Leitão, Pereira and
Rodrigues 2007).
"""

from __future__ import annotations

from ..versions import Delta
from ..wire import DeltaPush, Have, Prune
from .actions import Actions, Send
from .in_force import advance, record_holder
from .pulling import schedule_pull
from .serving import release_pull
from .state import PART_MAX_BYTES, CustomerState, DistributionState, ReceivedDelta


def announce(
    state: DistributionState, customer: CustomerState, delta: Delta, sender: str
) -> Actions:
    """Push or announce the held version to every neighbour.

    The sender of the version also gets a `Have`, because it puts the version in force
    only once it knows of enough other holders.
    """
    version = delta.head.version
    is_pushable = len(delta.patch) <= PART_MAX_BYTES
    for vm in sorted(state.fleet.neighbours):
        is_known_there = vm == sender or customer.holders.get(vm, 0) >= version
        if is_known_there or vm in customer.pruned or not is_pushable:
            yield Send(vm, Have(customer.customer, version))
        else:
            yield Send(vm, DeltaPush(delta), customer.customer)


def on_delta_push(
    state: DistributionState, sender: str, frame: DeltaPush, now_ms: int
) -> Actions:
    """Queue a delta to be applied, or prune the stream that sent a duplicate."""
    head = frame.delta.head
    customer = state.customer(head.customer)
    record_holder(state, customer, sender, head.version)
    if head.version <= customer.received_version:
        state.counters.n_versions_ignored += 1
        state.counters.n_prunes += 1
        customer.pruned.add(sender)
        yield Send(sender, Prune(head.customer))
        yield from advance(state, customer, now_ms)
        return
    customer.received_version = head.version
    cost = len(frame.delta.patch) + len((customer.held or customer.empty).body)
    state.inbox.put(head.customer, ReceivedDelta(sender, frame.delta), cost)


def on_have(state: DistributionState, sender: str, frame: Have, now_ms: int) -> Actions:
    """Record a holder, and schedule a pull if the version is not received yet."""
    customer = state.customer(frame.customer)
    record_holder(state, customer, sender, frame.version)
    release_pull(state, sender, frame.customer)
    if frame.version > customer.received_version:
        schedule_pull(state, customer, frame.version, now_ms)
    yield from advance(state, customer, now_ms)


def on_prune(state: DistributionState, sender: str, frame: Prune) -> None:
    """Announce versions to this neighbour instead of pushing them."""
    state.customer(frame.customer).pruned.add(sender)


__all__ = ["announce", "on_delta_push", "on_have", "on_prune"]
