"""`make bench-calls`: compare goodput and latency with a naive implementation.

Both implementations serve the same deployment at the same time. Each case of load and
faults runs as one segment on one implementation and then on the other, with the same
seeded arrivals.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import random
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from .convergence import DAEMON_COMMANDS
from .deployments import (
    DEPLOYMENTS,
    SMALL_CUSTOMERS,
    RunningDeployment,
    configure_target,
    start_deployment,
)
from .fleet import running_fleet, status_of
from .load import CallResult, CallStream, send_load, summarise
from .processes import processor_s
from .report import print_report_header, print_table

SEED: Final = 1
PRIORITY_SHARES: Final = {"urgent": 0.3, "normal": 0.5, "deferrable": 0.2}
DEADLINES_MS: Final = {"urgent": 2000.0, "normal": 2000.0, "deferrable": 10_000.0}
FAULT_LOAD: Final = 0.7
SLOWDOWN_FACTOR: Final = 10
SMALL_CUSTOMERS_LOAD: Final = 0.15
FLOOD_FACTOR: Final = 10


@dataclass(frozen=True, slots=True)
class Fault:
    """A setting of one target that is changed for a segment and restored after it."""

    target: int
    setting: str
    value: str
    restored_value: str


@dataclass(frozen=True, slots=True)
class Case:
    """One segment: its name, its load and the faults injected during it."""

    name: str
    streams: tuple[CallStream, ...]
    fault: Fault | None = None
    has_rolling_restart: bool = False


def main() -> None:
    """Measure the selected deployments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployments", default="lantern")
    parser.add_argument("--loads", default="0.9 2")
    parser.add_argument("--segment-s", type=float, default=6.0)
    parser.add_argument("--work-ms", type=float, default=400.0)
    arguments = parser.parse_args()
    print_report_header(
        f'make bench-calls DEPLOYMENTS="{arguments.deployments}" '
        f'LOADS="{arguments.loads}" SEGMENT_S={arguments.segment_s:g} '
        f"WORK_MS={arguments.work_ms:g}"
    )
    for customer in arguments.deployments.split():
        _measure(customer, arguments)


def _measure(customer: str, arguments: argparse.Namespace) -> None:
    deployment = DEPLOYMENTS[customer]
    with contextlib.ExitStack() as stack:
        fleets = {
            name: start_deployment(
                deployment,
                stack.enter_context(running_fleet(command)),
                arguments.work_ms,
            )
            for name, command in DAEMON_COMMANDS.items()
        }
        capacity_per_s = deployment.n_slots / arguments.work_ms * 1000
        loads = list(map(float, arguments.loads.split()))
        rows, costs = [], []
        for case in _iter_cases(fleets["chosen"], capacity_per_s, loads, arguments):
            for name, running in fleets.items():
                results, cost = _run_segment(case, running, arguments.segment_s)
                rows.extend(_iter_rows(case, name, results))
                costs.append((case.name, name, *cost))
    print_table(
        f"{customer}: {len(fleets['chosen'].daemons)} daemons, "
        f"{deployment.n_slots} slots, {arguments.work_ms:g} ms of work, "
        f"capacity {capacity_per_s:.0f} calls/s",
        ("case", "kind", "version", "offered", "good %", "p50 ms", "p99 ms"),
        sorted(rows, key=lambda row: [case for case, *_ in costs].index(row[0])),
    )
    print_table(
        f"{customer}: cost of the same segments",
        ("case", "version", "daemons' processor ms per call", "retries % of calls"),
        costs,
    )


def _iter_cases(
    running: RunningDeployment,
    capacity_per_s: float,
    loads: Sequence[float],
    arguments: argparse.Namespace,
) -> Iterator[Case]:
    def load(factor: float) -> tuple[CallStream, ...]:
        return _mixed_load(running, factor * capacity_per_s)

    slow_work_ms, normal_work_ms = (
        str(arguments.work_ms * SLOWDOWN_FACTOR),
        str(arguments.work_ms),
    )
    for factor in loads:
        yield Case(f"load {factor:g}", load(factor))
    yield Case(
        "one target 10 times slower",
        load(FAULT_LOAD),
        Fault(0, "work-ms", slow_work_ms, normal_work_ms),
    )
    yield Case(
        "one target fails but reports serving",
        load(FAULT_LOAD),
        Fault(1, "status", "500", "200"),
    )
    yield Case("targets restart in turn", load(FAULT_LOAD), has_rolling_restart=True)
    small = _small_customers_load(capacity_per_s)
    yield Case("small customers alone", small)
    yield Case("large customer floods", small + _flood_load(running, capacity_per_s))


