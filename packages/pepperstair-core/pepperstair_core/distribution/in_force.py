"""Rules by which a held version goes in force.

A daemon has no persistent state. If a version were in force on one daemon while
only one other holds it, both could crash during a platform outage, and the
restarted daemon would serve an older version than callers have already seen. So in
a fleet of three or more live members, a version goes in force only once two other
live members, the sender included, are known to hold it.
"""

from __future__ import annotations

from typing import Final

from ..decisions import DecisionKind
from .actions import Actions, PutInForce, RecordDecision
from .state import Candidate, CustomerState, DistributionState

N_OTHER_HOLDERS: Final = 2


def record_holder(
    state: DistributionState, customer: CustomerState, vm: str, version: int
) -> None:
    """Record that a member holds at least a version."""
    if vm != state.fleet.own_vm and version > customer.holders.get(vm, 0):
        customer.holders[vm] = version


def advance(state: DistributionState, customer: CustomerState, now_ms: int) -> Actions:
    """Put the newest candidate in force that enough other members hold."""
    for candidate in reversed(customer.candidates):
        if not _has_enough_holders(state, customer, candidate, now_ms):
            continue
        version = candidate.snapshot.head.version
        customer.in_force = candidate.snapshot
        customer.candidates = [
            later
            for later in customer.candidates
            if later.snapshot.head.version > version
        ]
        yield PutInForce(candidate.snapshot, candidate.learnt_from)
        if _n_holders(state, customer, candidate) < _n_required(state):
            state.counters.n_in_force_alone += 1
            yield RecordDecision(DecisionKind.IN_FORCE, customer.customer, "alone", ())
        return


def _has_enough_holders(
    state: DistributionState,
    customer: CustomerState,
    candidate: Candidate,
    now_ms: int,
) -> bool:
    n_required = _n_required(state)
    if now_ms - candidate.held_at_ms >= state.timing.holder_wait_max_ms:
        # After the wait, no more holders are required than there are neighbours with an
        # open stream. Otherwise a daemon that is partitioned from most members would
        # never apply its held version, because unreachable members are still listed as
        # live.
        n_required = min(n_required, len(state.fleet.neighbours))
    return _n_holders(state, customer, candidate) >= n_required


def _n_required(state: DistributionState) -> int:
    n_live = sum(1 for _ in state.fleet.live())
    return N_OTHER_HOLDERS if n_live > N_OTHER_HOLDERS else 0


def _n_holders(
    state: DistributionState, customer: CustomerState, candidate: Candidate
) -> int:
    version = candidate.snapshot.head.version
    return sum(
        customer.holders.get(vm, 0) >= version
        for vm in state.fleet.live()
        if vm != state.fleet.own_vm
    )


__all__ = ["N_OTHER_HOLDERS", "advance", "record_holder"]
