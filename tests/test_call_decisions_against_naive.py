"""Tests that compare choice, admission and retries with naive ones on equal loads."""

from __future__ import annotations

from random import Random

import pytest

from pepperstair_core.errors import ErrorKind
from tests.call_load import (
    Call,
    Decisions,
    Faults,
    Report,
    Simulation,
    merge_calls,
    poisson_calls,
)
from tests.naive.calls import RandomChooser, UnboundedQueue, retry_blindly

SEEDS = range(4)
UNTIL_MS = 5_000
ACTUAL = Decisions()


def mixed_load(seed: int, load: float, n_targets: int) -> list[Call]:
    """Return calls of three priorities at a load relative to the capacity."""
    rng = Random(seed)
    n_per_s = load * n_targets * 12 / 0.04

    def make(index: int, at_ms: float) -> Call:
        priority = rng.choices(("urgent", "normal", "deferrable"), (3, 4, 3))[0]
        service_ms = rng.uniform(20, 60)
        timeout_ms = 2000 if priority == "deferrable" else 400
        is_idempotent = priority != "urgent"
        return Call(index, at_ms, "c", priority, service_ms, timeout_ms, is_idempotent)

    return poisson_calls(rng, n_per_s, UNTIL_MS, make)


def assert_invariants(report: Report, calls: list[Call]) -> None:
    """Check that calls get one answer, `not run` is true and bookings run once."""
    assert report.n_answers == {call.call_id: 1 for call in calls}
    assert not [i for i in report.answered_not_run if report.n_runs[i]]
    urgent = [call.call_id for call in calls if not call.is_idempotent]
    assert all(report.n_runs[call_id] <= 1 for call_id in urgent)


@pytest.mark.parametrize("load", [0.5, 0.9, 1.2, 2.0])
def test_admission_is_no_worse_than_an_unbounded_queue(load):
    """More calls arrive than the targets can run.

    An unbounded queue makes every call late, so that bookings fail along with archive
    calls. With admission, urgent calls keep their slots and the rest is refused early.
    """
    sums = [0, 0]
    for seed in SEEDS:
        calls = mixed_load(seed, load, 2)
        actual = Simulation(ACTUAL, 2, Faults(), seed).run(calls)
        naive = Simulation(Decisions(admission=UnboundedQueue), 2, Faults(), seed)
        naive_report = naive.run(calls)
        assert_invariants(actual, calls)
        n_urgent = sum(call.priority == "urgent" for call in calls)
        assert actual.n_good["urgent"] >= naive_report.n_good["urgent"]
        assert actual.n_good["urgent"] >= 0.99 * n_urgent
        assert actual.n_good["deferrable"] > 0
        assert actual.n_good.total() >= 0.99 * naive_report.n_good.total()
        sums[0] += actual.wait_ms["urgent"]
        sums[1] += naive_report.wait_ms["urgent"]
    assert sums[0] <= sums[1]


@pytest.mark.parametrize("admission", [UnboundedQueue, ACTUAL.admission])
def test_flood_of_one_customer_does_not_delay_small_customers(admission):
    """One customer sends ten times as many calls as all others together.

    In a single queue its calls are ahead of all others, and members of a small studio
    wait for seconds because of an unrelated campaign.
    """
    added_p99_ms = 0.0
    for seed in SEEDS:
        rng = Random(seed)

        def stream(customer: str, load: float, rng: Random = rng) -> list[Call]:
            def make(index: int, at_ms: float) -> Call:
                service_ms = rng.uniform(20, 60)
                return Call(index, at_ms, customer, "normal", service_ms, 2000)

            return poisson_calls(rng, load * 12 / 0.04, UNTIL_MS, make)

        small = merge_calls(stream("small-1", 0.1), stream("small-2", 0.1))
        flooded = merge_calls(small, stream("large", 2.0))
        decisions = Decisions(admission=admission)
        without_flood = Simulation(decisions, 1, Faults(), seed).run(small)
        with_flood = Simulation(decisions, 1, Faults(), seed).run(flooded)
        added_p99_ms += p99(with_flood, "small") - p99(without_flood, "small")
        if admission is not UnboundedQueue:
            n_small = sum(call.customer != "large" for call in flooded)
            n_good = sum(len(with_flood.latencies_ms[f"small-{i}"]) for i in (1, 2))
            assert n_good == n_small
            assert p99(with_flood, "small") <= 1.5 * p99(without_flood, "small")
    # The same load delays small customers in the naive queue, so the test is sensitive.
    assert (added_p99_ms / len(SEEDS) > 500) is (admission is UnboundedQueue)


