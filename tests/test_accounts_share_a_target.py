"""What each of many accounts gets of one target while some of them ask for too much.

The account is the key of the fair queue. Shares are of calls answered within the
objective; first come, first served is the naive form.
"""

from __future__ import annotations

from collections import defaultdict

import pytest

from tests.shared_target import (
    FirstComeFirstServed,
    Source,
    jain_index,
    run_shared,
    share_in_time,
)

N_SLOTS = 8
USUAL_LOAD = 0.8
N_ACCOUNTS = 74
MEASURED_FROM_MS, LENGTH_MS = 2_000.0, 8_000.0


def zipf_accounts(changes=None) -> list[Source]:
    """Return accounts of Zipf's sizes; `changes` replaces fields of some of them."""
    changes = changes or {}
    harmonic = sum(1 / (rank + 1) for rank in range(N_ACCOUNTS))
    total_per_s = USUAL_LOAD * N_SLOTS * 1000 / 40
    sources = []
    for rank in range(N_ACCOUNTS):
        change = dict(changes.get(rank, {}))
        per_s = max(0.2, total_per_s / (rank + 1) / harmonic) * change.pop("times", 1)
        sources.append(Source(f"a{rank}", per_s, **change))
    return sources


def shares(changes, more=None) -> tuple[dict[str, float], float]:
    """Return the share in time of each account, and of all calls together."""
    ended = defaultdict(list)
    for seed in range(2):
        for each in run_shared(
            zipf_accounts(changes), seed, LENGTH_MS, N_SLOTS, **(more or {})
        ):
            if each.sent_ms >= MEASURED_FROM_MS:
                ended[each.source.customer].append(each)
    of_account = {name: share_in_time(calls) for name, calls in ended.items()}
    return of_account, share_in_time(c for calls in ended.values() for c in calls)


OVER_SHARE = {
    "4 times": {0: {"times": 4}},
    "7.5 times": {0: {"times": 7.5}},
    "the second, 7.5 times": {1: {"times": 7.5}},
    "two at once": {0: {"times": 7.5}, 1: {"times": 7.5}},
    "returning at once": {0: {"times": 4, "n_returns": 3}},
}


@pytest.mark.parametrize("changes", OVER_SHARE.values(), ids=OVER_SHARE)
def test_accounts_within_their_share_are_served_in_time_beside_a_flood(changes):
    """First come, first served, the flood would make every account late."""
    of_account, _ = shares(changes)
    others = {n: s for n, s in of_account.items() if int(n[1:]) not in changes}
    assert min(others.values()) > 0.95
    assert jain_index(of_account.values()) > 0.97
    naive, _ = shares(changes, {"make": FirstComeFirstServed})
    assert jain_index(naive.values()) < jain_index(of_account.values())


@pytest.mark.parametrize("changes", OVER_SHARE.values(), ids=OVER_SHARE)
def test_account_over_its_share_still_gets_what_is_left(changes):
    of_account, of_all = shares(changes)
    assert min(of_account.values()) > of_all / 4


@pytest.mark.parametrize(
    "change",
    [{"work_ms": 200.0}, {"work_ms": 200.0, "route": "q", "objective_ms": 900.0}],
    ids=["on the same route", "on a route of its own"],
)
def test_account_with_calls_five_times_as_long_does_not_starve_others(change):
    """Counted in calls and not in work, its turns would be five times as long."""
    of_account, of_all = shares({1: change})
    assert min(of_account.values()) > of_all / 4
    small = [s for n, s in of_account.items() if int(n[1:]) > 5]
    assert sum(small) / len(small) > 0.95


def test_usual_load_is_served_in_time():
    of_account, of_all = shares({})
    assert min(of_account.values()) > 0.97
    assert of_all > 0.99
