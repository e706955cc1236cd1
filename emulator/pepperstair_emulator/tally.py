"""What callers got in one run."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class RouteTally:
    """The answers to the requests of one route's clients."""

    n_asked: int = 0
    n_in_time: int = 0
    n_late: int = 0
    n_refused: int = 0
    n_failed: int = 0


@dataclass(slots=True)
class Tally:
    """The answers of all routes, and what the calls for them cost."""

    routes: dict[str, RouteTally] = field(
        default_factory=lambda: defaultdict(RouteTally)
    )
    n_calls: int = 0
    n_calls_between_zones: int = 0
    n_retries: int = 0
    n_runs_failed: int = 0


__all__ = ["RouteTally", "Tally"]
