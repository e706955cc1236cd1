"""Sends metrics to statsd over UDP, without delaying calls."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import Final

import structlog
from msgspec import Struct
from statsd.client.base import StatsClientBase

from pepperstair_core.calls import CallOutcome
from pepperstair_core.config import MetricsSettings, parse_address
from pepperstair_core.events import Event
from pepperstair_core.intent import PRIORITIES

from .counters import FRAME_COUNTS, DaemonCounters, DaemonGauges, iter_docs
from .timings import PERCENTILES, DurationHistogram

log = structlog.get_logger(__name__)

_PREFIX: Final = "pepperstair"
# This limit is below the smallest MTU in use, so that no datagram is fragmented.
DATAGRAM_MAX_BYTES: Final = 1400
_COUNTER_UNIT: Final = "count since the last sending"


class Metric(Struct, frozen=True):
    """A metric as listed in the documentation of the metrics."""

    name: str
    unit: str
    doc: str


def iter_metrics() -> Iterator[Metric]:
    """Yield the description of every metric that a daemon sends."""
    for name, doc in iter_docs(DaemonCounters):
        yield Metric(_metric_name(name), _COUNTER_UNIT, doc)
    for name, doc in FRAME_COUNTS:
        yield Metric(f"{_metric_name(name)}_<kind>", _COUNTER_UNIT, doc)
    for name, doc in iter_docs(DaemonGauges):
        yield Metric(_metric_name(name), "gauge", doc)
    for priority in PRIORITIES:
        for percentile in PERCENTILES:
            doc = f"Time of {priority} calls, percentile {percentile}."
            yield Metric(_duration_name(priority, percentile), "gauge in ms", doc)


class LineBuffer(StatsClientBase):
    """Collects the lines that the statsd library formats instead of sending them."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._lines: list[bytes] = []

    def pop_lines(self) -> list[bytes]:
        """Return and clear the lines formatted so far."""
        lines, self._lines = self._lines, []
        return lines

    def close(self) -> None:
        """Do nothing, as there is no socket."""

    def pipeline(self) -> LineBuffer:
        """Return the buffer itself, as it already collects lines."""
        return self

    def _send(self, data: str) -> None:
        self._lines.append(data.encode("ascii", "replace"))


class MetricsSender:
    """Sends the counters, gauges and call durations of a daemon at an interval.

    Counters are sent as differences from their last sent values, durations as
    percentiles.

    An unavailable or slow receiver must neither delay calls nor make memory grow:
    the socket is non-blocking, and metrics that it does not accept are dropped and
    counted.
    """

    def __init__(
        self,
        settings: MetricsSettings,
        vm: str,
        counters: Callable[[], DaemonCounters],
        gauges: Callable[[], DaemonGauges],
    ) -> None:
        self._settings = settings
        self._counters = counters
        self._gauges = gauges
        # Dots separate the parts of statsd names, so a VM's name must not contain any.
        vm_part = vm.replace(".", "_").replace("/", "_")
        self._buffer = LineBuffer(f"{_PREFIX}.{vm_part}")
        self._sent_counts: dict[str, int] = {}
        self._histograms = {priority: DurationHistogram() for priority in PRIORITIES}
        self._socket: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None
        self.n_sent = 0
        self.n_dropped = 0

    def start(self) -> None:
        """Start sending metrics at the interval, if the settings name a receiver."""
        if not self._settings.statsd_address:
            return
        self.open()
        self._task = asyncio.get_running_loop().create_task(self._send_periodically())

    def open(self) -> None:
        """Open the socket to the receiver."""
        address = parse_address(self._settings.statsd_address)
        self.replace_socket(_open_socket(*address))

    def replace_socket(self, udp_socket: socket.socket) -> None:
        """Close the current socket, if any, and send over `udp_socket` from now on."""
        if self._socket is not None:
            self._socket.close()
        self._socket = udp_socket

    def close(self) -> None:
        """Send the metrics a last time and close the socket."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._socket is not None:
            self.send()
            self._socket.close()
            self._socket = None

    def add(self, outcome: CallOutcome) -> None:
        """Count the duration of one call."""
        histogram = self._histograms.get(outcome.priority)
        if histogram is not None:
            histogram.add(outcome.duration_ms)

    def send(self) -> None:
        """Send all metrics once, and drop those that the socket does not accept."""
        self._write_counters()
        self._write_gauges()
        self._write_durations()
        for lines in _iter_datagrams(self._buffer.pop_lines()):
            try:
                self._socket.send(b"\n".join(lines))
                self.n_sent += len(lines)
            except OSError:
                self.n_dropped += len(lines)

    async def _send_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._settings.interval_ms / 1000)
            try:
                self.send()
            except Exception:
                # Without this handler, an error in the counters of one component would
                # silently end this task, and the VM's graphs would stop as if it were
                # down.
                log.exception(Event.INTERNAL_ERROR)

    def _write_counters(self) -> None:
        counts = dict(self._counters().iter_named())
        for name, count in counts.items():
            difference = count - self._sent_counts.get(name, 0)
            if difference:
                self._buffer.incr(_metric_name(name), difference)
        self._sent_counts = counts

    def _write_gauges(self) -> None:
        gauges = self._gauges()
        for name in gauges.__struct_fields__:
            self._buffer.gauge(_metric_name(name), getattr(gauges, name))

    def _write_durations(self) -> None:
        for priority, histogram in self._histograms.items():
            for percentile, duration_ms in histogram.pop_percentiles():
                name = _duration_name(priority, percentile)
                self._buffer.gauge(name, round(duration_ms, 3))


def _open_socket(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    udp_socket = socket.socket(family, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.connect((host, port))
    return udp_socket


def _iter_datagrams(lines: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Yield the lines in groups that each fit in one datagram."""
    group: list[bytes] = []
    n_bytes = 0
    for line in lines:
        if group and n_bytes + len(line) > DATAGRAM_MAX_BYTES:
            yield group
            group, n_bytes = [], 0
        group.append(line)
        n_bytes += len(line) + 1
    if group:
        yield group


def _metric_name(name: str) -> str:
    return name.removeprefix("n_")


def _duration_name(priority: str, percentile: int) -> str:
    return f"call_ms.{priority}.p{percentile}"


__all__ = [
    "DATAGRAM_MAX_BYTES",
    "LineBuffer",
    "Metric",
    "MetricsSender",
    "iter_metrics",
]
