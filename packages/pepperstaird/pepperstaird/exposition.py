"""Serves counters, gauges and call durations to a Prometheus server."""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterator
from typing import Any, Final

import structlog

from pepperstair_core.calls import CallOutcome
from pepperstair_http import Exchange

from . import light_imports
from .counters import DaemonCounters, DaemonGauges, iter_docs

log = structlog.get_logger(__name__)

_PREFIX: Final = "pepperstair_"
_CONTENT_TYPE: Final = (b"content-type", b"text/plain; version=0.0.4")
# Upper bounds of the buckets of call durations, from the duration of a call that never
# waits to the longest timeouts in use. Each bound is about twice the previous one.
BUCKETS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)


class Exposition:
    """Answers requests with all metrics of a daemon, in Prometheus text format.

    `counters` and `gauges` are called for the current values on each request.
    """

    def __init__(
        self,
        counters: Callable[[], DaemonCounters],
        gauges: Callable[[], DaemonGauges],
    ) -> None:
        self._counters = counters
        self._gauges = gauges
        self._duration_counts: dict[tuple[str, str], list[int]] = {}
        self._sums_s: dict[tuple[str, str], float] = {}

    def add(self, outcome: CallOutcome) -> None:
        """Count the duration and the outcome of one call."""
        ended = "answered" if outcome.error is None else outcome.error.value
        labels = (outcome.priority, ended)
        counts = self._duration_counts.get(labels)
        if counts is None:
            counts = self._duration_counts[labels] = [0] * (len(BUCKETS_S) + 1)
            self._sums_s[labels] = 0.0
        duration_s = outcome.duration_ms / 1000
        counts[bisect.bisect_left(BUCKETS_S, duration_s)] += 1
        self._sums_s[labels] += duration_s

    async def handle(self, exchange: Exchange) -> None:
        """Respond with the text of all metrics."""
        # Imported on the first request, to save the memory of the library on daemons
        # whose metrics are never scraped.
        light_imports.unblock_imports()
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        await exchange.respond(200, (_CONTENT_TYPE,), generate_latest(registry))

    def collect(self) -> Iterator[Any]:
        """Yield all metrics, as `prometheus_client` requires of a collector."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        counters = self._counters()
        for name, doc in iter_docs(DaemonCounters):
            metric_name = _PREFIX + name.removeprefix("n_")
            yield CounterMetricFamily(metric_name, doc, value=getattr(counters, name))
        gauges = self._gauges()
        docs = dict(iter_docs(DaemonGauges))
        for name in gauges.__struct_fields__:
            metric_name = _PREFIX + name.removeprefix("n_")
            yield GaugeMetricFamily(
                metric_name, docs[name], value=getattr(gauges, name)
            )
        durations = HistogramMetricFamily(
            _PREFIX + "call_duration_seconds",
            "Time from the head of a caller's request to the end of its answer.",
            labels=("priority", "ended"),
        )
        for labels, counts in sorted(self._duration_counts.items()):
            durations.add_metric(
                labels, _cumulative_buckets(counts), self._sums_s[labels]
            )
        yield durations


def _cumulative_buckets(counts: list[int]) -> list[tuple[str, float]]:
    """Return cumulative buckets: each includes the counts of all smaller ones."""
    buckets: list[tuple[str, float]] = []
    n_cumulative = 0
    for upper, count in zip((*BUCKETS_S, float("inf")), counts, strict=True):
        n_cumulative += count
        buckets.append(("+Inf" if upper == float("inf") else str(upper), n_cumulative))
    return buckets


__all__ = ["BUCKETS_S", "Exposition"]
