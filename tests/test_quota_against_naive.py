"""Differential test of quotas against one bucket that all requests ask directly."""

from __future__ import annotations

import pytest

from pepperstair_emulator.quota_fleet import QuotaFleet
from pepperstair_emulator.quota_loads import LOADS, make_accounts, make_arrivals
from pepperstair_emulator.quota_ways import TERMS, TokensFromOwner
from pepperstair_emulator.quotas import measure

from .naive.quota_bucket import NaiveBucket

LOADS_BY_NAME = {load.name: load for load in LOADS}
BURST_S = 1.0


def naive_counts(load, seed: int) -> list[int]:
    """Return how many requests of each account one bucket lets run."""
    accounts = make_accounts(BURST_S)
    buckets = [NaiveBucket(each.rate_per_s, each.burst) for each in accounts]
    counts = [0] * len(accounts)
    for arrival in make_arrivals(load, accounts, seed):
        counts[arrival.account] += buckets[arrival.account].take(arrival.at_ms)
    return counts


@pytest.mark.parametrize("name", ["8 times, at all", "2 times the quota, moves"])
def test_as_many_requests_run_as_with_one_bucket(name):
    load = LOADS_BY_NAME[name]
    accounts = make_accounts(BURST_S)
    fleet = QuotaFleet(load, accounts, 1, TokensFromOwner).run()
    expected = naive_counts(load, 1)
    for account, run_ms, n_expected in zip(
        accounts, fleet.run_ms, expected, strict=True
    ):
        assert len(run_ms) >= 0.95 * n_expected - 5, account
        n_more = TERMS.capacity(account) - account.burst
        assert len(run_ms) <= n_expected + n_more, account


@pytest.mark.parametrize(
    "name",
    ["8 times, a third is cut off", "8 times, all killed", "8 times, owner paused"],
)
def test_no_window_exceeds_the_permitted_number_under_faults(name):
    result = measure(LOADS_BY_NAME[name], TokensFromOwner, 2, BURST_S)
    assert result.overrun <= 1.0
    assert result.used > 0.7
