"""The result table of an experiment: outcomes of client requests per policy."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Iterator, Sequence

from .experiment import Experiment
from .tally import RouteTally, Tally

_HEADER = (
    "policy                 worth  spread  in time   late  refused  failed"
    "   far  runs lost"
)
_ROUTE_HEADER = (
    f"  {'route':33}    in time   late  refused  failed     p50     p99  worst"
)


def worth_of(experiment: Experiment, tally: Tally) -> float:
    """Return the worth of the answers received, as a share of the worth requested."""
    requested_worth = sum(
        route.worth * tally.routes[route.name].n_requests for route in experiment.routes
    )
    received_worth = sum(
        route.worth * tally.routes[route.name].n_in_time
        + route.late_worth * tally.routes[route.name].n_late
        for route in experiment.routes
    )
    return received_worth / requested_worth if requested_worth else 0.0


def iter_table(
    experiment: Experiment, runs: Iterable[tuple[str, Sequence[Tally]]]
) -> Iterator[str]:
    """Yield a header and a line for each policy.

    The spread is the standard deviation of the worth over the seeds.
    """
    yield _HEADER
    for name, tallies in runs:
        worth_shares = [worth_of(experiment, tally) for tally in tallies]
        spread = statistics.pstdev(worth_shares)
        shares = _format_shares(tallies)
        n_calls = sum(tally.n_calls for tally in tallies)
        cross_zone_share = sum(tally.n_cross_zone_calls for tally in tallies) / max(
            1, n_calls
        )
        n_failed_runs = sum(tally.n_runs_failed for tally in tallies) / len(tallies)
        yield (
            f"{name:21}  {statistics.mean(worth_shares):.3f}   {spread:.3f}  {shares}"
            f"  {cross_zone_share:.2f}  {n_failed_runs:9.0f}"
        )


def iter_routes(experiment: Experiment, tallies: Sequence[Tally]) -> Iterator[str]:
    """Yield a header and a line for each route that clients call directly.

    `worst` is the smallest share in time of two consecutive seconds.
    """
    yield _ROUTE_HEADER
    for route in experiment.routes:
        if route.per_s <= 0.0:
            continue
        route_tallies = [tally.routes[route.name] for tally in tallies]
        worst_share = min(each.worst_share() for each in route_tallies)
        p50_ms, p99_ms = _percentiles_ms(route_tallies)
        shares = _format_route_shares(route_tallies)
        yield (
            f"  {route.name:33}  {shares}"
            f"  {p50_ms:6.0f}  {p99_ms:6.0f}  {worst_share:.3f}"
        )


def _percentiles_ms(route_tallies: Sequence[RouteTally]) -> tuple[float, float]:
    latencies_ms = sorted(
        latency_ms for each in route_tallies for latency_ms in each.latencies_ms
    )
    if not latencies_ms:
        return 0.0, 0.0
    n_answers = len(latencies_ms)
    return latencies_ms[n_answers // 2], latencies_ms[n_answers * 99 // 100]


def _format_shares(tallies: Sequence[Tally]) -> str:
    return _format_route_shares(
        [each for tally in tallies for each in tally.routes.values()]
    )


def _format_route_shares(route_tallies: Sequence[RouteTally]) -> str:
    n_requests = max(1, sum(each.n_requests for each in route_tallies))
    in_time = sum(each.n_in_time for each in route_tallies) / n_requests
    late = sum(each.n_late for each in route_tallies) / n_requests
    refused = sum(each.n_refused for each in route_tallies) / n_requests
    failed = sum(each.n_failed for each in route_tallies) / n_requests
    return f"  {in_time:.3f}  {late:.3f}    {refused:.3f}   {failed:.3f}"


__all__ = ["iter_routes", "iter_table", "worth_of"]
