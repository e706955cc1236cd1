"""Atomic application of received deltas and bodies.

Received deltas and bodies wait in a fair queue: parsing a large document takes
long enough that a burst of them would delay a small customer's change.
"""

from __future__ import annotations

from typing import Final

from ..decisions import DecisionKind
from ..versions import (
    Delta,
    Snapshot,
    apply_delta,
    digest_of,
    make_delta,
    make_snapshot,
)
from .actions import Actions, RecordDecision, Reject
from .in_force import advance
from .pulling import on_fetch_failed, schedule_pull
from .spreading import announce
from .state import (
    PLATFORM,
    Candidate,
    CustomerState,
    DistributionState,
    ReceivedBody,
    ReceivedDelta,
)

_N_EARLY_DELTAS_MAX: Final = 32


def apply_next(state: DistributionState, now_ms: int) -> Actions:
    """Apply the next delta or body of the fair queue, if there is one."""
    received = state.inbox.take()
    if isinstance(received, ReceivedDelta):
        yield from _apply_delta(state, received, now_ms)
    elif isinstance(received, ReceivedBody):
        yield from _apply_body(state, received, now_ms)


def hold_version(
    state: DistributionState,
    snapshot: Snapshot,
    learnt_from: str,
    now_ms: int,
    delta: Delta | None = None,
) -> Actions:
    """Store a version, announce it, and put it in force once enough members hold it.

    Updates can arrive out of order: a version that is not newer than the held one
    is counted and ignored, so that no proxy returns to an older version.
    """
    customer = state.customer(snapshot.head.customer)
    if snapshot.head.version <= customer.held_version:
        state.counters.n_versions_ignored += 1
        return
    if delta is None:
        delta = make_delta(customer.held or customer.empty, snapshot)
    customer.held = snapshot
    customer.received_version = max(customer.received_version, snapshot.head.version)
    customer.add_delta(delta)
    customer.add_candidate(Candidate(snapshot, now_ms, learnt_from))
    if customer.pull is not None and customer.pull.version <= snapshot.head.version:
        customer.pull = None
    yield from announce(state, customer, delta, learnt_from)
    yield from advance(state, customer, now_ms)
    _queue_early_delta(state, customer)


def _apply_delta(
    state: DistributionState, received: ReceivedDelta, now_ms: int
) -> Actions:
    delta = received.delta
    customer = state.customer(delta.head.customer)
    version = delta.head.version
    if version <= customer.held_version:
        state.counters.n_versions_ignored += 1
        return
    base = customer.empty if delta.base_version == 0 else customer.held
    if base is None or base.head.version != delta.base_version:
        _keep_early_delta(customer, received)
        schedule_pull(state, customer, version, now_ms, is_urgent=True)
        return
    applied = apply_delta(base, delta)
    if applied.is_err():
        # The base differs from the sender's, or the delta is corrupt. Without the
        # digest check in `apply_delta` the daemon would serve a document that nobody
        # accepted.
        cause = "; ".join(map(str, applied.unwrap_err()))
        state.counters.n_deltas_refused += 1
        customer.received_version = customer.held_version
        yield RecordDecision(
            DecisionKind.REJECTED, customer.customer, f"delta: {cause}"
        )
        schedule_pull(state, customer, version, now_ms, is_urgent=True, needs_full=True)
        return
    state.counters.n_deltas_applied += 1
    yield from hold_version(state, applied.unwrap(), received.sender, now_ms, delta)


def _apply_body(
    state: DistributionState, received: ReceivedBody, now_ms: int
) -> Actions:
    head = received.head
    customer = state.customer(head.customer)
    if head.version <= customer.held_version:
        state.counters.n_versions_ignored += 1
        return
    made = make_snapshot(head, received.body)
    if made.is_ok():
        yield from hold_version(state, made.unwrap(), received.sender, now_ms)
        return
    customer.received_version = customer.held_version
    cause = "; ".join(map(str, made.unwrap_err()))
    is_complete = digest_of(received.body) == head.digest
    if is_complete or received.sender == PLATFORM:
        yield from _reject(state, customer, received, cause, now_ms)
        return
    yield RecordDecision(
        DecisionKind.REJECTED, customer.customer, f"{received.sender}: {cause}"
    )
    if customer.pull is not None:
        customer.pull.due_ms = now_ms


def _reject(
    state: DistributionState,
    customer: CustomerState,
    received: ReceivedBody,
    cause: str,
    now_ms: int,
) -> Actions:
    """Reject a body: keep the held version and report the cause.

    A corrupt body is fetched again after a backoff. An intact body that this daemon
    can't parse, for example because the daemon that accepted the change runs newer
    software, would be just as unreadable if it were fetched again. Its rejection is
    therefore remembered: otherwise every announcement of a neighbour would start
    another pull.
    """
    head = received.head
    state.counters.n_versions_rejected += 1
    customer.rejected = head
    customer.rejected_cause = cause
    if digest_of(received.body) == head.digest:
        customer.rejected_until_ms = now_ms + state.timing.rejected_retry_ms
        customer.pull = None
    else:
        on_fetch_failed(state, customer.customer, now_ms)
    yield Reject(head, received.sender, cause)


def _keep_early_delta(customer: CustomerState, received: ReceivedDelta) -> None:
    """Keep a delta whose base is being pulled, to catch up without a second pull.

    The customer's configuration may change while a full snapshot is being pulled.
    Without the deltas that arrive meanwhile, the receiver would stay a version behind
    and pull forever.
    """
    customer.received_version = customer.held_version
    if len(customer.early_deltas) >= _N_EARLY_DELTAS_MAX:
        customer.early_deltas.pop(min(customer.early_deltas))
    customer.early_deltas[received.delta.base_version] = received


def _queue_early_delta(state: DistributionState, customer: CustomerState) -> None:
    for base_version in list(customer.early_deltas):
        if base_version < customer.held_version:
            del customer.early_deltas[base_version]
    received = customer.early_deltas.pop(customer.held_version, None)
    if received is not None:
        cost = len(received.delta.patch) + len(customer.held.body)
        state.inbox.put(customer.customer, received, cost)


__all__ = ["apply_next", "hold_version"]
