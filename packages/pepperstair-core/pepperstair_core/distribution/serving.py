"""Serving of neighbours' pulls.

A neighbour that is a few versions behind receives deltas. Full snapshots are served
to a bounded number of neighbours at a time, so that many daemons that restart
together do not stall the running ones.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from ..versions import Delta, Snapshot
from ..wire import Busy, DeltaPush, Pull, SnapshotPart
from .actions import Actions, Send
from .state import PART_MAX_BYTES, CustomerState, DistributionState

_N_OTHER_ADDRESSES_MAX: Final = 3


def on_pull(state: DistributionState, sender: str, frame: Pull, now_ms: int) -> Actions:
    """Send the missing versions, or a `Busy` frame that names other holders."""
    customer = state.customer(frame.customer)
    customer.pruned.discard(sender)
    held = customer.held
    if held is None or held.head.version <= frame.held_version:
        return
    chain = _delta_chain(customer, frame.held_version)
    if chain and sum(len(delta.patch) for delta in chain) < len(held.body):
        for delta in chain:
            yield Send(sender, DeltaPush(delta), customer.customer)
        return
    _expire_pulls(state, now_ms)
    key = (sender, frame.customer)
    is_full = len(state.served_pulls) >= state.timing.n_pulls_served_max
    if is_full and key not in state.served_pulls:
        state.counters.n_busy_sent += 1
        yield Send(sender, _busy_reply(state, customer, sender))
        return
    state.served_pulls[key] = now_ms + state.timing.serving_timeout_ms
    state.counters.n_full_pulls_served += 1
    for part in iter_parts(held):
        yield Send(sender, part, customer.customer)


def release_pull(state: DistributionState, vm: str, customer: str) -> None:
    """Free the capacity of a full pull once its receiver announces a version."""
    state.served_pulls.pop((vm, customer), None)


def iter_parts(snapshot: Snapshot) -> Iterator[SnapshotPart]:
    """Split a snapshot into parts, so that other frames can be sent in between."""
    n_parts = max(1, -(-len(snapshot.body) // PART_MAX_BYTES))
    for index in range(n_parts):
        start = index * PART_MAX_BYTES
        data = snapshot.body[start : start + PART_MAX_BYTES]
        yield SnapshotPart(snapshot.head, index, n_parts, data)


def _delta_chain(customer: CustomerState, held_version: int) -> list[Delta]:
    """Return the deltas from a version to the held one.

    The list is empty if one of the deltas is missing or too large for one frame.
    """
    by_base = {delta.base_version: delta for delta in customer.deltas}
    chain = []
    version = held_version
    while version in by_base:
        delta = by_base[version]
        if len(delta.patch) > PART_MAX_BYTES:
            return []
        chain.append(delta)
        version = delta.head.version
    return chain if version == customer.held_version else []


def _expire_pulls(state: DistributionState, now_ms: int) -> None:
    """Free the capacity of pulls whose receivers have not answered in time.

    A paused neighbour would otherwise occupy the capacity of its pull forever, and
    after `n_pulls_served_max` paused neighbours every later pull would be declined.
    """
    for key, until_ms in list(state.served_pulls.items()):
        if now_ms >= until_ms:
            del state.served_pulls[key]


def _busy_reply(state: DistributionState, customer: CustomerState, sender: str) -> Busy:
    other_addresses = [
        state.fleet.members[vm].peer_address
        for vm, version in sorted(customer.holders.items())
        if version >= customer.held_version
        and vm != sender
        and vm in state.fleet.members
    ]
    state.rng.shuffle(other_addresses)
    retry_after_ms = int(state.timing.busy_retry_ms * state.rng.uniform(0.5, 1.5))
    return Busy(
        customer.customer,
        retry_after_ms,
        tuple(other_addresses[:_N_OTHER_ADDRESSES_MAX]),
    )


__all__ = ["iter_parts", "on_pull", "release_pull"]
