"""When a held version goes in force.

A daemon keeps nothing. Were a version in force on one daemon while only one
other holds it, both could die while the platform is out, and the restarted
daemon would come back with an older version than callers had already seen. So
a version goes in force only once two other live members are known to hold it,
of which the sender is one, where the live fleet has three or more.
"""

from __future__ import annotations

from typing import Final

from ..decisions import DecisionKind
from .actions import Actions, PutInForce, RecordDecision
from .state import Candidate, CustomerState, DistributionState

N_OTHER_HOLDERS: Final = 2


def note_holder(
    state: DistributionState, customer: CustomerState, vm: str, version: int
) -> None:
    """Remember that a member holds a version, or a newer one."""
    if vm != state.fleet.own_vm and version > customer.holders.get(vm, 0):
        customer.holders[vm] = version


def advance(state: DistributionState, customer: CustomerState, now_ms: int) -> Actions:
    """Put the newest version in force that enough other members hold."""
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
    if now_ms - candidate.held_at_ms >= state.timing.alone_wait_ms:
        # The bounded exception: whoever is cut off from all but a few would
        # otherwise never apply what it holds, though members that it cannot
        # reach are still listed. After the wait the open streams decide.
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


__all__ = ["N_OTHER_HOLDERS", "advance", "note_holder"]
