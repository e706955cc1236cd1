"""Metrics to statsd over UDP, which never make a call wait."""

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
from .timings import PERCENTILES, Timings

log = structlog.get_logger(__name__)

_PREFIX: Final = "pepperstair"
# Below the smallest MTU in use, so that no datagram is cut into fragments.
DATAGRAM_MAX_BYTES: Final = 1400
_COUNTER_UNIT: Final = "count since the last sending"


class Metric(Struct, frozen=True):
    """One metric as the page of metrics lists it."""

    name: str
    unit: str
    doc: str


def iter_metrics() -> Iterator[Metric]:
    """Yield every metric that a daemon sends."""
    for name, doc in iter_docs(DaemonCounters):
        yield Metric(_short(name), _COUNTER_UNIT, doc)
    for name, doc in FRAME_COUNTS:
        yield Metric(f"{_short(name)}_<kind>", _COUNTER_UNIT, doc)
    for name, doc in iter_docs(DaemonGauges):
        yield Metric(_short(name), "gauge", doc)
    for priority in PRIORITIES:
        for percentile in PERCENTILES:
            doc = f"Time of {priority} calls, percentile {percentile}."
            yield Metric(_timing_name(priority, percentile), "gauge in ms", doc)


class LineBuffer(StatsClientBase):
    """The statsd library's formatting, kept as lines instead of sent."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._lines: list[bytes] = []

    def take(self) -> list[bytes]:
        """Return the lines formatted so far and forget them."""
        lines, self._lines = self._lines, []
        return lines

    def close(self) -> None:
        """Do nothing, as there is no socket."""

    def pipeline(self) -> LineBuffer:
        """Return the buffer itself, which sends nothing by itself."""
        return self

    def _send(self, data: str) -> None:
        self._lines.append(data.encode("ascii", "replace"))


class MetricsSender:
    """Sends counters as differences, gauges and call timings at an interval.

    A receiver that is away or slow must not make a call wait, nor grow memory:
    the socket never blocks, and what it does not take is dropped and counted.
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
        # Dots part the names of statsd, so a VM's name must not hold any.
        vm_part = vm.replace(".", "_").replace("/", "_")
        self._buffer = LineBuffer(f"{_PREFIX}.{vm_part}")
        self._sent: dict[str, int] = {}
        self._timings = {priority: Timings() for priority in PRIORITIES}
        self._socket: socket.socket | None = None
        self._task: asyncio.Task[None] | None = None
        self.n_sent = 0
        self.n_dropped = 0

    def start(self) -> None:
        """Begin to send, where the settings name a receiver."""
        if not self._settings.statsd_address:
            return
        self.open()
        self._task = asyncio.get_running_loop().create_task(self._send_for_ever())

    def open(self) -> None:
        """Open the socket to the receiver."""
        address = parse_address(self._settings.statsd_address)
        self.replace_socket(_open_socket(*address))

    def replace_socket(self, opened: socket.socket) -> None:
        """Send over another socket from now on."""
        if self._socket is not None:
            self._socket.close()
        self._socket = opened

    def close(self) -> None:
        """Send what is left and stop."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._socket is not None:
            self.send()
            self._socket.close()
            self._socket = None

    def add(self, outcome: CallOutcome) -> None:
        """Count the time of one call."""
        timings = self._timings.get(outcome.priority)
        if timings is not None:
            timings.add(outcome.duration_ms)

    def send(self) -> None:
        """Send everything once; what the socket does not take is dropped."""
        self._write_counters()
        self._write_gauges()
        self._write_timings()
        for lines in _iter_datagrams(self._buffer.take()):
            try:
                self._socket.send(b"\n".join(lines))
                self.n_sent += len(lines)
            except OSError:
                self.n_dropped += len(lines)

    async def _send_for_ever(self) -> None:
        while True:
            await asyncio.sleep(self._settings.interval_ms / 1000)
            try:
                self.send()
            except Exception:
                # A fault in one part's counts would end this task unseen, and
                # the graphs of the VM would stop as if it were gone.
                log.exception(Event.INTERNAL_ERROR)

    def _write_counters(self) -> None:
        counts = dict(self._counters().iter_named())
        for name, count in counts.items():
            difference = count - self._sent.get(name, 0)
            if difference:
                self._buffer.incr(_short(name), difference)
        self._sent = counts

    def _write_gauges(self) -> None:
        gauges = self._gauges()
        for name in gauges.__struct_fields__:
            self._buffer.gauge(_short(name), getattr(gauges, name))

    def _write_timings(self) -> None:
        for priority, timings in self._timings.items():
            for percentile, time_ms in timings.take():
                name = _timing_name(priority, percentile)
                self._buffer.gauge(name, round(time_ms, 3))


def _open_socket(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.connect((host, port))
    return opened


def _iter_datagrams(lines: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Yield the lines in groups that fit one datagram each."""
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


def _short(name: str) -> str:
    return name.removeprefix("n_")


def _timing_name(priority: str, percentile: int) -> str:
    return f"call_ms.{priority}.p{percentile}"


__all__ = [
    "DATAGRAM_MAX_BYTES",
    "LineBuffer",
    "Metric",
    "MetricsSender",
    "iter_metrics",
]
