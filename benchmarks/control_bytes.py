"""`make bench-control-bytes`: what configuration and members cost, at rest and not.

Bytes on control streams are counted by each daemon as it sends them, by kind of
frame. Bytes to and from the platform are those of the bodies alone; the headers of
HTTP are left out, which flatters the naive version, as it asks the most.
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

from .convergence import CUSTOMER, N_DAEMONS_MAX, VERSIONS, ZONES, wait_ready
from .daemon_logs import FleetLogs
from .fleet import DaemonProcess, Fleet, fetch, running_fleet, status_of, wait_until
from .intents import apply_intent, sized_intent
from .processes import processor_s, resident_mb
from .report import fitted_line, print_run, print_table

N_ROUTES: Final = 200
SETTLE_S: Final = 6.0
RENEWAL_S: Final = 2.0
SENT_BYTES: Final = "n_control_sent_bytes_"
CHURN_SEED: Final = 1


@dataclass(frozen=True, slots=True)
class Reading:
    """The counts of a whole fleet at one time, or what they rose by."""

    at_s: float
    frame_bytes: Counter[str]
    n_platform_reads: int
    n_platform_writes: int
    n_platform_bytes: int
    processor_s: float

    def since(self, before: Reading) -> Reading:
        """Return what was added after an earlier reading."""
        frame_bytes = Counter(self.frame_bytes)
        frame_bytes.subtract(before.frame_bytes)
        return Reading(
            self.at_s - before.at_s,
            frame_bytes,
            self.n_platform_reads - before.n_platform_reads,
            self.n_platform_writes - before.n_platform_writes,
            self.n_platform_bytes - before.n_platform_bytes,
            self.processor_s - before.processor_s,
        )


@dataclass(frozen=True, slots=True)
class Measured:
    """What one fleet did at rest, under changes and under churn."""

    size: int
    name: str
    rest: Reading
    changes: Reading
    n_changes: int
    churn: Reading
    resident_mb: float

    def rest_rate(self) -> float:
        """Return control bytes a second and daemon at rest, platform included."""
        rest = self.rest
        n_bytes = rest.frame_bytes.total() + rest.n_platform_bytes
        return n_bytes / rest.at_s / self.size

    def beyond_rest(self, reading: Reading, n_events: float) -> Counter[str]:
        """Return bytes by kind, daemon and event that rest alone doesn't explain."""
        share = reading.at_s / self.rest.at_s
        kinds = Counter(reading.frame_bytes)
        kinds["(platform bodies)"] = reading.n_platform_bytes
        at_rest = Counter(self.rest.frame_bytes)
        at_rest["(platform bodies)"] = self.rest.n_platform_bytes
        return Counter(
            {
                kind: (kinds[kind] - at_rest[kind] * share) / n_events / self.size
                for kind in kinds
            }
        )


