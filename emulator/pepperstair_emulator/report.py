"""The table of an experiment: what callers got under each policy."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Iterator, Sequence

from .experiment import Experiment
from .tally import RouteTally, Tally

_HEAD = (
    "policy                 worth  spread  in time   late  refused  failed"
    "   far  runs lost"
)


def worth_of(experiment: Experiment, tally: Tally) -> float:
    """Return the share of all worth that callers asked for and got."""
    asked = sum(
        route.worth * tally.routes[route.name].n_asked for route in experiment.routes
    )
    got = sum(
        route.worth * tally.routes[route.name].n_in_time
        + route.late_worth * tally.routes[route.name].n_late
        for route in experiment.routes
    )
    return got / asked if asked else 0.0


def iter_table(
    experiment: Experiment, runs: Iterable[tuple[str, Sequence[Tally]]]
) -> Iterator[str]:
    """Yield a line for each policy, with the spread of its worth over seeds."""
    yield _HEAD
    for name, tallies in runs:
        worths = [worth_of(experiment, tally) for tally in tallies]
        spread = statistics.pstdev(worths)
        shares = _shares(tallies)
        n_calls = sum(tally.n_calls for tally in tallies)
        far = sum(tally.n_calls_between_zones for tally in tallies) / max(1, n_calls)
        n_lost = sum(tally.n_runs_failed for tally in tallies) / len(tallies)
        yield (
            f"{name:21}  {statistics.mean(worths):.3f}   {spread:.3f}  {shares}"
            f"  {far:.2f}  {n_lost:9.0f}"
        )


def iter_routes(experiment: Experiment, tallies: Sequence[Tally]) -> Iterator[str]:
    """Yield a line for each route that clients use."""
    for route in experiment.routes:
        if route.per_s <= 0.0:
            continue
        of_route = [tally.routes[route.name] for tally in tallies]
        yield f"  {route.name:33}  {_shares_of(of_route)}"


def _shares(tallies: Sequence[Tally]) -> str:
    return _shares_of([part for tally in tallies for part in tally.routes.values()])


def _shares_of(parts: Sequence[RouteTally]) -> str:
    n_asked = max(1, sum(part.n_asked for part in parts))
    in_time = sum(part.n_in_time for part in parts) / n_asked
    late = sum(part.n_late for part in parts) / n_asked
    refused = sum(part.n_refused for part in parts) / n_asked
    failed = sum(part.n_failed for part in parts) / n_asked
    return f"  {in_time:.3f}  {late:.3f}    {refused:.3f}   {failed:.3f}"


__all__ = ["iter_routes", "iter_table", "worth_of"]