def p99(report: Report, prefix: str) -> float:
    """Return the 99th percentile over the customers whose names have the prefix."""
    samples_ms = [
        latency_ms
        for customer, latencies_ms in report.latencies_ms.items()
        if customer.startswith(prefix)
        for latency_ms in latencies_ms
    ]
    return sorted(samples_ms)[int(0.99 * len(samples_ms))]


FAULTS = {
    "slow by ten": Faults(slowness=lambda index: 10.0 if index == 0 else 1.0),
    "refuses connections": Faults(
        error=lambda index, now_ms: ErrorKind.TARGET_UNREACHABLE if not index else None
    ),
    "cuts answers for a while": Faults(
        error=lambda index, now_ms: (
            ErrorKind.TARGET_FAILED if not index and 1000 < now_ms < 4000 else None
        )
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_choice_is_no_worse_than_a_random_target(fault):
    """One of six targets is slow or broken, whatever state it reports.

    A random choice continues to send it a sixth of all calls, which fail or wait until
    the target is repaired.
    """
    sums = [0, 0]
    for seed in SEEDS:
        calls = mixed_load(seed, 0.6, 6)
        actual = Simulation(ACTUAL, 6, FAULTS[fault], seed).run(calls)
        naive = Simulation(Decisions(RandomChooser), 6, FAULTS[fault], seed)
        naive_report = naive.run(calls)
        assert_invariants(actual, calls)
        assert_invariants(naive_report, calls)
        assert actual.n_good["urgent"] >= naive_report.n_good["urgent"]
        sums[0] += actual.n_good.total()
        sums[1] += naive_report.n_good.total()
    assert sums[0] > sums[1]


def test_urgent_calls_get_past_a_slow_target_under_overload():
    """Under overload, one of four targets is slow by a factor of ten.

    By the number of calls alone, its queue looks as short as the others', and urgent
    calls wait there until it is too late to go elsewhere.
    """
    for seed in SEEDS:
        calls = mixed_load(seed, 1.5, 4)
        report = Simulation(ACTUAL, 4, FAULTS["slow by ten"], seed).run(calls)
        assert_invariants(report, calls)
        n_urgent = sum(call.priority == "urgent" for call in calls)
        assert report.n_good["urgent"] >= 0.97 * n_urgent


def test_retries_are_no_worse_than_three_blind_ones():
    """All targets truncate a third of their answers while the load is near capacity.

    Blind retries run bookings twice and add load that makes other calls miss their
    deadlines; the budget limits retries to a tenth of the calls.
    """
    sums, n_twice = [0, 0], 0
    for seed in SEEDS:
        calls = mixed_load(seed, 0.9, 2)
        cuts = Random(seed)
        error = lambda index, now_ms, cuts=cuts: (
            ErrorKind.TARGET_FAILED if cuts.random() < 0.3 else None
        )
        actual = Simulation(ACTUAL, 2, Faults(error=error), seed).run(calls)
        naive = Simulation(Decisions(retry=retry_blindly), 2, Faults(error=error), seed)
        naive_report = naive.run(calls)
        assert_invariants(actual, calls)
        assert actual.n_retries <= 0.1 * len(calls) + 10
        n_twice += sum(
            naive_report.n_runs[call.call_id] > 1
            for call in calls
            if not call.is_idempotent
        )
        sums[0] += actual.wait_ms["urgent"] / max(1, actual.n_good["urgent"])
        sums[1] += naive_report.wait_ms["urgent"] / max(
            1, naive_report.n_good["urgent"]
        )
    assert n_twice > 0
    assert sums[0] <= sums[1]
