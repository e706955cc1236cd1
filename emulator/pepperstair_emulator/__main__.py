"""The command line: runs an experiment with each seed and policy."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import cyclopts
from msgspec.structs import replace

from .experiment import Experiment, Policy, parse_experiment_toml
from .fleet import Fleet
from .policies import UnknownConstantError, apply_policy
from .report import iter_routes, iter_table
from .tally import Tally

EXIT_BAD_INPUT = 2
_PRODUCT = Policy("product")

app = cyclopts.App(
    name="pepperstair-emulator",
    help="Run a load and its faults on the product's decision code, in virtual time.",
)


@app.default
def run_experiment(
    file: Path,
    *,
    seeds: Annotated[int, cyclopts.Parameter(help="Runs of each policy.")] = 5,
    load: Annotated[float, cyclopts.Parameter(help="Factor on all rates.")] = 0.0,
    policy: Annotated[str, cyclopts.Parameter(help="Run only this policy.")] = "",
    routes: Annotated[bool, cyclopts.Parameter(help="Also print each route.")] = False,
) -> int:
    """Run an experiment and print the results of clients under each policy."""
    parsed = parse_experiment_toml(file.read_text(encoding="utf-8"))
    if parsed.is_err():
        for fault in parsed.unwrap_err():
            print(f"{file}: {fault}", file=sys.stderr)
        return EXIT_BAD_INPUT
    experiment = parsed.unwrap()
    if load > 0.0:
        experiment = replace(experiment, load=load)
    policies_to_run = [
        variant
        for variant in (_PRODUCT, *experiment.policies)
        if policy in ("", variant.name)
    ]
    print(f"{experiment.name}: {seeds} seeds of {experiment.length_s:g} s")
    try:
        runs = [
            (variant.name, _run_policy(experiment, variant, seeds))
            for variant in policies_to_run
        ]
    except UnknownConstantError as error:
        print(f"{file}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    print("\n".join(iter_table(experiment, runs)))
    if routes:
        for name, tallies in runs:
            print(name)
            print("\n".join(iter_routes(experiment, tallies)))
    return 0


def _run_policy(experiment: Experiment, policy: Policy, n_seeds: int) -> list[Tally]:
    with apply_policy(policy):
        return [
            Fleet(experiment, seed, policy.are_zones_known).run()
            for seed in range(n_seeds)
        ]


def main() -> None:
    """Run the command and exit with its exit code."""
    sys.exit(app())


if __name__ == "__main__":
    main()
