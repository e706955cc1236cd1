"""Pulling of versions that were announced but not received.

A pull requests the version from the neighbours that hold it, one after the other, and
falls back to the object store if none of them delivers it.
"""

from __future__ import annotations

from ..versions import Head
from ..wire import Busy, Pull, SnapshotPart
from .actions import Actions, FetchObject, ReadHead, Send
from .state import (
    PART_MAX_BYTES,
    CustomerState,
    DistributionState,
    PullState,
    ReceivedBody,
)

_N_PARTS_MAX = 64
_N_BUSY_ROUNDS_MAX = 3


def schedule_pull(
    state: DistributionState,
    customer: CustomerState,
    version: int,
    now_ms: int,
    *,
    head: Head | None = None,
    is_urgent: bool = False,
    needs_full: bool = False,
) -> None:
    """Record that a version is missing; `pull_if_due` requests it after a grace period.

    The grace period is jittered: all neighbours of a lost sender miss the same
    version at the same moment and would otherwise pull at the same time.
    """
    if version <= customer.held_version or _is_rejected(customer, version, now_ms):
        return
    grace_ms = 0
    if not is_urgent:
        grace_ms = int(state.timing.pull_grace_ms * state.rng.uniform(0.5, 1.5))
    pull = customer.pull
    if pull is None:
        pull = customer.pull = PullState(version, now_ms + grace_ms)
    elif not pull.requested_vms:
        pull.due_ms = min(pull.due_ms, now_ms + grace_ms)
    pull.version = max(pull.version, version)
    pull.needs_full = pull.needs_full or needs_full
    if head is not None and (pull.head is None or pull.head.version < head.version):
        pull.head = head


def pull_if_due(state: DistributionState, now_ms: int) -> Actions:
    """Request each version whose pull is due from the next source."""
    for customer in state.customers.values():
        pull = customer.pull
        if pull is not None and now_ms >= pull.due_ms:
            yield from _request_from_next_source(state, customer, pull, now_ms)


def on_snapshot_part(
    state: DistributionState, sender: str, frame: SnapshotPart, now_ms: int
) -> Actions:
    """Store one part of a full snapshot, and queue the body once it is complete."""
    customer = state.customer(frame.head.customer)
    pull = customer.pull
    if pull is None or frame.head.version <= customer.held_version:
        state.counters.n_versions_ignored += 1
        return
    if not 0 <= frame.index < frame.n_parts <= _N_PARTS_MAX:
        return
    if len(frame.data) > PART_MAX_BYTES:
        return
    if pull.parts_head != frame.head:
        pull.parts_head = frame.head
        pull.parts.clear()
    pull.parts[frame.index] = frame.data
    pull.due_ms = now_ms + state.timing.pull_timeout_ms
    if len(pull.parts) < frame.n_parts:
        return
    body = b"".join(pull.parts[index] for index in range(frame.n_parts))
    pull.parts.clear()
    pull.parts_head = None
    queue_body(state, customer, sender, frame.head, body)
    yield from ()


def queue_body(
    state: DistributionState,
    customer: CustomerState,
    sender: str,
    head: Head,
    body: bytes,
) -> None:
    """Queue a complete body to be applied."""
    customer.received_version = max(customer.received_version, head.version)
    state.counters.n_full_pulls += 1
    state.inbox.put(head.customer, ReceivedBody(sender, head, body), len(body))


def on_busy(state: DistributionState, sender: str, frame: Busy, now_ms: int) -> None:
    """Try the other holders named in the frame, or retry later."""
    customer = state.customer(frame.customer)
    pull = customer.pull
    if pull is None:
        return
    named = set(frame.other_addresses)
    for vm in state.fleet.neighbours:
        member = state.fleet.members.get(vm)
        if member is not None and member.peer_address in named:
            customer.holders[vm] = max(customer.holders.get(vm, 0), pull.version)
    if _next_source(state, customer, pull) is not None:
        pull.due_ms = now_ms
        return
    wait_ms = min(frame.retry_after_ms, state.timing.pull_backoff_max_ms)
    pull.due_ms = now_ms + int(wait_ms * state.rng.uniform(1.0, 2.0))
    if pull.n_rounds < _N_BUSY_ROUNDS_MAX:
        # Busy neighbours can deliver later, so they are asked again. An immediate
        # fallback to the object store would make all waiting daemons read from it.
        pull.requested_vms.clear()
        pull.n_rounds += 1


def on_fetch_failed(state: DistributionState, customer: str, now_ms: int) -> None:
    """Schedule the next round after a failed platform read, with backoff."""
    pull = state.customer(customer).pull
    if pull is not None:
        pull.due_ms = now_ms + _backoff_ms(state, pull)


def _request_from_next_source(
    state: DistributionState, customer: CustomerState, pull: PullState, now_ms: int
) -> Actions:
    source = _next_source(state, customer, pull)
    if source is not None:
        pull.requested_vms.add(source)
        pull.due_ms = now_ms + state.timing.pull_timeout_ms
        customer.pruned.discard(source)
        held_version = 0 if pull.needs_full else customer.held_version
        yield Send(source, Pull(customer.customer, held_version))
        return
    pull.requested_vms.clear()
    pull.n_rounds += 1
    pull.due_ms = now_ms + state.timing.pull_timeout_ms + _backoff_ms(state, pull)
    if pull.head is not None:
        yield FetchObject(pull.head)
    else:
        yield ReadHead(customer.customer)


def _next_source(
    state: DistributionState, customer: CustomerState, pull: PullState
) -> str | None:
    """Return a neighbour to pull from, preferably one in this daemon's zone.

    If no neighbour holds the wanted version, for example because the version's object
    in the store is corrupt, return a neighbour that holds any newer version than this
    daemon.
    """
    versions = {
        vm: customer.holders.get(vm, 0)
        for vm in sorted(state.fleet.neighbours - pull.requested_vms)
    }
    candidates = [vm for vm, version in versions.items() if version >= pull.version]
    if not candidates:
        held_version = customer.held_version
        candidates = [vm for vm, version in versions.items() if version > held_version]
    same_zone = [
        vm for vm in candidates if state.fleet.zone_of(vm) == state.fleet.own_zone
    ]
    choices = same_zone or candidates
    return state.rng.choice(choices) if choices else None


def _backoff_ms(state: DistributionState, pull: PullState) -> int:
    """Return a full-jitter delay whose maximum doubles with each round."""
    backoff_max_ms = state.timing.pull_timeout_ms * 2 ** min(pull.n_rounds, 10)
    return int(
        state.rng.uniform(0, min(backoff_max_ms, state.timing.pull_backoff_max_ms))
    )


def _is_rejected(customer: CustomerState, version: int, now_ms: int) -> bool:
    rejected = customer.rejected
    if rejected is None or version > rejected.version:
        return False
    return now_ms < customer.rejected_until_ms


__all__ = [
    "pull_if_due",
    "on_fetch_failed",
    "on_busy",
    "on_snapshot_part",
    "queue_body",
    "schedule_pull",
]
