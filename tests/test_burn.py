"""Burn: counts in bounded memory, and the report over many daemons."""

from __future__ import annotations

import json
import random
import sys

import pytest

from pepperstair_core.burn import (
    BurnCounts,
    OutcomeClass,
    classify_outcome,
    counts_to_table,
    read_counts,
)
from pepperstair_core.burn.counts import N_CUSTOMERS_MAX, OTHER_CUSTOMERS
from pepperstair_core.burn.report import make_burn_report
from pepperstair_core.calls import CallOutcome
from pepperstair_core.errors import ErrorKind, RunStatus
from pepperstair_core.intent import Objectives

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
START_MS = 1_000 * HOUR_MS
LONG_BUCKET_MS = 600_000
SHORT_BUCKET_MS = 30_000


def outcome(
    error: ErrorKind | None = None, priority: str = "urgent", customer: str = "lantern"
) -> CallOutcome:
    """Return a call that ended with an error or, without one, well."""
    return CallOutcome(customer, "award", priority, 200, error, RunStatus.YES, 2.0, 0)


def report_of(counts: BurnCounts, now_ms: int, missing: tuple[str, ...] = ()):
    """Return the report over one daemon, through the form that HTTP carries."""
    table = json.loads(json.dumps(counts_to_table(counts.snapshot("vm-1", now_ms, {}))))
    return make_burn_report([read_counts(table).unwrap()], missing)


@pytest.mark.parametrize(
    ("error", "expected"),
    [
        (None, OutcomeClass.GOOD),
        (ErrorKind.OVERLOADED, OutcomeClass.FAILED),
        (ErrorKind.TIMEOUT, OutcomeClass.LATE),
        (ErrorKind.NO_ROUTE, None),
        (ErrorKind.CANCELLED, None),
    ],
)
def test_classes_of_outcomes(error, expected):
    assert classify_outcome(outcome(error)) is expected


def test_windows_count_as_a_list_of_all_calls_does():
    """Rings that are cleared too late or too early miscount old calls.

    It would come about after quiet hours, and users would see an alert for
    errors that are long over, or none for those of now.
    """
    rng = random.Random(3)
    counts = BurnCounts(START_MS)
    calls: list[int] = []
    now_ms = START_MS
    for _ in range(4000):
        now_ms += rng.choice((0, 7, 900, 40_000, 40_000, HOUR_MS // 2, 9 * HOUR_MS))
        calls.append(now_ms)
        counts.add(outcome(), now_ms)
        if rng.random() < 0.02:
            assert_same_windows(counts, calls, now_ms)


def assert_same_windows(counts: BurnCounts, calls: list[int], now_ms: int) -> None:
    """Compare each window with a naive count over every call ever made."""
    windows = counts.snapshot("vm-1", now_ms, {}).customers[0].windows
    for window in windows:
        is_short = window.window_ms <= HOUR_MS
        bucket_ms = SHORT_BUCKET_MS if is_short else LONG_BUCKET_MS
        first = now_ms // bucket_ms - window.window_ms // bucket_ms + 1
        expected = sum(at_ms // bucket_ms >= first for at_ms in calls)
        assert window.urgent.n_good == expected, window.window_ms


def test_memory_is_bounded_however_many_customers_call():
    """Documents for ever new customers must not make a daemon grow."""
    counts = BurnCounts(START_MS)
    for index in range(3 * N_CUSTOMERS_MAX):
        counts.add(outcome(customer=f"customer-{index}"), START_MS)
        for _ in range(200):
            counts.add_convergence(f"customer-{index}", START_MS, 5)
    customers = counts.snapshot("vm-1", START_MS, {}).customers
    others = next(item for item in customers if item.customer == OTHER_CUSTOMERS)
    assert len(customers) == N_CUSTOMERS_MAX + 1
    assert others.windows[0].urgent.n_good == 2 * N_CUSTOMERS_MAX
    assert n_bytes_of(counts) < 2_000_000


def n_bytes_of(value: object) -> int:
    """Return the bytes of an object and all that it holds."""
    parts = list(vars(value).values()) if hasattr(value, "__dict__") else []
    if isinstance(value, dict):
        parts += list(value.values())
    if isinstance(value, tuple):
        parts += list(value)
    return sys.getsizeof(value) + sum(map(n_bytes_of, parts))


def test_fast_burn_fires_and_falls_silent_after_the_errors_stop():
    counts = BurnCounts(START_MS)
    now_ms = START_MS + 2 * HOUR_MS
    for index in range(1000):
        counts.add(outcome(ErrorKind.TARGET_FAILED if index < 20 else None), now_ms)
    firing = [
        alert.rule.name
        for alert in report_of(counts, now_ms).customers[0].alerts
        if alert.is_firing
    ]
    assert firing == ["page-fast", "page-slow", "ticket"]
    later_ms = now_ms + 10 * MINUTE_MS
    alerts = report_of(counts, later_ms).customers[0].alerts
    assert [a.rule.name for a in alerts if a.is_firing] == ["page-slow", "ticket"]


def test_budget_and_rates_of_a_known_case():
    """One call in a thousand may miss; two did, so the budget is overspent."""
    counts = BurnCounts(START_MS)
    for index in range(1000):
        kind = {0: ErrorKind.TIMEOUT, 1: ErrorKind.NO_TARGET}.get(index)
        counts.add(outcome(kind, "normal"), START_MS)
        counts.add(outcome(kind, "deferrable"), START_MS)
    burn = report_of(counts, START_MS).customers[0]
    window = burn.windows[0]
    assert window.normal.availability_percent == pytest.approx(99.8)
    assert window.normal.late_percent == pytest.approx(0.1)
    assert window.normal.burn_rate == pytest.approx(2.0)
    assert burn.normal_budget_left_percent == pytest.approx(-100.0)
    assert window.urgent.counts.n_calls == 0
    assert burn.urgent_budget_left_percent == 100.0


def test_restarted_and_silent_daemons_are_a_gap_in_what_is_covered():
    """A restarted daemon has forgotten its calls, and a silent one tells none.

    A report that hid this would show a full budget right after the errors that
    made the daemons restart.
    """
    counts = BurnCounts(START_MS)
    counts.add(outcome(), START_MS)
    report = report_of(counts, START_MS + 3 * HOUR_MS, missing=("vm-2",))
    covered = {w.window_ms: w.covered_percent for w in report.customers[0].windows}
    assert covered[HOUR_MS] == 50.0
    assert covered[6 * HOUR_MS] == 25.0
    assert report.daemons[0].lived_ms == 3 * HOUR_MS
    assert report.missing == ("vm-2",)


def test_convergence_is_measured_against_the_newest_objectives():
    old, new = Objectives(convergence_ms=50_000), Objectives(convergence_ms=4_000)
    daemons = []
    for vm, version, objectives in (("vm-1", 8, new), ("vm-2", 7, old)):
        counts = BurnCounts(START_MS)
        counts.add_convergence("lantern", START_MS, 3_000)
        counts.add_convergence("lantern", START_MS, 5_000)
        held = {"lantern": (version, objectives)}
        daemons.append(counts.snapshot(vm, START_MS, held))
    burn = make_burn_report(daemons).customers[0].convergence
    assert (burn.n_changes, burn.n_late, burn.max_ms) == (4, 2, 5_000)
