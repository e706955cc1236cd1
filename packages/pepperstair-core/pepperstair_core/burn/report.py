"""Burn rates, error budgets and alerts over the counts of many daemons.

The method is that of Google's SRE Workbook, chapter "Alerting on SLOs". The burn
rate is the share of calls that missed the objective, divided by the share that may
miss it: at a rate of 1, the budget of the longest window is used up exactly at its
end. An alert fires if the burn rates of both of its windows exceed its threshold: the
long window shows that the loss is significant, the short one that it is ongoing.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

from msgspec import Struct

from ..intent import Objectives
from .messages import (
    LONGEST_WINDOW_MS,
    WINDOWS_MS,
    CallCounts,
    Convergence,
    CustomerCounts,
    DaemonCounts,
    WindowCounts,
)

_MINUTE_MS: Final = 60_000
_HOUR_MS: Final = 60 * _MINUTE_MS


class AlertRule(Struct, frozen=True):
    """Two windows, and the burn rate that must be exceeded in both for an alert."""

    name: str
    threshold: float
    long_window_ms: int
    short_window_ms: int


ALERT_RULES: Final = (
    AlertRule("page-fast", 14.4, _HOUR_MS, 5 * _MINUTE_MS),
    AlertRule("page-slow", 6.0, 6 * _HOUR_MS, 30 * _MINUTE_MS),
    AlertRule("ticket", 1.0, LONGEST_WINDOW_MS, 6 * _HOUR_MS),
)


class PriorityBurn(Struct, frozen=True):
    """The calls of one priority in one window, with their shares and burn rate.

    The shares are None if the window contains no calls.
    """

    counts: CallCounts
    availability_percent: float | None
    late_percent: float | None
    burn_rate: float


class WindowBurn(Struct, frozen=True):
    """The calls of the whole fleet in one window.

    `covered_percent` is the share of the window for which the daemons have been
    running. The difference to 100 is due to restarts and to daemons that did not
    answer.
    """

    window_ms: int
    covered_percent: float
    urgent: PriorityBurn
    normal: PriorityBurn


class Alert(Struct, frozen=True):
    """The result of one rule for one priority."""

    rule: AlertRule
    priority: str
    long_burn_rate: float
    short_burn_rate: float
    is_firing: bool


class ConvergenceBurn(Struct, frozen=True):
    """The times that the changes of the longest window took to be in force everywhere.

    `n_late` is the number of changes that took longer than the objective.
    """

    n_changes: int
    n_late: int
    median_ms: float | None
    max_ms: int | None


class CustomerBurn(Struct, frozen=True):
    """One customer's objectives and the extent to which they are met."""

    customer: str
    objectives: Objectives
    windows: tuple[WindowBurn, ...]
    urgent_budget_left_percent: float
    normal_budget_left_percent: float
    alerts: tuple[Alert, ...]
    convergence: ConvergenceBurn


class DaemonCoverage(Struct, frozen=True):
    """A daemon that the report covers, and the time since its start."""

    vm: str
    lived_ms: int


class BurnReport(Struct, frozen=True):
    """The report over the daemons that answered; `missing` names the others."""

    daemons: tuple[DaemonCoverage, ...]
    missing: tuple[str, ...]
    customers: tuple[CustomerBurn, ...]


def make_burn_report(
    daemons: Sequence[DaemonCounts], missing: Iterable[str] = ()
) -> BurnReport:
    """Return the sums of the daemons' counts, evaluated against the objectives."""
    missing = tuple(sorted(missing))
    coverage = tuple(DaemonCoverage(daemon.vm, daemon.lived_ms) for daemon in daemons)
    n_daemons = len(coverage) + len(missing)
    covered = {
        window_ms: _covered_percent(coverage, window_ms, n_daemons)
        for window_ms in WINDOWS_MS
    }
    names = {item.customer for daemon in daemons for item in daemon.customers}
    customers = tuple(
        _customer_burn(name, list(_iter_counts(daemons, name)), covered)
        for name in sorted(names)
    )
    return BurnReport(coverage, missing, customers)


