"""`make bench-control-bytes`: measure the cost of configuration and membership.

Fleets are measured idle, under configuration changes and under target churn. Each
daemon counts the bytes that it sends on control streams, by kind of frame. Platform
traffic is the size of HTTP bodies without headers, which favours the naive
implementation, as it sends the most requests.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from pepperstair_core.intent import parse_intent_toml
from pepperstair_core.versions import (
    Head,
    Snapshot,
    digest_of,
    encode_intent,
    make_delta,
)
from pepperstair_core.wire import DeltaPush, encode_frame

from .convergence import CUSTOMER, DAEMON_COMMANDS, N_DAEMONS_MAX, ZONES, wait_ready
from .daemon_logs import FleetLogs
from .fleet import DaemonProcess, Fleet, fetch, running_fleet, status_of, wait_until
from .intents import apply_intent, sized_intent
from .processes import processor_s, resident_mb
from .report import fitted_line, print_report_header, print_table

N_ROUTES: Final = 200
SETTLE_S: Final = 6.0
ANNOUNCEMENT_INTERVAL_S: Final = 2.0
SENT_BYTES_PREFIX: Final = "n_control_sent_bytes_"
CHURN_SEED: Final = 1


@dataclass(frozen=True, slots=True)
class CounterReading:
    """Counters of a whole fleet at a time, or their increase over a duration `at_s`."""

    at_s: float
    frame_bytes: Counter[str]
    n_platform_reads: int
    n_platform_writes: int
    n_platform_bytes: int
    processor_s: float

    def difference_from(self, earlier: CounterReading) -> CounterReading:
        """Return the increase since an earlier reading."""
        frame_bytes = Counter(self.frame_bytes)
        frame_bytes.subtract(earlier.frame_bytes)
        return CounterReading(
            self.at_s - earlier.at_s,
            frame_bytes,
            self.n_platform_reads - earlier.n_platform_reads,
            self.n_platform_writes - earlier.n_platform_writes,
            self.n_platform_bytes - earlier.n_platform_bytes,
            self.processor_s - earlier.processor_s,
        )


@dataclass(frozen=True, slots=True)
class FleetMeasurement:
    """The readings of one fleet when idle, under changes and under target churn."""

    size: int
    name: str
    idle: CounterReading
    changes: CounterReading
    n_changes: int
    churn: CounterReading
    resident_mb: float

    def idle_bytes_per_s(self) -> float:
        """Return idle control bytes per second and daemon, with platform traffic."""
        idle = self.idle
        n_bytes = idle.frame_bytes.total() + idle.n_platform_bytes
        return n_bytes / idle.at_s / self.size

    def above_idle(self, reading: CounterReading, n_events: float) -> Counter[str]:
        """Return the bytes per event and daemon beyond the idle traffic, by kind."""
        share = reading.at_s / self.idle.at_s
        kinds = Counter(reading.frame_bytes)
        kinds["(platform bodies)"] = reading.n_platform_bytes
        idle_kinds = Counter(self.idle.frame_bytes)
        idle_kinds["(platform bodies)"] = self.idle.n_platform_bytes
        return Counter(
            {
                kind: (kinds[kind] - idle_kinds[kind] * share) / n_events / self.size
                for kind in kinds
            }
        )


def main() -> None:
    """Measure every fleet size and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--sizes",
        default="5 10",
        help="fleet sizes in daemons, for example '5 10 20 40'",
    )
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--phase-s", type=float, default=10.0, help="length of a phase")
    arguments = parser.parse_args()
    print_report_header(
        f'make bench-control-bytes SIZES="{arguments.sizes}" '
        f"CHANGES={arguments.changes} PHASE_S={arguments.phase_s:g}"
    )
    print(f"delta    {_delta_bytes()} bytes encoded, {N_ROUTES} routes, one changed")
    measured = [
        item
        for size in map(int, arguments.sizes.split())
        for item in _measure(size, arguments.changes, arguments.phase_s)
    ]
    _print_idle(measured)
    _print_bytes_by_kind(measured)
    _print_fitted_lines(measured)


