"""`make bench-burn`: what counting for the burn report and the metrics costs."""

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
    """Print cost per call, cost per report and memory."""
    print(f"make bench-burn; {describe_machine()}")
    counts, timings = BurnCounts(0), DurationHistogram()
    outcomes = [
        CallOutcome(f"c{i}", "r", "urgent", 200, None, RunStatus.YES, 3.0, 0)
        for i in range(N_CUSTOMERS_MAX)
    ]

    def count_calls() -> None:
        for index in range(N_CALLS):
            counts.add(outcomes[index % N_CUSTOMERS_MAX], DAY_MS + index)

    def time_calls() -> None:
        for index in range(N_CALLS):
            timings.add(index % 997 / 7)

    def report_one() -> None:
        msgspec.to_builtins(next(counts.iter_customers(2 * DAY_MS, {})))

    def report() -> None:
        counts_to_table(counts.snapshot("vm-1", 2 * DAY_MS, {}))

    print(f"burn count of a call      {1e6 * fastest_s(count_calls) / N_CALLS:8.2f} us")
    print(f"time of a call            {1e6 * fastest_s(time_calls) / N_CALLS:8.2f} us")
    print(f"counts of one customer    {1e3 * fastest_s(report_one):8.2f} ms")
    print(f"counts of 100 customers   {1e3 * fastest_s(report):8.2f} ms")
    print(f"memory at the cap         {memory_bytes(outcomes) / 1e6:8.2f} MB")
    return 0


def fastest_s(run: Callable[[], None]) -> float:
    """Return the time of the fastest of a few rounds."""
    times_s = []
    for _ in range(N_ROUNDS):
        started_s = time.perf_counter()
        run()
        times_s.append(time.perf_counter() - started_s)
    return min(times_s)


def memory_bytes(outcomes: list[CallOutcome]) -> int:
    """Return what the counts take with every customer and change they may hold."""
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
