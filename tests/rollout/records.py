"""Records and parts that the tests of rollouts share."""

from __future__ import annotations

from pepperstair_core.rollout import (
    Evidence,
    Rollout,
    RolloutFleet,
    RolloutOrder,
    RolloutTerms,
    RouteCounts,
)

TERMS = RolloutTerms(exposure_share=0.1, n_exposed_extra=50, rollback_ms=5_000)
ORDER = RolloutOrder("ledger", "v2", duration_ms=12_000, number=7)
FLEET = RolloutFleet(frozenset({"vm-1"}), n_old_slots=12, n_new_slots=12)
PROMOTION_MS = 9_500
COMPLETION_MS = 11_300


def make_rollout(vm="vm-0", start_id=1, order=ORDER, age_ms=0, now_ms=0.0):
    """Return a rollout at a daemon that has learned of the order now."""
    return Rollout(order, age_ms, now_ms, TERMS, vm, start_id)


def counts(n_run, n_bad=0, is_new=False, route="read"):
    """Return the counts of a route without service times."""
    return RouteCounts(route, is_new, n_run, n_bad, 0, 0.0, 0.0)


def evidence(vm, *all_counts, sequence=1, start_id=1, n_old_running=-1, order=ORDER):
    """Return evidence of a process of a daemon."""
    return Evidence(
        vm, start_id, sequence, order.service, order.number, all_counts, n_old_running
    )
