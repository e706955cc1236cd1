"""The command line: plays an experiment over seeds and policies."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import cyclopts
from msgspec.structs import replace

from .experiment import Experiment, Policy, parse_experiment_toml
from .fleet import Fleet
from .policies import UnknownConstantError, applied
from .report import iter_routes, iter_table
from .tally import Tally

EXIT_BAD_INPUT = 2
_PRODUCT = Policy("product")

app = cyclopts.App(
    name="pepperstair-emulator",
    help="Play a load and its faults on the product's decisions, in virtual time.",
)


@app.default
def play(
    file: Path,
    *,
    seeds: Annotated[int, cyclopts.Parameter(help="Runs of each policy.")] = 5,
    load: Annotated[float, cyclopts.Parameter(help="Factor on all rates.")] = 0.0,
    policy: Annotated[str, cyclopts.Parameter(help="Only this one.")] = "",
    routes: Annotated[bool, cyclopts.Parameter(help="A line a route too.")] = False,
) -> int:
    """Play an experiment and print what callers got under each policy."""
    read = parse_experiment_toml(file.read_text(encoding="utf-8"))
    if read.is_err():
        for fault in read.unwrap_err():
            print(f"{file}: {fault}", file=sys.stderr)
        return EXIT_BAD_INPUT
    experiment = read.unwrap()
    if load > 0.0:
        experiment = replace(experiment, load=load)
    chosen = [
        item for item in (_PRODUCT, *experiment.policies) if policy in ("", item.name)
    ]
    print(f"{experiment.name}: {seeds} seeds of {experiment.length_s:g} s")
    try:
        runs = [(item.name, _play(experiment, item, seeds)) for item in chosen]
    except UnknownConstantError as error:
        print(f"{file}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    print("\n".join(iter_table(experiment, runs)))
    if routes:
        for name, tallies in runs:
            print(name)
            print("\n".join(iter_routes(experiment, tallies)))
    return 0


def _play(experiment: Experiment, policy: Policy, n_seeds: int) -> list[Tally]:
    with applied(policy):
        return [
            Fleet(experiment, seed, policy.are_zones_known).run()
            for seed in range(n_seeds)
        ]


def main() -> None:
    """Run the command."""
    sys.exit(app())


if __name__ == "__main__":
    main()
