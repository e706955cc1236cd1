"""Rollouts under loads in virtual time, with few seeds; `weigh` runs many."""

from __future__ import annotations

import pytest

from pepperstair_core.rollout import Phase

from .load import Run
from .scenarios import BAD, GOOD, SCENARIOS

SEEDS = range(12)
# A bad version with hardly any requests may be completed if it stays within the slack.
TOO_FEW_REQUESTS = "50% failures, 1/s"


@pytest.mark.parametrize("name", [each.name for each in GOOD])
def test_good_version_is_completed(name):
    for seed in SEEDS:
        assert Run(SCENARIOS[name], seed).run().phase is Phase.COMPLETED, seed


@pytest.mark.parametrize(
    "name", [each.name for each in BAD if each.name != TOO_FEW_REQUESTS]
)
def test_bad_version_is_rolled_back_within_the_bounds(name):
    for seed in SEEDS:
        result = Run(SCENARIOS[name], seed).run()
        assert result.phase is Phase.ROLLED_BACK, seed
        assert not result.is_over_exposed, seed
        if result.fiftieth_bad_ms is not None:
            assert result.last_new_ms <= result.fiftieth_bad_ms + 5_000, seed


def test_version_with_hardly_any_requests_stays_within_the_slack():
    for seed in SEEDS:
        result = Run(SCENARIOS[TOO_FEW_REQUESTS], seed).run()
        assert result.n_exposed < 50


def test_same_seed_gives_the_same_result():
    first, again, other = (Run(BAD[0], seed).run() for seed in (3, 3, 4))
    assert first == again
    assert first != other
