"""A caller's part of the exposure and the choice of canary targets."""

from __future__ import annotations

import pytest

from pepperstair_core.rollout import (
    ExposureBudget,
    Portion,
    canary_targets,
    exposure_offset,
    step_targets,
)

from .records import ORDER, TERMS


def spend(budget, n_requests, n_members, portion=Portion.CANARY):
    """Return how many of a caller's requests went to the new version."""
    n_taken = 0
    for _ in range(n_requests):
        budget.count()
        n_taken += budget.take(n_members, portion)
    return n_taken


@pytest.mark.parametrize("n_members", [1, 8, 64, 600])
@pytest.mark.parametrize("n_requests", [1, 10, 100, 2_000])
def test_half_of_the_bound_is_kept_over_the_fleet(n_members, n_requests):
    budgets = [ExposureBudget(TERMS) for _ in range(n_members)]
    n_taken = sum(spend(budget, n_requests, n_members) for budget in budgets)
    assert n_taken <= 0.05 * n_requests * n_members + 25


@pytest.mark.parametrize("n_members", [64, 600])
@pytest.mark.parametrize("n_requests", [0, 1, 10, 40])
def test_offsets_spend_the_parts_evenly(n_members, n_requests):
    """Guards against callers that all reach their first whole request late."""
    offsets = [exposure_offset(ORDER, f"vm-{i}", 1) for i in range(n_members)]
    budgets = [ExposureBudget(TERMS, offset) for offset in offsets]
    n_taken = sum(spend(budget, n_requests, n_members) for budget in budgets)
    n_all = n_requests * n_members
    assert n_taken <= 0.1 * n_all + 50
    if n_requests:
        assert n_taken >= 0.03 * n_all + 8


@pytest.mark.parametrize("n_members", [1, 8, 64, 600])
@pytest.mark.parametrize("n_requests", [1, 10, 100, 2_000])
def test_promotion_step_keeps_the_bound_over_the_fleet(n_members, n_requests):
    """Guards against a version that is bad in promotion and exceeds the bound."""
    budgets = [
        ExposureBudget(TERMS, exposure_offset(ORDER, f"vm-{i}", 1))
        for i in range(n_members)
    ]
    n_taken = sum(spend(budget, n_requests, n_members) for budget in budgets)
    for budget in budgets:
        n_taken += spend(budget, n_requests // 4, n_members, Portion.STEP)
    n_all = n_members * (n_requests + n_requests // 4)
    assert n_taken <= 0.1 * n_all + 50


def test_promotion_step_sends_a_quarter_of_the_requests():
    budget = ExposureBudget(TERMS)
    spend(budget, 2_000, 1)
    assert spend(budget, 200, 1, Portion.STEP) == 50


def test_a_caller_that_is_cut_off_keeps_its_part_of_the_slack():
    """Guards against every cut-off caller spending the whole fleet's slack."""
    budget = ExposureBudget(TERMS)
    assert spend(budget, 1, 64) == 0
    assert spend(budget, 1, 1) == 0


def test_canary_targets_get_about_the_load_of_old_ones():
    keys = [(f"vm-{i}", f"t-{i}") for i in range(60)]
    chosen = canary_targets("ledger", keys, 60, 0.1)
    assert len(chosen) == 3
    assert chosen == canary_targets("ledger", keys[::-1], 60, 0.1)
    assert set(chosen) <= set(keys)


def test_targets_of_the_promotion_step_get_the_load_of_old_ones():
    """Guards against a version that is bad only under load and isn't loaded."""
    keys = [(f"vm-{i}", f"t-{i}") for i in range(12)]
    chosen = step_targets("ledger", keys, 12)
    assert len(chosen) == 3
    assert set(canary_targets("ledger", keys, 12, 0.1)) <= set(chosen)


def test_canary_targets_are_at_least_two_if_there_are_two():
    """Guards against judging a version by a single faulty target."""
    keys = [(f"vm-{i}", f"t-{i}") for i in range(3)]
    assert len(canary_targets("ledger", keys, 3, 0.1)) == 2
    assert len(canary_targets("ledger", keys[:1], 3, 0.1)) == 1
    assert canary_targets("ledger", [], 3, 0.1) == ()
