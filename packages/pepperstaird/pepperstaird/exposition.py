"""Counters, gauges and call times for a Prometheus server to fetch."""

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
# Upper ends in seconds: from a call that never waits to the longest timeouts in
# use, each about twice the one before.
BUCKETS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)


class Exposition:
    """Answers with everything a daemon counts, as text.

    `counters` and `gauges` read the daemon's own counts when they are asked for.
    """

    def __init__(
        self,
        counters: Callable[[], DaemonCounters],
        gauges: Callable[[], DaemonGauges],
    ) -> None:
        self._counters = counters
        self._gauges = gauges
        self._times: dict[tuple[str, str], list[int]] = {}
        self._sums_s: dict[tuple[str, str], float] = {}

    def add(self, outcome: CallOutcome) -> None:
        """Count the time and the end of one call."""
        ended = "answered" if outcome.error is None else outcome.error.value
        labels = (outcome.priority, ended)
        counts = self._times.get(labels)
        if counts is None:
            counts = self._times[labels] = [0] * (len(BUCKETS_S) + 1)
            self._sums_s[labels] = 0.0
        duration_s = outcome.duration_ms / 1000
        counts[bisect.bisect_left(BUCKETS_S, duration_s)] += 1
        self._sums_s[labels] += duration_s

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request with the text of all metrics."""
        # Imported on the first request: the library takes memory that a daemon
        # which nobody asks for its metrics has better use for.
        light_imports.bring_back()
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        await exchange.respond(200, (_CONTENT_TYPE,), generate_latest(registry))

    def collect(self) -> Iterator[Any]:
        """Yield each metric as the library wants it."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        counters = self._counters()
        for name, doc in iter_docs(DaemonCounters):
            short = _PREFIX + name.removeprefix("n_")
            yield CounterMetricFamily(short, doc, value=getattr(counters, name))
        gauges = self._gauges()
        docs = dict(iter_docs(DaemonGauges))
        for name in gauges.__struct_fields__:
            short = _PREFIX + name.removeprefix("n_")
            yield GaugeMetricFamily(short, docs[name], value=getattr(gauges, name))
        times = HistogramMetricFamily(
            _PREFIX + "call_duration_seconds",
            "Time from the head of a caller's request to the end of its answer.",
            labels=("priority", "ended"),
        )
        for labels, counts in sorted(self._times.items()):
            times.add_metric(labels, _cumulated(counts), self._sums_s[labels])
        yield times


def _cumulated(counts: list[int]) -> list[tuple[str, float]]:
    """Return the counts as the format wants them: each holds the ones before."""
    buckets: list[tuple[str, float]] = []
    n_seen = 0
    for upper, count in zip((*BUCKETS_S, float("inf")), counts, strict=True):
        n_seen += count
        buckets.append(("+Inf" if upper == float("inf") else str(upper), n_seen))
    return buckets


__all__ = ["BUCKETS_S", "Exposition"]
