"""`python -m benchmarks.decisions`: compare call decisions with naive ones.

Both implementations process the same generated calls, as in the differential tests, in
the simulation of `tests/call_load.py`. It runs in virtual time and without sockets, so
the results depend on the decisions alone. The numbers of targets are those of one
service in each of the two benchmark deployments.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from random import Random

from tests.call_load import Call, Decisions, Faults, Report, Simulation, poisson_calls
from tests.naive.calls import RandomChooser, UnboundedQueue, retry_blindly

SEEDS = range(2)
DURATION_MS = 5_000.0
LOADS = (0.9, 1.2, 2.0)
MEAN_SERVICE_MS = 40.0
NAIVE_DECISIONS = Decisions(RandomChooser, UnboundedQueue, retry_blindly)
N_TARGETS_BY_SERVICE = {"ledger": 7, "aklatan": 4}
FAULTS = {
    "none": Faults(),
    "one slow by ten": Faults(slowness=lambda index: 1.0 if index else 10.0),
}


def generate_calls(seed: int, load: float, n_targets: int) -> list[Call]:
    """Return Poisson arrivals, of which 30 % are urgent and not idempotent."""
    rng = Random(seed)

    def make(index: int, at_ms: float) -> Call:
        priority = rng.choices(("urgent", "normal", "deferrable"), (3, 4, 3))[0]
        service_ms = rng.uniform(0.5, 1.5) * MEAN_SERVICE_MS
        timeout_ms = 5000 if priority == "deferrable" else 1000
        return Call(
            index, at_ms, "c", priority, service_ms, timeout_ms, priority != "urgent"
        )

    n_per_s = load * n_targets * 12 / MEAN_SERVICE_MS * 1000
    return poisson_calls(rng, n_per_s, DURATION_MS, make)


def iter_rows() -> Iterator[str]:
    """Yield the lines of the table of shares of the offered calls."""
    yield "targets  fault            load  side    urgent  normal  deferrable  retries"
    for service, n_targets in N_TARGETS_BY_SERVICE.items():
        for fault, faults in FAULTS.items():
            for load in LOADS:
                for side, decisions in (
                    ("naive", NAIVE_DECISIONS),
                    ("chosen", Decisions()),
                ):
                    shares = measure(decisions, faults, load, n_targets)
                    columns = f"{service:<8} {fault:<16} {load:<5} {side:<7}"
                    yield f"{columns} {shares}"


def measure(decisions: Decisions, faults: Faults, load: float, n_targets: int) -> str:
    """Return the shares of calls answered in time, by priority, and of retries."""
    n_offered, n_in_time, n_retries = Counter(), Counter(), 0
    for seed in SEEDS:
        calls = generate_calls(seed, load, n_targets)
        report: Report = Simulation(decisions, n_targets, faults, seed).run(calls)
        n_offered += Counter(call.priority for call in calls)
        n_in_time += report.n_good
        n_retries += report.n_retries
    shares = (
        n_in_time[name] / n_offered[name] for name in ("urgent", "normal", "deferrable")
    )
    in_percent = "  ".join(f"{100 * share:6.1f}" for share in shares)
    return f"{in_percent}      {100 * n_retries / n_offered.total():6.1f}"


if __name__ == "__main__":
    print(
        f"answered in time and retries, % of calls; seeds {SEEDS.start} to "
        f"{SEEDS.stop - 1}, {DURATION_MS / 1000:g} s virtual time, 12 slots per target"
    )
    for row in iter_rows():
        print(row)