def _measure(size: int, n_changes: int, phase_s: float) -> Iterator[FleetMeasurement]:
    fits_together = 2 * size <= N_DAEMONS_MAX
    groups = (
        [tuple(DAEMON_COMMANDS)]
        if fits_together
        else [(name,) for name in DAEMON_COMMANDS]
    )
    for names in groups:
        with contextlib.ExitStack() as stack:
            fleets = {name: _start_fleet(stack, name, size) for name in names}
            time.sleep(SETTLE_S)
            for name, fleet in fleets.items():
                yield _measure_fleet(name, fleet, n_changes, phase_s)


def _start_fleet(stack: contextlib.ExitStack, name: str, size: int) -> Fleet:
    fleet = stack.enter_context(running_fleet(DAEMON_COMMANDS[name]))
    fleet.start_platform()
    for index in range(size):
        zone = ZONES[index % len(ZONES)]
        fleet.start_daemon(f"vm-{index}", zone, '{ customer = "lantern" }')
    wait_ready(fleet.daemons)
    _apply_change(fleet, FleetLogs(fleet), 0)
    return fleet


def _measure_fleet(
    name: str, fleet: Fleet, n_changes: int, phase_s: float
) -> FleetMeasurement:
    start = _read_counters(fleet)
    time.sleep(phase_s)
    after_idle = _read_counters(fleet)
    resident = sum(resident_mb(daemon.process.pid) for daemon in fleet.daemons)
    logs = FleetLogs(fleet)
    for revision in range(1, n_changes + 1):
        _apply_change(fleet, logs, revision)
    time.sleep(1.0)
    after_changes = _read_counters(fleet)
    _announce_all(fleet)
    time.sleep(ANNOUNCEMENT_INTERVAL_S)
    before_churn = _read_counters(fleet)
    _churn(fleet, phase_s)
    return FleetMeasurement(
        len(fleet.daemons),
        name,
        after_idle.difference_from(start),
        after_changes.difference_from(after_idle),
        n_changes,
        _read_counters(fleet).difference_from(before_churn),
        resident / len(fleet.daemons),
    )


def _apply_change(fleet: Fleet, logs: FleetLogs, revision: int) -> None:
    since_s = time.time()
    accepting_daemon = fleet.daemons[revision % len(fleet.daemons)]
    document = sized_intent(CUSTOMER, N_ROUTES, revision)
    version = apply_intent(accepting_daemon, CUSTOMER, document).version

    def is_in_force_everywhere() -> bool:
        logs.read_new_lines()
        return all(
            logs.in_force_at_s(daemon.vm, CUSTOMER, version, since_s)
            for daemon in fleet.daemons
        )

    wait_until(
        is_in_force_everywhere, f"version {version} in force on every daemon", 60
    )


def _churn(fleet: Fleet, phase_s: float) -> None:
    """Deregister and re-announce one random target per second; renew all targets."""
    rng = random.Random(CHURN_SEED)
    started_s = time.monotonic()
    for second in range(int(phase_s)):
        daemon = rng.choice(fleet.daemons)
        fetch(daemon.operators, "DELETE", f"/v1/targets/target-{daemon.vm}")
        _announce(daemon)
        if second % ANNOUNCEMENT_INTERVAL_S == 0:
            _announce_all(fleet)
        time.sleep(max(0.0, started_s + second + 1 - time.monotonic()))


def _announce_all(fleet: Fleet) -> None:
    for daemon in fleet.daemons:
        _announce(daemon)


def _announce(daemon: DaemonProcess) -> None:
    body = {"address": "127.0.0.1:9", "labels": {"app": "ledger"}, "n_slots": 12}
    path = f"/v1/targets/target-{daemon.vm}"
    fetch(daemon.operators, "PUT", path, json.dumps(body).encode())


def _read_counters(fleet: Fleet) -> CounterReading:
    frame_bytes: Counter[str] = Counter()
    for daemon in fleet.daemons:
        for counter, value in status_of(daemon)["counters"].items():
            if counter.startswith(SENT_BYTES_PREFIX):
                frame_bytes[counter.removeprefix(SENT_BYTES_PREFIX)] += value
    platform = json.loads(fetch(fleet.platform, "GET", "/v1/counters")[1])
    return CounterReading(
        time.monotonic(),
        frame_bytes,
        platform["n_reads"],
        platform["n_writes"],
        platform["n_body_bytes"],
        sum(processor_s(daemon.process.pid) for daemon in fleet.daemons),
    )