def _iter_counts(
    daemons: Iterable[DaemonCounts], name: str
) -> Iterator[CustomerCounts]:
    for daemon in daemons:
        yield from (item for item in daemon.customers if item.customer == name)


def _covered_percent(
    coverage: Iterable[DaemonCoverage], window_ms: int, n_daemons: int
) -> float:
    covered_ms = sum(min(daemon.lived_ms, window_ms) for daemon in coverage)
    return 100 * covered_ms / (window_ms * n_daemons)


def _customer_burn(
    name: str, counts: list[CustomerCounts], covered: dict[int, float]
) -> CustomerBurn:
    newest = max(counts, key=lambda item: item.version)
    objectives = newest.objectives
    windows = tuple(
        _window_burn(window_ms, counts, covered[window_ms], objectives)
        for window_ms in WINDOWS_MS
    )
    by_length = {window.window_ms: window for window in windows}
    longest = by_length[LONGEST_WINDOW_MS]
    convergences = [each for item in counts for each in item.convergences]
    return CustomerBurn(
        name,
        objectives,
        windows,
        _budget_left_percent(longest.urgent),
        _budget_left_percent(longest.normal),
        tuple(_iter_alerts(by_length)),
        _convergence_burn(convergences, objectives),
    )


def _window_burn(
    window_ms: int,
    counts: Iterable[CustomerCounts],
    covered_percent: float,
    objectives: Objectives,
) -> WindowBurn:
    matching = [w for item in counts for w in item.windows if w.window_ms == window_ms]
    return WindowBurn(
        window_ms,
        covered_percent,
        _priority_burn(_total(matching, lambda window: window.urgent), objectives),
        _priority_burn(_total(matching, lambda window: window.normal), objectives),
    )


def _total(
    windows: Iterable[WindowCounts], counts_of: Callable[[WindowCounts], CallCounts]
) -> CallCounts:
    return sum(map(counts_of, windows), CallCounts())


def _priority_burn(counts: CallCounts, objectives: Objectives) -> PriorityBurn:
    if not counts.n_calls:
        return PriorityBurn(counts, None, None, 0.0)
    missed_percent = 100 * (counts.n_failed + counts.n_late) / counts.n_calls
    permitted_percent = 100 - objectives.availability_percent
    return PriorityBurn(
        counts,
        100 * counts.n_good / counts.n_calls,
        100 * counts.n_late / counts.n_calls,
        missed_percent / permitted_percent,
    )


def _budget_left_percent(longest: PriorityBurn) -> float:
    """Return the error budget that remains after the counted calls.

    The result is negative if more calls missed the objective than the budget permits.
    """
    return 100 * (1 - longest.burn_rate)


def _iter_alerts(by_length: dict[int, WindowBurn]) -> Iterator[Alert]:
    for rule in ALERT_RULES:
        long_window = by_length[rule.long_window_ms]
        short_window = by_length[rule.short_window_ms]
        for priority in ("urgent", "normal"):
            long_rate = getattr(long_window, priority).burn_rate
            short_rate = getattr(short_window, priority).burn_rate
            is_firing = min(long_rate, short_rate) > rule.threshold
            yield Alert(rule, priority, long_rate, short_rate, is_firing)


def _convergence_burn(
    convergences: Sequence[Convergence], objectives: Objectives
) -> ConvergenceBurn:
    durations = [convergence.duration_ms for convergence in convergences]
    if not durations:
        return ConvergenceBurn(0, 0, None, None)
    n_late = sum(duration > objectives.convergence_ms for duration in durations)
    return ConvergenceBurn(
        len(durations), n_late, statistics.median(durations), max(durations)
    )


__all__ = [
    "ALERT_RULES",
    "Alert",
    "AlertRule",
    "BurnReport",
    "ConvergenceBurn",
    "CustomerBurn",
    "DaemonCoverage",
    "PriorityBurn",
    "WindowBurn",
    "make_burn_report",
]
