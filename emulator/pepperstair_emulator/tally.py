"""Counts of the outcomes of one run."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class RouteTally:
    """Outcomes of the client requests of one route."""

    n_requests: int = 0
    n_in_time: int = 0
    n_late: int = 0
    n_refused: int = 0
    n_failed: int = 0
    # Latencies of good answers, and requests and answers in time by the second in which
    # the request was first sent.
    latencies_ms: list[float] = field(default_factory=list)
    n_requests_by_s: Counter[int] = field(default_factory=Counter)
    n_in_time_by_s: Counter[int] = field(default_factory=Counter)

    def record_request(self, sent_ms: float) -> None:
        """Count a request."""
        self.n_requests += 1
        self.n_requests_by_s[int(sent_ms // 1000)] += 1

    def record_answer(self, sent_ms: float, now_ms: float, objective_ms: float) -> None:
        """Count a good answer."""
        latency_ms = now_ms - sent_ms
        is_in_time = latency_ms <= objective_ms
        self.n_in_time += is_in_time
        self.n_late += not is_in_time
        self.n_in_time_by_s[int(sent_ms // 1000)] += is_in_time
        self.latencies_ms.append(latency_ms)

    def worst_share(self, n_seconds: int = 2) -> float:
        """Return the smallest share in time of any `n_seconds` consecutive seconds."""
        sent, in_time = self.n_requests_by_s, self.n_in_time_by_s
        shares = (
            sum(in_time[s + k] for k in range(n_seconds))
            / max(1, sum(sent[s + k] for k in range(n_seconds)))
            for s in range(max(sent, default=0) + 2 - n_seconds)
        )
        return min(shares, default=0.0)


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
