"""`pepperstair report burn`: show error budgets and alerts across the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Annotated

import msgspec
from cyclopts import Parameter
from result import Ok, Result

from pepperstair_core.burn.report import (
    Alert,
    BurnReport,
    ConvergenceBurn,
    CustomerBurn,
    PriorityBurn,
    make_burn_report,
)

from ..connection import Address, Output, Token
from ..fleet import collect_counts
from ..formatting import format_duration, format_percent
from ..output import CommandFailure, ExitCode, Report, join_lines, print_result


def run(
    *,
    at: Annotated[
        tuple[Address, ...],
        Parameter(
            help="Operators' address of a daemon; repeatable.",
            negative="",
        ),
    ],
    token: Token = "",
    output: Output = "text",
) -> ExitCode:
    """Show how each customer's objectives are met across the fleet.

    Requests the counts of every member known to the given daemons, at the
    operators' address that the member advertises. The report lists the members
    that do not answer.
    """
    return print_result(asyncio.run(_report(at, token)), output)


async def _report(
    addresses: tuple[str, ...], token: str
) -> Result[Report, CommandFailure]:
    collected = await collect_counts(addresses, token)
    if collected.is_err():
        return collected
    counts = collected.unwrap()
    report = make_burn_report(counts.daemons, counts.missing)
    return Ok(Report(msgspec.to_builtins(report), join_lines(_iter_lines(report))))


def _iter_lines(report: BurnReport) -> Iterator[str]:
    n_daemons = len(report.daemons) + len(report.missing)
    yield f"covers {len(report.daemons)} of {n_daemons} daemons"
    for vm in report.missing:
        yield f"  no answer from {vm}: its calls are not counted"
    for daemon in report.daemons:
        uptime = format_duration(daemon.lived_ms)
        yield f"  {daemon.vm} has lived {uptime}: earlier calls are not counted"
    if not report.customers:
        yield "no call and no change has been counted yet"
    for customer in report.customers:
        yield from _iter_customer_lines(customer)


def _iter_customer_lines(burn: CustomerBurn) -> Iterator[str]:
    yield ""
    objectives = burn.objectives
    yield (
        f"{burn.customer}: {objectives.availability_percent:g}% of calls, changes in "
        f"force within {format_duration(objectives.convergence_ms)}"
    )
    yield "  window   covered  priority     calls  available     late  burn rate"
    for window in burn.windows:
        start = (
            f"  {format_duration(window.window_ms):<7} {window.covered_percent:7.2f}%"
        )
        yield f"{start}  urgent  {_priority_cells(window.urgent)}"
        yield f"{start}  normal  {_priority_cells(window.normal)}"
    yield (
        "  budget left, by the calls counted: "
        f"urgent {format_percent(burn.urgent_budget_left_percent)}, "
        f"normal {format_percent(burn.normal_budget_left_percent)}"
    )
    yield from map(_alert_line, burn.alerts)
    yield _convergence_line(burn.convergence)


def _priority_cells(burn: PriorityBurn) -> str:
    return (
        f"{burn.counts.n_calls:>11}  {format_percent(burn.availability_percent):>9}"
        f"  {format_percent(burn.late_percent):>7}  {burn.burn_rate:>9.2f}"
    )


def _alert_line(alert: Alert) -> str:
    rule = alert.rule
    state = "FIRING" if alert.is_firing else "quiet"
    return (
        f"  {rule.name} {alert.priority}: {state} ({alert.long_burn_rate:.2f} over "
        f"{format_duration(rule.long_window_ms)}, {alert.short_burn_rate:.2f} over "
        f"{format_duration(rule.short_window_ms)}, fires above {rule.threshold:g})"
    )


def _convergence_line(convergence: ConvergenceBurn) -> str:
    if not convergence.n_changes:
        return "  changes: none counted"
    return (
        f"  changes: {convergence.n_changes}, {convergence.n_late} late, "
        f"median {format_duration(round(convergence.median_ms))}, "
        f"slowest {format_duration(convergence.max_ms)}"
    )


__all__ = ["run"]
