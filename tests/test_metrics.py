"""Metrics sent to statsd over UDP without delaying calls."""

from __future__ import annotations

import asyncio
import math
import random
import socket

import pytest

from benchmarks.fleet import free_port, running_fleet
from pepperstair_core.calls import CallOutcome
from pepperstair_core.config import MetricsSettings
from pepperstair_core.errors import RunStatus
from pepperstaird.counters import DaemonCounters, DaemonGauges
from pepperstaird.metrics import DATAGRAM_MAX_BYTES, MetricsSender
from pepperstaird.timings import DurationHistogram

N_GAUGES = len(DaemonGauges.__struct_fields__)


class Counts:
    """Counters set by a test."""

    def __init__(self) -> None:
        self.n_calls = 0
        self.frames = ()

    def read(self) -> DaemonCounters:
        """Return the counters as the daemon does."""
        return DaemonCounters(n_calls=self.n_calls, frames=self.frames)


@pytest.fixture
def receiver():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        udp_socket.bind(("127.0.0.1", 0))
        udp_socket.settimeout(5)
        yield udp_socket


def open_sender(receiver: socket.socket, counts: Counts) -> MetricsSender:
    """Return a sender to a receiver, without its periodic task."""
    host, port = receiver.getsockname()
    settings = MetricsSettings(f"{host}:{port}")
    sender = MetricsSender(settings, "vm-1.a", counts.read, DaemonGauges)
    sender.open()
    return sender


def test_counters_are_sent_as_differences_and_durations_as_percentiles(receiver):
    counts = Counts()
    sender = open_sender(receiver, counts)
    for n_calls, expected in ((3, b"calls:3|c"), (5, b"calls:2|c")):
        counts.n_calls = n_calls
        sender.add(CallOutcome("c", "r", "urgent", 200, None, RunStatus.YES, 10.0, 0))
        sender.send()
        lines = receiver.recv(65_536).split(b"\n")
        assert b"pepperstair.vm-1_a." + expected in lines
        assert b"pepperstair.vm-1_a.targets:0|g" in lines
        (p99,) = [line for line in lines if b"call_ms.urgent.p99" in line]
        assert 10.0 <= float(p99.split(b":")[1].split(b"|")[0]) <= 11.0
    sender.close()


def test_unavailable_receiver_only_causes_dropped_metrics(receiver):
    """A restart of the statsd process must neither stop nor slow the daemon."""
    sender = open_sender(receiver, Counts())
    receiver.close()
    for _ in range(20):
        sender.send()
    assert sender.n_dropped > 0
    sender.close()


def test_full_socket_buffer_drops_metrics_instead_of_blocking(receiver):
    """A full socket buffer must not block the event loop, which also runs calls."""
    sender = open_sender(receiver, Counts())

    class FullSocket:
        def send(self, data: bytes) -> int:
            raise BlockingIOError

        def close(self) -> None:
            pass

    sender.replace_socket(FullSocket())
    sender.send()
    assert (sender.n_sent, sender.n_dropped) == (0, N_GAUGES)


def test_error_in_one_sending_does_not_prevent_the_next(receiver):
    """One exception while counters are read must not end the VM's metrics for good."""
    errors = [AttributeError("n_gone")]

    def read() -> DaemonCounters:
        if errors:
            raise errors.pop()
        return DaemonCounters(n_calls=1)

    async def send_until_received() -> bytes:
        host, port = receiver.getsockname()
        settings = MetricsSettings(f"{host}:{port}", interval_ms=10)
        sender = MetricsSender(settings, "vm-1", read, DaemonGauges)
        sender.start()
        loop = asyncio.get_running_loop()
        receiver.setblocking(False)
        receiving = asyncio.ensure_future(loop.sock_recv(receiver, 65_536))
        await asyncio.wait([receiving], timeout=5)
        sender.close()
        return receiving.result() if receiving.done() else b""

    assert b"pepperstair.vm-1.calls:1|c" in asyncio.run(send_until_received())


def test_datagrams_stay_below_the_smallest_mtu(receiver):
    counts = Counts()
    counts.frames = tuple((f"n_control_sent_frames_{i}", 1) for i in range(200))
    sender = open_sender(receiver, counts)
    sender.send()
    n_lines = 0
    while n_lines < 200 + N_GAUGES:
        datagram = receiver.recv(65_536)
        assert len(datagram) <= DATAGRAM_MAX_BYTES
        n_lines += len(datagram.split(b"\n"))
    sender.close()


def test_percentiles_match_those_of_a_sorted_list_within_a_tenth():
    rng = random.Random(5)
    histogram = DurationHistogram()
    times = [rng.lognormvariate(1, 2) for _ in range(2000)]
    for time_ms in times:
        histogram.add(time_ms)
    times.sort()
    for percentile, time_ms in histogram.pop_percentiles():
        exact_ms = times[math.ceil(len(times) * percentile / 100) - 1]
        assert exact_ms <= time_ms * 1.0001 <= exact_ms * 1.101


def test_percentiles_stay_in_range_for_extreme_durations():
    histogram = DurationHistogram()
    for duration_ms in (0.0, 0.001, 1.0, 1e9):
        histogram.add(duration_ms)
    times = dict(histogram.pop_percentiles())
    assert times[50] <= times[90] <= times[99] < 1_000_000
    assert list(histogram.pop_percentiles()) == []


def test_daemon_sends_metrics_while_it_runs(receiver):
    host, port = receiver.getsockname()
    metrics = f'[metrics]\nstatsd_address = "{host}:{port}"\ninterval_ms = 50\n'
    with running_fleet() as fleet:
        fleet.platform = f"127.0.0.1:{free_port()}"
        fleet.start_daemon("vm-1", "pos-a", "{}", metrics)
        assert b"pepperstair.vm-1.members:1|g" in receiver.recv(65_536).split(b"\n")
