"""Tests of the retry budget that all daemons share."""

from __future__ import annotations

from random import Random

import pytest

from pepperstair_core.calls import BudgetTerms, FleetRetryBudget

TERMS = BudgetTerms(ratio=0.2, n_min=64, window_ms=10_000)


@pytest.mark.parametrize("n_daemons", [1, 5, 12])
@pytest.mark.parametrize("n_per_s", [2, 50])
def test_retries_stay_within_the_budget_in_every_window(n_daemons, n_per_s):
    """Every call to a service fails for a while at every daemon.

    With independent budgets, twelve daemons would send the service twelve times the
    retries that it can handle.
    """
    clock = {"ms": 0.0}
    budgets = [
        FleetRetryBudget(lambda: TERMS, lambda: clock["ms"], lambda: n_daemons)
        for _ in range(n_daemons)
    ]
    rng = Random(1)
    calls_ms, retries_ms = [], []
    while clock["ms"] < 40_000:
        clock["ms"] += rng.expovariate(n_per_s * n_daemons / 1000)
        budget = rng.choice(budgets)
        budget.add_call(10)
        calls_ms.append(clock["ms"])
        if budget.take("urgent"):
            retries_ms.append(clock["ms"])
    for end_ms in range(10_000, 40_000, 250):
        window = lambda times, end_ms=end_ms: sum(
            end_ms - TERMS.window_ms < at_ms <= end_ms for at_ms in times
        )
        assert window(retries_ms) <= 0.2 * window(calls_ms) + 64
    assert retries_ms


def test_retry_of_a_call_that_no_target_has_seen_is_free():
    budget = FleetRetryBudget(
        lambda: BudgetTerms(0.0, 0, 10_000), lambda: 0.0, lambda: 3
    )
    assert not budget.take("urgent")
    assert all(budget.take("deferrable", has_arrived=False) for _ in range(100))


def test_less_urgent_calls_leave_budget_for_more_urgent_ones():
    budget = FleetRetryBudget(
        lambda: BudgetTerms(0.0, 100, 10_000), lambda: 0.0, lambda: 1
    )
    while budget.take("deferrable"):
        pass
    assert budget.take("normal")
    while budget.take("normal"):
        pass
    assert budget.take("urgent")
