"""Fetching a version that was announced and did not follow.

A pull asks neighbours that hold the version, one after the other, and the
object store when none of them delivers.
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
_N_BUSY_ROUNDS = 3


def want(
    state: DistributionState,
    customer: CustomerState,
    version: int,
    now_ms: int,
    *,
    head: Head | None = None,
    is_urgent: bool = False,
    needs_full: bool = False,
) -> None:
    """Remember that a version is missing; `ask_due` asks for it in time.

    The wait before asking is jittered: all neighbours of a lost sender miss the
    same version at the same moment and would otherwise pull in step.
    """
    if version <= customer.held_version or _is_rejected(customer, version, now_ms):
        return
    grace_ms = 0
    if not is_urgent:
        grace_ms = int(state.timing.pull_grace_ms * state.rng.uniform(0.5, 1.5))
    pull = customer.pull
    if pull is None:
        pull = customer.pull = PullState(version, now_ms + grace_ms)
    elif not pull.asked:
        pull.due_ms = min(pull.due_ms, now_ms + grace_ms)
    pull.version = max(pull.version, version)
    pull.needs_full = pull.needs_full or needs_full
    if head is not None and (pull.head is None or pull.head.version < head.version):
        pull.head = head


def ask_due(state: DistributionState, now_ms: int) -> Actions:
    """Ask the next source for each version whose time has come."""
    for customer in state.customers.values():
        pull = customer.pull
        if pull is not None and now_ms >= pull.due_ms:
            yield from _ask_next(state, customer, pull, now_ms)


def on_part(
    state: DistributionState, sender: str, frame: SnapshotPart, now_ms: int
) -> Actions:
    """Collect one piece of a full snapshot, and queue the whole for its turn."""
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
    """Queue a whole body for its turn to be applied."""
    customer.n_received = max(customer.n_received, head.version)
    state.counters.n_full_pulls += 1
    state.inbox.put(head.customer, ReceivedBody(sender, head, body), len(body))


def on_busy(state: DistributionState, sender: str, frame: Busy, now_ms: int) -> None:
    """Turn to the other holders that were named, or come back later."""
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
    if pull.n_rounds < _N_BUSY_ROUNDS:
        # Busy neighbours still deliver: going to the object store at once
        # would move the whole herd there.
        pull.asked.clear()
        pull.n_rounds += 1


def fetch_failed(state: DistributionState, customer: str, now_ms: int) -> None:
    """Wait before the next round after the platform could not help."""
    pull = state.customer(customer).pull
    if pull is not None:
        pull.due_ms = now_ms + _backoff_ms(state, pull)


def _ask_next(
    state: DistributionState, customer: CustomerState, pull: PullState, now_ms: int
) -> Actions:
    source = _next_source(state, customer, pull)
    if source is not None:
        pull.asked.add(source)
        pull.due_ms = now_ms + state.timing.pull_timeout_ms
        customer.pruned.discard(source)
        held_version = 0 if pull.needs_full else customer.held_version
        yield Send(source, Pull(customer.customer, held_version))
        return
    pull.asked.clear()
    pull.n_rounds += 1
    pull.due_ms = now_ms + state.timing.pull_timeout_ms + _backoff_ms(state, pull)
    if pull.head is not None:
        yield FetchObject(pull.head)
    else:
        yield ReadHead(customer.customer)


def _next_source(
    state: DistributionState, customer: CustomerState, pull: PullState
) -> str | None:
    """Return a neighbour to ask: one of the own zone before the others.

    Where nobody has the wanted version, as when its object is damaged, one that
    has at least a newer version than the held one is better than none.
    """
    versions = {
        vm: customer.holders.get(vm, 0)
        for vm in sorted(state.fleet.neighbours - pull.asked)
    }
    able = [vm for vm, version in versions.items() if version >= pull.version]
    if not able:
        held_version = customer.held_version
        able = [vm for vm, version in versions.items() if version > held_version]
    near = [vm for vm in able if state.fleet.zone_of(vm) == state.fleet.own_zone]
    choices = near or able
    return state.rng.choice(choices) if choices else None


def _backoff_ms(state: DistributionState, pull: PullState) -> int:
    """Return a full-jitter wait that doubles with each round."""
    longest = state.timing.pull_timeout_ms * 2 ** min(pull.n_rounds, 10)
    return int(state.rng.uniform(0, min(longest, state.timing.pull_backoff_max_ms)))


def _is_rejected(customer: CustomerState, version: int, now_ms: int) -> bool:
    rejected = customer.rejected
    if rejected is None or version > rejected.version:
        return False
    return now_ms < customer.rejected_until_ms


__all__ = ["ask_due", "fetch_failed", "on_busy", "on_part", "queue_body", "want"]
