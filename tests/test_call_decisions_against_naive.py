"""Choice, admission and retries, compared with naive ones on the same loads."""

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
CHOSEN = Decisions()


def mixed_load(seed: int, load: float, n_targets: int) -> list[Call]:
    """Return a load in three priorities, as a share of what the slots carry."""
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
    """Every call has one answer; `not run` is true; non-idempotent runs once."""
    assert report.n_answers == {call.call_id: 1 for call in calls}
    assert not [i for i in report.told_not_run if report.n_runs[i]]
    urgent = [call.call_id for call in calls if not call.is_idempotent]
    assert all(report.n_runs[call_id] <= 1 for call_id in urgent)


@pytest.mark.parametrize("load", [0.5, 0.9, 1.2, 2.0])
def test_admission_is_no_worse_than_an_endless_queue(load):
    """More calls come than the targets can run.

    An endless queue makes every call late, so that bookings fail with the
    archive; here urgent ones keep their slots and the rest is told early.
    """
    sums = [0, 0]
    for seed in SEEDS:
        calls = mixed_load(seed, load, 2)
        chosen = Simulation(CHOSEN, 2, Faults(), seed).run(calls)
        naive = Simulation(Decisions(admission=UnboundedQueue), 2, Faults(), seed)
        other = naive.run(calls)
        assert_invariants(chosen, calls)
        n_urgent = sum(call.priority == "urgent" for call in calls)
        assert chosen.n_good["urgent"] >= other.n_good["urgent"]
        assert chosen.n_good["urgent"] >= 0.99 * n_urgent
        assert chosen.n_good["deferrable"] > 0
        assert chosen.n_good.total() >= 0.99 * other.n_good.total()
        sums[0] += chosen.wait_ms["urgent"]
        sums[1] += other.wait_ms["urgent"]
    assert sums[0] <= sums[1]


@pytest.mark.parametrize("admission", [UnboundedQueue, CHOSEN.admission])
def test_flood_of_one_customer_leaves_the_small_ones_alone(admission):
    """One customer sends ten times what all others together send.

    In one queue its calls stand before everybody's, and members of a small
    studio wait for seconds behind a campaign they have no part in.
    """
    late = 0.0
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
        alone = Simulation(decisions, 1, Faults(), seed).run(small)
        beside = Simulation(decisions, 1, Faults(), seed).run(flooded)
        late += p99(beside, "small") - p99(alone, "small")
        if admission is not UnboundedQueue:
            n_small = sum(call.customer != "large" for call in flooded)
            n_good = sum(len(beside.latencies_ms[f"small-{i}"]) for i in (1, 2))
            assert n_good == n_small
            assert p99(beside, "small") <= 1.5 * p99(alone, "small")
    # The same load does harm with the naive queue: the test can tell them apart.
    assert (late / len(SEEDS) > 500) is (admission is UnboundedQueue)


def p99(report: Report, prefix: str) -> float:
    """Return the 99th percentile over the customers whose name starts alike."""
    found = [
        latency_ms
        for customer, latencies_ms in report.latencies_ms.items()
        if customer.startswith(prefix)
        for latency_ms in latencies_ms
    ]
    return sorted(found)[int(0.99 * len(found))]


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
    """One of six targets is slow or broken, whatever it says of itself.

    A random choice keeps sending it a sixth of all calls; callers see that
    sixth fail or wait until the target is mended.
    """
    sums = [0, 0]
    for seed in SEEDS:
        calls = mixed_load(seed, 0.6, 6)
        chosen = Simulation(CHOSEN, 6, FAULTS[fault], seed).run(calls)
        naive = Simulation(Decisions(RandomChooser), 6, FAULTS[fault], seed)
        other = naive.run(calls)
        assert_invariants(chosen, calls)
        assert_invariants(other, calls)
        assert chosen.n_good["urgent"] >= other.n_good["urgent"]
        sums[0] += chosen.n_good.total()
        sums[1] += other.n_good.total()
    assert sums[0] > sums[1]


def test_urgent_calls_get_past_a_slow_target_under_overload():
    """One of four targets is slow by ten while more calls come than fit.

    Judged by calls alone its queue looks as short as the others', and urgent
    calls wait there until it is too late to go elsewhere.
    """
    for seed in SEEDS:
        calls = mixed_load(seed, 1.5, 4)
        report = Simulation(CHOSEN, 4, FAULTS["slow by ten"], seed).run(calls)
        assert_invariants(report, calls)
        n_urgent = sum(call.priority == "urgent" for call in calls)
        assert report.n_good["urgent"] >= 0.97 * n_urgent


def test_retries_are_no_worse_than_three_blind_ones():
    """All targets cut a third of their answers while load is near the limit.

    Blind retries run bookings twice and add load that pushes good calls past
    their deadline; the budget keeps retries to a tenth of the calls.
    """
    sums, n_twice = [0, 0], 0
    for seed in SEEDS:
        calls = mixed_load(seed, 0.9, 2)
        cuts = Random(seed)
        error = lambda index, now_ms, cuts=cuts: (
            ErrorKind.TARGET_FAILED if cuts.random() < 0.3 else None
        )
        chosen = Simulation(CHOSEN, 2, Faults(error=error), seed).run(calls)
        naive = Simulation(Decisions(retry=retry_blindly), 2, Faults(error=error), seed)
        other = naive.run(calls)
        assert_invariants(chosen, calls)
        assert chosen.n_retries <= 0.1 * len(calls) + 10
        n_twice += sum(
            other.n_runs[call.call_id] > 1 for call in calls if not call.is_idempotent
        )
        sums[0] += chosen.wait_ms["urgent"] / max(1, chosen.n_good["urgent"])
        sums[1] += other.wait_ms["urgent"] / max(1, other.n_good["urgent"])
    assert n_twice > 0
    assert sums[0] <= sums[1]