def main() -> None:
    """Measure every size and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="5 10", help="daemons, as '5 10 20 40'")
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--phase-s", type=float, default=10.0, help="length of a phase")
    arguments = parser.parse_args()
    print_run(
        f'make bench-control-bytes SIZES="{arguments.sizes}" '
        f"CHANGES={arguments.changes} PHASE_S={arguments.phase_s:g}"
    )
    print(f"delta    {_delta_bytes()} bytes as a frame, {N_ROUTES} routes, one changed")
    measured = [
        item
        for size in map(int, arguments.sizes.split())
        for item in _measure(size, arguments.changes, arguments.phase_s)
    ]
    _print_rest(measured)
    _print_kinds(measured)
    _print_fits(measured)


def _measure(size: int, n_changes: int, phase_s: float) -> Iterator[Measured]:
    fits_together = 2 * size <= N_DAEMONS_MAX
    groups = [tuple(VERSIONS)] if fits_together else [(name,) for name in VERSIONS]
    for names in groups:
        with contextlib.ExitStack() as stack:
            fleets = {name: _start(stack, name, size) for name in names}
            time.sleep(SETTLE_S)
            for name, fleet in fleets.items():
                yield _measure_fleet(name, fleet, n_changes, phase_s)


def _start(stack: contextlib.ExitStack, name: str, size: int) -> Fleet:
    fleet = stack.enter_context(running_fleet(VERSIONS[name]))
    fleet.start_platform()
    for index in range(size):
        zone = ZONES[index % len(ZONES)]
        fleet.start_daemon(f"vm-{index}", zone, '{ customer = "lantern" }')
    wait_ready(fleet.daemons)
    _change(fleet, FleetLogs(fleet), 0)
    return fleet


def _measure_fleet(name: str, fleet: Fleet, n_changes: int, phase_s: float) -> Measured:
    start = _read(fleet)
    time.sleep(phase_s)
    rested = _read(fleet)
    resident = sum(resident_mb(daemon.process.pid) for daemon in fleet.daemons)
    logs = FleetLogs(fleet)
    for revision in range(1, n_changes + 1):
        _change(fleet, logs, revision)
    time.sleep(1.0)
    changed = _read(fleet)
    _announce_all(fleet)
    time.sleep(RENEWAL_S)
    before_churn = _read(fleet)
    _churn(fleet, phase_s)
    return Measured(
        len(fleet.daemons),
        name,
        rested.since(start),
        changed.since(rested),
        n_changes,
        _read(fleet).since(before_churn),
        resident / len(fleet.daemons),
    )


def _change(fleet: Fleet, logs: FleetLogs, revision: int) -> None:
    since_s = time.time()
    at = fleet.daemons[revision % len(fleet.daemons)]
    document = sized_intent(CUSTOMER, N_ROUTES, revision)
    version = apply_intent(at, CUSTOMER, document).version

    def is_everywhere() -> bool:
        logs.read_on()
        return all(
            logs.in_force_at_s(daemon.vm, CUSTOMER, version, since_s)
            for daemon in fleet.daemons
        )

    wait_until(is_everywhere, f"version {version} everywhere", 60)


def _churn(fleet: Fleet, phase_s: float) -> None:
    """Let one target somewhere leave and come back, once a second."""
    rng = random.Random(CHURN_SEED)
    started_s = time.monotonic()
    for second in range(int(phase_s)):
        daemon = rng.choice(fleet.daemons)
        fetch(daemon.operators, "DELETE", f"/v1/targets/target-{daemon.vm}")
        _announce(daemon)
        if second % RENEWAL_S == 0:
            _announce_all(fleet)
        time.sleep(max(0.0, started_s + second + 1 - time.monotonic()))


def _announce_all(fleet: Fleet) -> None:
    for daemon in fleet.daemons:
        _announce(daemon)


def _announce(daemon: DaemonProcess) -> None:
    body = {"address": "127.0.0.1:9", "labels": {"app": "ledger"}, "n_slots": 12}
    path = f"/v1/targets/target-{daemon.vm}"
    fetch(daemon.operators, "PUT", path, json.dumps(body).encode())


def _read(fleet: Fleet) -> Reading:
    frame_bytes: Counter[str] = Counter()
    for daemon in fleet.daemons:
        for counter, value in status_of(daemon)["counters"].items():
            if counter.startswith(SENT_BYTES):
                frame_bytes[counter.removeprefix(SENT_BYTES)] += value
    platform = json.loads(fetch(fleet.platform, "GET", "/v1/counters")[1])
    return Reading(
        time.monotonic(),
        frame_bytes,
        platform["n_reads"],
        platform["n_writes"],
        platform["n_body_bytes"],
        sum(processor_s(daemon.process.pid) for daemon in fleet.daemons),
    )


def _print_rest(measured: list[Measured]) -> None:
    columns = (
        "daemons",
        "version",
        "bytes/s a daemon",
        "platform reads/s",
        "platform writes/s",
        "% of a core",
        "resident MB",
    )
    rows = [
        (
            item.size,
            item.name,
            item.rest_rate(),
            item.rest.n_platform_reads / item.rest.at_s,
            item.rest.n_platform_writes / item.rest.at_s,
            100 * item.rest.processor_s / item.rest.at_s / item.size,
            item.resident_mb,
        )
        for item in measured
    ]
    print_table("at rest", columns, rows)


def _print_kinds(measured: list[Measured]) -> None:
    for title, pick in (
        ("bytes/s a daemon at rest", _rest_kinds),
        ("bytes a daemon and change, beyond rest", _change_kinds),
        ("bytes a daemon and target restart, beyond rest", _churn_kinds),
    ):
        rows = []
        for item in measured:
            kinds = pick(item)
            shown = [(kind, n) for kind, n in kinds.most_common() if round(n, 1)]
            rows.append((item.size, item.name, "all", kinds.total()))
            rows.extend((item.size, item.name, kind, n) for kind, n in shown)
        print_table(title, ("daemons", "version", "kind", "bytes"), rows)


def _rest_kinds(item: Measured) -> Counter[str]:
    kinds = Counter(item.rest.frame_bytes)
    kinds["(platform bodies)"] = item.rest.n_platform_bytes
    return Counter({k: n / item.rest.at_s / item.size for k, n in kinds.items()})


def _change_kinds(item: Measured) -> Counter[str]:
    return item.beyond_rest(item.changes, item.n_changes)


def _churn_kinds(item: Measured) -> Counter[str]:
    return item.beyond_rest(item.churn, int(item.churn.at_s))


def _print_fits(measured: list[Measured]) -> None:
    """Print how each figure grows with the fleet, where two sizes were measured."""
    rows = []
    for name in VERSIONS:
        items = [item for item in measured if item.name == name]
        if len(items) < 2:
            continue
        for title, value in (
            ("bytes/s a daemon at rest", Measured.rest_rate),
            ("bytes a daemon and change", lambda i: _change_kinds(i).total()),
            ("bytes a daemon and restart", lambda i: _churn_kinds(i).total()),
            ("platform reads/s", lambda i: i.rest.n_platform_reads / i.rest.at_s),
            (
                "% of a core at rest",
                lambda i: 100 * i.rest.processor_s / i.rest.at_s / i.size,
            ),
            ("resident MB", lambda i: i.resident_mb),
        ):
            points = [(float(item.size), value(item)) for item in items]
            rows.append((name, title, *fitted_line(points)))
    columns = ("version", "figure", "at 0 daemons", "for each daemon", "residual")
    print_table("lines fitted over the sizes", columns, rows)


def _delta_bytes() -> int:
    """Return the size of the frame that carries one change."""
    snapshots = []
    for revision in (1, 2):
        intent = parse_intent_toml(sized_intent(CUSTOMER, N_ROUTES, revision)).unwrap()
        body = encode_intent(intent)
        head = Head(CUSTOMER, revision, digest_of(body), 0, "vm-0", "0" * 32)
        snapshots.append(Snapshot(head, body, intent))
    return len(encode_frame(DeltaPush(make_delta(*snapshots))))


if __name__ == "__main__":
    main()
