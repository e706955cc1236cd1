"""Metrics for a Prometheus server."""

from __future__ import annotations

import asyncio

from prometheus_client.parser import text_string_to_metric_families

from pepperstair_core.calls import CallOutcome
from pepperstair_core.errors import ErrorKind, RunStatus
from pepperstair_http import Fetcher, HttpServer, ServerLimits
from pepperstaird.counters import DaemonCounters, DaemonGauges
from pepperstaird.exposition import Exposition


def outcome(duration_ms: float, error: ErrorKind | None = None) -> CallOutcome:
    """Return the end of one call."""
    status = 200 if error is None else 503
    return CallOutcome("c", "r", "urgent", status, error, RunStatus.YES, duration_ms, 0)


def test_counters_gauges_and_call_times_are_served():
    exposition = Exposition(
        lambda: DaemonCounters(n_calls=3), lambda: DaemonGauges(n_targets=2)
    )
    for duration_ms in (4.0, 70.0, 90_000.0):
        exposition.add(outcome(duration_ms))
    exposition.add(outcome(1.0, ErrorKind.OVERLOADED))

    async def scenario() -> bytes:
        server = HttpServer(exposition.handle, ServerLimits())
        fetcher = Fetcher("127.0.0.1", await server.listen("127.0.0.1", 0), 5000)
        try:
            return (await fetcher.fetch("GET", "/metrics")).body
        finally:
            fetcher.close()
            server.close()

    text = asyncio.run(scenario()).decode()
    families = {each.name: each for each in text_string_to_metric_families(text)}
    assert families["pepperstair_calls"].samples[0].value == 3
    assert families["pepperstair_targets"].samples[0].value == 2
    found = {
        (sample.labels["ended"], sample.labels.get("le", sample.name)): sample.value
        for sample in families["pepperstair_call_duration_seconds"].samples
    }
    assert found["answered", "0.005"] == 1
    assert found["answered", "0.1"] == 2
    assert found["answered", "+Inf"] == 3
    assert found["overloaded", "+Inf"] == 1
    assert found["answered", "pepperstair_call_duration_seconds_count"] == 3