def _print_idle(measured: list[FleetMeasurement]) -> None:
    columns = (
        "daemons",
        "version",
        "bytes/s per daemon",
        "platform reads/s",
        "platform writes/s",
        "% of a core",
        "resident MB",
    )
    rows = [
        (
            item.size,
            item.name,
            item.idle_bytes_per_s(),
            item.idle.n_platform_reads / item.idle.at_s,
            item.idle.n_platform_writes / item.idle.at_s,
            100 * item.idle.processor_s / item.idle.at_s / item.size,
            item.resident_mb,
        )
        for item in measured
    ]
    print_table("idle fleet", columns, rows)


def _print_bytes_by_kind(measured: list[FleetMeasurement]) -> None:
    for title, bytes_by_kind in (
        ("bytes/s per daemon when idle", _idle_bytes_by_kind),
        ("bytes per daemon and change, beyond idle traffic", _change_bytes_by_kind),
        (
            "bytes per daemon and target restart, beyond idle traffic",
            _churn_bytes_by_kind,
        ),
    ):
        rows = []
        for item in measured:
            kinds = bytes_by_kind(item)
            shown = [(kind, n) for kind, n in kinds.most_common() if round(n, 1)]
            rows.append((item.size, item.name, "all", kinds.total()))
            rows.extend((item.size, item.name, kind, n) for kind, n in shown)
        print_table(title, ("daemons", "version", "kind", "bytes"), rows)


def _idle_bytes_by_kind(item: FleetMeasurement) -> Counter[str]:
    kinds = Counter(item.idle.frame_bytes)
    kinds["(platform bodies)"] = item.idle.n_platform_bytes
    return Counter({k: n / item.idle.at_s / item.size for k, n in kinds.items()})


def _change_bytes_by_kind(item: FleetMeasurement) -> Counter[str]:
    return item.above_idle(item.changes, item.n_changes)


def _churn_bytes_by_kind(item: FleetMeasurement) -> Counter[str]:
    return item.above_idle(item.churn, int(item.churn.at_s))


def _print_fitted_lines(measured: list[FleetMeasurement]) -> None:
    """Print fitted lines of each figure over fleet size, given at least two sizes."""
    rows = []
    for name in DAEMON_COMMANDS:
        items = [item for item in measured if item.name == name]
        if len(items) < 2:
            continue
        for title, value in (
            ("bytes/s per daemon when idle", FleetMeasurement.idle_bytes_per_s),
            ("bytes per daemon and change", lambda i: _change_bytes_by_kind(i).total()),
            (
                "bytes per daemon and target restart",
                lambda i: _churn_bytes_by_kind(i).total(),
            ),
            ("platform reads/s", lambda i: i.idle.n_platform_reads / i.idle.at_s),
            (
                "% of a core when idle",
                lambda i: 100 * i.idle.processor_s / i.idle.at_s / i.size,
            ),
            ("resident MB", lambda i: i.resident_mb),
        ):
            points = [(float(item.size), value(item)) for item in items]
            rows.append((name, title, *fitted_line(points)))
    columns = ("version", "figure", "at 0 daemons", "per daemon", "residual")
    print_table("lines fitted over fleet sizes", columns, rows)


def _delta_bytes() -> int:
    """Return the size of a delta frame with one changed route."""
    snapshots = []
    for revision in (1, 2):
        intent = parse_intent_toml(sized_intent(CUSTOMER, N_ROUTES, revision)).unwrap()
        body = encode_intent(intent)
        head = Head(CUSTOMER, revision, digest_of(body), 0, "vm-0", "0" * 32)
        snapshots.append(Snapshot(head, body, intent))
    return len(encode_frame(DeltaPush(make_delta(*snapshots))))


if __name__ == "__main__":
    main()
