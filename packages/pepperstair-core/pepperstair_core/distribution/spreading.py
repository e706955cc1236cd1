"""Telling neighbours of new versions: a delta along a tree, a word to the others.

Each customer has its own tree. Every stream starts as part of it; whoever
receives a version twice asks the second sender to announce only, which prunes
the stream from the tree. A pull puts it back (Plumtree, Leitão, Pereira and
Rodrigues 2007).
"""

from __future__ import annotations

from ..versions import Delta
from ..wire import DeltaPush, Have, Prune
from .actions import Actions, Send
from .in_force import advance, note_holder
from .pulling import want
from .serving import release
from .state import PART_MAX_BYTES, CustomerState, DistributionState, ReceivedDelta


def announce(
    state: DistributionState, customer: CustomerState, delta: Delta, sender: str
) -> Actions:
    """Tell every neighbour of the version that is now held.

    The sender too gets a `Have`: it counts holders before it puts the version
    in force.
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
    """Queue a delta for its turn, or prune the stream that repeated it."""
    head = frame.delta.head
    customer = state.customer(head.customer)
    note_holder(state, customer, sender, head.version)
    if head.version <= customer.n_received:
        state.counters.n_versions_ignored += 1
        state.counters.n_prunes += 1
        customer.pruned.add(sender)
        yield Send(sender, Prune(head.customer))
        yield from advance(state, customer, now_ms)
        return
    customer.n_received = head.version
    cost = len(frame.delta.patch) + len((customer.held or customer.empty).body)
    state.inbox.put(head.customer, ReceivedDelta(sender, frame.delta), cost)


def on_have(state: DistributionState, sender: str, frame: Have, now_ms: int) -> Actions:
    """Count a holder, and pull the version if it does not follow in time."""
    customer = state.customer(frame.customer)
    note_holder(state, customer, sender, frame.version)
    release(state, sender, frame.customer)
    if frame.version > customer.n_received:
        want(state, customer, frame.version, now_ms)
    yield from advance(state, customer, now_ms)


def on_prune(state: DistributionState, sender: str, frame: Prune) -> None:
    """Announce to this neighbour from now on instead of pushing."""
    state.customer(frame.customer).pruned.add(sender)


__all__ = ["announce", "on_delta_push", "on_have", "on_prune"]
