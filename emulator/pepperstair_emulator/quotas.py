"""Compare ways of keeping quotas of client accounts, in virtual time.

`python -m pepperstair_emulator.quotas --seeds 20` runs each load with each way and
prints, as the worst and the mean over the seeds:

- the largest window of any account, relative to the permitted number of requests,
- the share of the quota, or of the demand if that is lower, that the account with the
  unusual demand used from `STEADY_MS` on (for a shift: from 2 s to 4 s after it began),
- the share of the requests of the other accounts that ran, and
- messages and bytes a second of the whole fleet.
"""

from __future__ import annotations

import sys
from typing import Annotated, Final

import cyclopts
from msgspec import Struct

from .quota_fleet import QuotaFleet
from .quota_loads import APPLY_MS, EVENT_MS, LENGTH_MS, LOADS, Load, make_accounts
from .quota_ways import WAYS

WINDOW_MS: Final = 5_000.0
OVERAGE: Final = 0.1
N_SLACK: Final = 20
STEADY_MS: Final = 3_000.0

app = cyclopts.App(
    name="quotas", help="Compare ways of keeping quotas, in virtual time."
)


class Result(Struct, frozen=True):
    """The measures of one run."""

    overrun: float
    used: float
    others: float
    messages_per_s: float
    bytes_per_s: float


@app.default
def compare(
    *,
    seeds: Annotated[int, cyclopts.Parameter(help="Runs of each load.")] = 5,
    first_seed: Annotated[int, cyclopts.Parameter(help="The first seed.")] = 0,
    burst_s: Annotated[float, cyclopts.Parameter(help="Bursts, as time of rate.")] = 1,
    way: Annotated[str, cyclopts.Parameter(help="Run only ways named so.")] = "",
    load: Annotated[str, cyclopts.Parameter(help="Run only loads named so.")] = "",
) -> None:
    """Run each load with each way and print a table."""
    print(f"{seeds} seeds from {first_seed}, bursts of {burst_s:g} s of rate")
    print("| Way | Load | Window | Used | Others | Messages/s | KB/s |")
    print("|---|---|---|---|---|---|---|")
    for each_way in WAYS:
        for each_load in LOADS:
            if way not in each_way.name or load not in each_load.name:
                continue
            results = [
                measure(each_load, each_way, seed, burst_s)
                for seed in range(first_seed, first_seed + seeds)
            ]
            print(f"| {each_way.name} | {each_load.name} {_row(results)}", flush=True)


def measure(load: Load, make_way: type, seed: int, burst_s: float) -> Result:
    """Run a load once and return its measures."""
    fleet = QuotaFleet(load, make_accounts(burst_s), seed, make_way).run()
    accounts = make_accounts(burst_s)
    overrun = max(
        _largest_window(run_ms, _permitted(account))
        for account, run_ms in zip(accounts, fleet.run_ms, strict=True)
    )
    start_ms, end_ms = STEADY_MS, LENGTH_MS
    rate_per_s = accounts[fleet.flooding].rate_per_s
    if load.event == "lowered":
        start_ms = EVENT_MS + APPLY_MS
        rate_per_s /= 2
        late_ms = [each for each in fleet.run_ms[fleet.flooding] if each >= start_ms]
        lowered = fleet.accounts[0][fleet.flooding]
        overrun = max(overrun, _largest_window(late_ms, _permitted(lowered)))
    elif load.event == "shift":
        start_ms, end_ms = EVENT_MS + 2_000.0, EVENT_MS + 4_000.0
    quota = rate_per_s * (end_ms - start_ms) / 1000.0
    offered = _count(fleet.offered_ms[fleet.flooding], start_ms, end_ms)
    n_run = _count(fleet.run_ms[fleet.flooding], start_ms, end_ms)
    others = [i for i in range(len(accounts)) if i != fleet.flooding]
    return Result(
        overrun=overrun,
        used=n_run / min(quota, offered),
        others=sum(_count(fleet.run_ms[i], STEADY_MS, LENGTH_MS) for i in others)
        / sum(_count(fleet.offered_ms[i], STEADY_MS, LENGTH_MS) for i in others),
        messages_per_s=fleet.n_messages / LENGTH_MS * 1000.0,
        bytes_per_s=fleet.n_bytes / LENGTH_MS * 1000.0,
    )


def _permitted(account: object) -> float:
    quota = account.rate_per_s * WINDOW_MS / 1000.0 + account.burst
    return quota * (1.0 + OVERAGE) + N_SLACK


def _largest_window(run_ms: list[float], permitted: float) -> float:
    """Return the largest number of requests in a window, relative to the permitted."""
    n_largest = first = 0
    for last, at_ms in enumerate(run_ms):
        while at_ms - run_ms[first] > WINDOW_MS:
            first += 1
        n_largest = max(n_largest, last - first + 1)
    return n_largest / permitted


def _count(times_ms: list[float], start_ms: float, end_ms: float) -> int:
    return sum(start_ms <= each < end_ms for each in times_ms)


def _row(results: list[Result]) -> str:
    n = len(results)
    used, others = (
        f"{sum(values) / n:.3f} (least {min(values):.3f})"
        for values in ([r.used for r in results], [r.others for r in results])
    )
    messages = sum(result.messages_per_s for result in results) / n
    kilobytes = sum(result.bytes_per_s for result in results) / n / 1000.0
    overrun = max(result.overrun for result in results)
    return f"| {overrun:.3f} | {used} | {others} | {messages:.0f} | {kilobytes:.1f} |"


def main() -> None:
    """Run the command and exit with its exit code."""
    sys.exit(app())


if __name__ == "__main__":
    main()