def _mixed_load(
    running: RunningDeployment, calls_per_s: float
) -> tuple[CallStream, ...]:
    """Return calls of each priority, spread over the services by their slots."""
    services = running.deployment.services
    paths = [s.name for s in services for _ in range(s.n_instances * s.n_slots)]
    return tuple(
        CallStream(
            kind,
            tuple(f"/{name}/{kind}" for name in paths),
            calls_per_s * share,
            DEADLINES_MS[kind],
            "POST" if kind == "urgent" else "GET",
        )
        for kind, share in PRIORITY_SHARES.items()
    )


def _small_customers_load(capacity_per_s: float) -> tuple[CallStream, ...]:
    paths = tuple(f"/{customer}/notes" for customer in SMALL_CUSTOMERS)
    return (
        CallStream(
            "small customers", paths, SMALL_CUSTOMERS_LOAD * capacity_per_s, 2000.0
        ),
    )


def _flood_load(
    running: RunningDeployment, capacity_per_s: float
) -> tuple[CallStream, ...]:
    paths = (f"/{running.deployment.services[0].name}/normal",)
    rate = FLOOD_FACTOR * SMALL_CUSTOMERS_LOAD * capacity_per_s
    return (CallStream("large customer", paths, rate, 2000.0),)


def _run_segment(
    case: Case, running: RunningDeployment, segment_s: float
) -> tuple[list[CallResult], tuple[float, float]]:
    """Run a segment; return its results, processor ms per call and retries in %."""
    retries_before = _n_retries(running)
    processor_before_s = _processor_s(running)
    results = asyncio.run(_send_load_with_fault(case, running, segment_s))
    n_calls = max(1, len(results))
    processor_ms = (_processor_s(running) - processor_before_s) * 1000 / n_calls
    retries_percent = 100 * (_n_retries(running) - retries_before) / n_calls
    time.sleep(1.0)
    return results, (processor_ms, retries_percent)


async def _send_load_with_fault(
    case: Case, running: RunningDeployment, segment_s: float
) -> list[CallResult]:
    addresses = [daemon.callers for daemon in running.daemons]
    restarts = None
    if case.has_rolling_restart:
        restarts = asyncio.create_task(_rolling_restart(running, segment_s))
    fault = case.fault
    if fault is not None:
        await configure_target(
            running.targets[fault.target], fault.setting, fault.value
        )
    results = await send_load(addresses, case.streams, segment_s, random.Random(SEED))
    if fault is not None:
        target = running.targets[fault.target]
        await configure_target(target, fault.setting, fault.restored_value)
    if restarts is not None:
        await restarts
    return results


async def _rolling_restart(running: RunningDeployment, segment_s: float) -> None:
    """Drain each target in turn and return it to service."""
    for target in running.targets:
        await configure_target(target, "state", "draining")
        await asyncio.sleep(segment_s / len(running.targets))
        await configure_target(target, "state", "serving")


def _n_retries(running: RunningDeployment) -> int:
    return sum(
        status_of(daemon).get("counters", {}).get("n_call_retries", 0)
        for daemon in running.daemons
    )


def _processor_s(running: RunningDeployment) -> float:
    return sum(processor_s(daemon.process.pid) for daemon in running.daemons)


def _iter_rows(case: Case, name: str, results: list[CallResult]) -> Iterator[tuple]:
    for stream in case.streams:
        summary = summarise(results, stream.kind)
        yield (
            case.name,
            stream.kind,
            name,
            summary.n_offered,
            summary.good_percent,
            summary.p50_ms,
            summary.p99_ms,
        )


if __name__ == "__main__":
    main()
