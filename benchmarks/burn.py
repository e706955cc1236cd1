"""`make bench-burn`: measure the cost of counting calls for burn rates and metrics."""

from __future__ import annotations

import sys
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from pepperstair_core.burn import BurnCounts, counts_to_table
from pepperstair_core.burn.counts import N_CONVERGENCES_MAX, N_CUSTOMERS_MAX
from pepperstair_core.calls import CallOutcome
from pepperstair_core.errors import RunStatus
from pepperstaird.timings import DurationHistogram

from .machine import describe_machine

N_CALLS = 200_000
N_ROUNDS = 5
DAY_MS = 86_400_000


def main() -> int:
    """Print the cost per call, the cost per report and the memory."""
    print(f"make bench-burn; {describe_machine()}")
    counts, durations = BurnCounts(0), DurationHistogram()
    outcomes = [
        CallOutcome(f"c{i}", "r", "urgent", 200, None, RunStatus.YES, 3.0, 0)
        for i in range(N_CUSTOMERS_MAX)
    ]

    def count_calls() -> None:
        for index in range(N_CALLS):
            counts.add(outcomes[index % N_CUSTOMERS_MAX], DAY_MS + index)

    def add_durations() -> None:
        for index in range(N_CALLS):
            durations.add(index % 997 / 7)

    def report_one_customer() -> None:
        msgspec.to_builtins(next(counts.iter_customers(2 * DAY_MS, {})))

    def report_all_customers() -> None:
        counts_to_table(counts.snapshot("vm-1", 2 * DAY_MS, {}))

    print(
        f"burn counts, per call      {1e6 * fastest_s(count_calls) / N_CALLS:8.2f} us"
    )
    print(
        f"duration, per call         {1e6 * fastest_s(add_durations) / N_CALLS:8.2f} us"
    )
    print(f"report, one customer       {1e3 * fastest_s(report_one_customer):8.2f} ms")
    print(f"report, 100 customers      {1e3 * fastest_s(report_all_customers):8.2f} ms")
    print(f"memory, all counts in use  {full_counts_bytes(outcomes) / 1e6:8.2f} MB")
    return 0


def fastest_s(work: Callable[[], None]) -> float:
    """Return the time of the fastest of `N_ROUNDS` rounds."""
    times_s = []
    for _ in range(N_ROUNDS):
        started_s = time.perf_counter()
        work()
        times_s.append(time.perf_counter() - started_s)
    return min(times_s)


def full_counts_bytes(outcomes: list[CallOutcome]) -> int:
    """Return the memory of counts with the maximum number of customers and changes."""
    tracemalloc.start()
    counts = BurnCounts(0)
    for outcome in outcomes:
        counts.add(outcome, DAY_MS)
        for _ in range(N_CONVERGENCES_MAX):
            counts.add_convergence(outcome.customer, DAY_MS, 1000)
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return n_bytes


if __name__ == "__main__":
    sys.exit(main())
