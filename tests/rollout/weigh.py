"""Compare ways to test a new version, over many seeds.

Run `python -m tests.rollout.weigh --n-seeds 1000`; the table is Markdown.
"""

from __future__ import annotations

import statistics

import cyclopts

from pepperstair_core.rollout import Phase

from .load import Result, Run, Scenario
from .other_tests import WAYS
from .scenarios import SCENARIOS

_HEADINGS = (
    "load",
    "way",
    "wrong",
    "over the bound",
    "exposed, mean",
    "exposed, max",
    "verdict s, median",
    "verdict s, 95%",
    "after 50th bad s, max",
    "completed late",
)


def summarize(scenario: Scenario, way: str, results: list[Result]) -> tuple[str, ...]:
    """Return a row of the table."""
    final = Phase.COMPLETED if scenario.is_good else Phase.ROLLED_BACK
    n_wrong = sum(result.phase is not final for result in results)
    n_over = sum(result.is_over_exposed for result in results)
    exposed = [result.n_exposed for result in results]
    verdicts_s = sorted(
        result.verdict_ms / 1_000 for result in results if result.verdict_ms is not None
    )
    n_completed_late = sum(
        result.completed_ms is not None and result.completed_ms > scenario.duration_ms
        for result in results
    )
    late_s = [
        (result.last_new_ms - result.fiftieth_bad_ms) / 1_000
        for result in results
        if result.fiftieth_bad_ms is not None
    ]
    return (
        scenario.name,
        way,
        f"{n_wrong} of {len(results)}",
        "" if scenario.is_good else str(n_over),
        "" if scenario.is_good else f"{statistics.mean(exposed):.0f}",
        "" if scenario.is_good else str(max(exposed)),
        f"{statistics.median(verdicts_s):.2f}" if verdicts_s else "",
        f"{verdicts_s[int(0.95 * len(verdicts_s))]:.2f}" if verdicts_s else "",
        f"{max(late_s):.1f}" if late_s and not scenario.is_good else "",
        str(n_completed_late) if scenario.is_good else "",
    )


def weigh(
    *,
    n_seeds: int = 100,
    first_seed: int = 0,
    way: tuple[str, ...] = tuple(WAYS),
    load: tuple[str, ...] = tuple(SCENARIOS),
) -> None:
    """Print the table of ways and loads."""
    print("| " + " | ".join(_HEADINGS) + " |")
    print("|" + "---|" * len(_HEADINGS))
    for load_name in load:
        scenario = SCENARIOS[load_name]
        for way_name in way:
            make_test = WAYS[way_name]
            seeds = range(first_seed, first_seed + n_seeds)
            results = [Run(scenario, seed, make_test).run() for seed in seeds]
            row = summarize(scenario, way_name, results)
            print("| " + " | ".join(row) + " |", flush=True)


if __name__ == "__main__":
    cyclopts.run(weigh)
