"""Counts of the outcomes of one run."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class RouteTally:
    """Outcomes of the client requests of one route."""

    n_requests: int = 0
    n_in_time: int = 0
    n_late: int = 0
    n_refused: int = 0
    n_failed: int = 0


@dataclass(slots=True)
class Tally:
    """Outcomes of all routes, and the number of calls to targets."""

    routes: dict[str, RouteTally] = field(
        default_factory=lambda: defaultdict(RouteTally)
    )
    n_calls: int = 0
    n_cross_zone_calls: int = 0
    n_retries: int = 0
    n_runs_failed: int = 0


__all__ = ["RouteTally", "Tally"]
