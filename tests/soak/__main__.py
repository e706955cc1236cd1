"""Runs seeds of the soak by hand: `python -m tests.soak --seeds 1-50`."""

from __future__ import annotations

import asyncio
import shutil
import sys
from collections.abc import Iterator
from typing import Annotated

from cyclopts import App, Parameter

from .plan import Fault
from .soak import SoakResult, SoakSettings, run_seed

app = App(help="Run seeds of the soak and print the guarantees that each violated.")


def iter_seeds(text: str) -> Iterator[int]:
    """Yield the seeds of a list such as `3,7-9`.

    >>> list(iter_seeds("3,7-9"))
    [3, 7, 8, 9]
    """
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


@app.default
def main(
    seeds: Annotated[str, Parameter(help="Seeds, such as 3,7-9.")] = "1-50",
    faults_s: Annotated[
        float, Parameter(help="Time during which faults begin, in s.")
    ] = 10.0,
    recover_s: Annotated[
        float, Parameter(help="Time allowed for recovery, in s.")
    ] = 8.0,
    n_vms: Annotated[int, Parameter(help="Number of VMs, each with one daemon.")] = 6,
    poison: Annotated[
        bool, Parameter(help="Also send requests that crash targets.")
    ] = False,
    statements: Annotated[
        bool, Parameter(help="Instances also state rate limits and departures.")
    ] = False,
) -> int:
    """Run each seed and return 1 if any violated a guarantee, else 0."""
    settings = SoakSettings(
        n_vms=n_vms,
        faults_s=faults_s,
        recover_s=recover_s,
        has_poison=poison,
        has_statements=statements,
    )
    n_failed_seeds = 0
    for seed in iter_seeds(seeds):
        result = asyncio.run(run_seed(seed, settings))
        n_failed_seeds += bool(result.violations)
        _report(result)
    print(f"{n_failed_seeds} seeds violated a guarantee")
    return int(n_failed_seeds > 0)


def _report(result: SoakResult) -> None:
    history = result.history
    statuses: dict[int, int] = {}
    for answer in history.answers.values():
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    print(
        f"seed {result.seed}: {len(result.violations)} violations,"
        f" {len(history.calls)} requests {dict(sorted(statuses.items()))},"
        f" {len(result.plan)} faults, {len(history.versions)} versions,"
        f" longest stall of the soak's event loop"
        f" {history.longest_stall_s * 1000:.0f} ms",
        flush=True,
    )
    for violation in result.violations[:10]:
        print(f"    {violation.guarantee}: {violation.detail}", flush=True)
    if result.violations:
        print(f"    logs in {result.folder}", flush=True)
        for fault in sorted(result.plan, key=lambda fault: fault.at_s):
            print(f"    {_fault_text(fault)}", flush=True)
        return
    shutil.rmtree(result.folder)


def _fault_text(fault: Fault) -> str:
    link = f" {fault.link}" if fault.kind.endswith("_link") else ""
    return f"{fault.at_s:5.1f} s  {fault.kind}{link} vm-{fault.vm} {fault.for_s:.1f} s"


if __name__ == "__main__":
    sys.exit(app())
