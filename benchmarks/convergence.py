"""`make bench-convergence`: acceptance to in force on the last live daemon.

The chosen and the naive version run side by side, change by change in turn,
where both fleets together stay within the permitted number of daemons, and one
after the other where they do not.
"""

from __future__ import annotations

import argparse
import contextlib
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from .daemon_logs import FleetLogs
from .fleet import (
    NAIVE_DAEMON,
    PEPPERSTAIRD,
    DaemonProcess,
    Fleet,
    fetch,
    running_fleet,
    wait_until,
)
from .intents import apply_intent, sized_intent
from .report import percentile, print_run, print_table

CUSTOMER: Final = "lantern"
N_ROUTES: Final = 20
N_DAEMONS_MAX: Final = 60
N_NAIVE_FAULTS_MAX: Final = 3
ZONES: Final = ("pos-a", "pos-b", "pos-c", "pos-d")
GIVE_UP_S: Final = 30.0
OUTAGE_MAX_S: Final = 6.0
VERSIONS: Final = {"chosen": PEPPERSTAIRD, "naive": NAIVE_DAEMON}


@dataclass
class Bench:
    """A running fleet, its logs and the changes made to it so far."""

    name: str
    fleet: Fleet
    logs: FleetLogs
    revision: int = 0
    times_ms: dict[str, list[float]] = field(default_factory=dict)

    def change(self, at: DaemonProcess) -> int:
        """Apply the next change at a daemon and return its version."""
        self.revision += 1
        document = sized_intent(CUSTOMER, N_ROUTES, self.revision)
        applied = apply_intent(at, CUSTOMER, document)
        if applied.status != 200:
            raise AssertionError(f"change refused: {applied}")
        return applied.version

    def converge(
        self, version: int, since_s: float, timeout_s: float = GIVE_UP_S
    ) -> float | None:
        """Return when the last live daemon had a version in force, if it did."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            self.logs.read_on()
            seen = [
                self.logs.in_force_at_s(daemon.vm, CUSTOMER, version, since_s)
                for daemon in self.fleet.daemons
                if daemon.process.poll() is None
            ]
            if None not in seen:
                return max(seen)
            time.sleep(0.02)
        return None

    def note(self, case: str, version: int, last_s: float | None) -> None:
        """Keep the time that a change took, or that it never got there."""
        accepted_s = self.logs.accepted_at_s(CUSTOMER, version)
        took_ms = float("inf")
        if last_s is not None and accepted_s is not None:
            took_ms = max(0.0, (last_s - accepted_s) * 1000)
        self.times_ms.setdefault(case, []).append(took_ms)


def undisturbed(bench: Bench, turn: int) -> None:
    """Change and wait."""
    since_s = time.time()
    version = bench.change(_daemon(bench, turn))
    bench.note("undisturbed", version, bench.converge(version, since_s))


def accepting_daemon_killed(bench: Bench, turn: int) -> None:
    """Kill the accepting daemon as soon as its answer is there."""
    accepting = _daemon(bench, turn)
    since_s = time.time()
    version = bench.change(accepting)
    accepting.kill()
    last_s = bench.converge(version, since_s)
    bench.note("accepting daemon killed", version, last_s)
    wait_ready([bench.fleet.restart_daemon(accepting)])


def platform_out(bench: Bench, turn: int) -> None:
    """Take the platform away as soon as the answer is there, for some seconds."""
    since_s = time.time()
    version = bench.change(_daemon(bench, turn))
    bench.fleet.set_platform_faults(mode="outage")
    last_s = bench.converge(version, since_s, OUTAGE_MAX_S)
    bench.fleet.set_platform_faults()
    if last_s is None:
        last_s = bench.converge(version, since_s)
    bench.note("platform out after acceptance", version, last_s)


def herd_restarts(bench: Bench, turn: int) -> None:
    """Kill and restart every second daemon and change at a survivor at once."""
    herd = bench.fleet.daemons[turn % 2 :: 2]
    survivor = bench.fleet.daemons[(turn + 1) % 2]
    for daemon in herd:
        daemon.process.kill()
    for daemon in herd:
        daemon.process.wait()
    since_s = time.time()
    restarted = [bench.fleet.restart_daemon(daemon) for daemon in herd]
    version = bench.change(survivor)
    bench.note("half of the fleet restarts", version, bench.converge(version, since_s))
    wait_ready(restarted)


CASES: Final[dict[str, Callable[[Bench, int], None]]] = {
    "undisturbed": undisturbed,
    "accepting daemon killed": accepting_daemon_killed,
    "platform out after acceptance": platform_out,
    "half of the fleet restarts": herd_restarts,
}


def main() -> None:
    """Measure every case at every size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="5 10", help="daemons, as '5 10 20 40'")
    parser.add_argument("--changes", type=int, default=30, help="undisturbed ones")
    parser.add_argument("--faults", type=int, default=5, help="of each kind")
    arguments = parser.parse_args()
    print_run(
        f'make bench-convergence SIZES="{arguments.sizes}" '
        f"CHANGES={arguments.changes} FAULTS={arguments.faults}"
    )
    for size in map(int, arguments.sizes.split()):
        print_table(
            f"{size} daemons in {len(ZONES)} availability zones, acceptance to in "
            "force on the last live daemon",
            ("case", "version", "changes", "p50 ms", "worst ms", "never"),
            _measure(size, arguments.changes, arguments.faults),
        )


def _measure(size: int, n_changes: int, n_faults: int) -> list[tuple]:
    if 2 * size <= N_DAEMONS_MAX:
        with _benches(size, tuple(VERSIONS)) as benches:
            _run_cases(benches, n_changes, n_faults)
            return _rows(benches)
    rows = []
    for name in VERSIONS:
        with _benches(size, (name,)) as benches:
            _run_cases(benches, n_changes, n_faults)
            rows.extend(_rows(benches))
    return sorted(rows, key=lambda row: list(CASES).index(row[0]))


@contextlib.contextmanager
def _benches(size: int, names: tuple[str, ...]) -> Iterator[list[Bench]]:
    with contextlib.ExitStack() as stack:
        benches = []
        for name in names:
            fleet = stack.enter_context(running_fleet(VERSIONS[name]))
            fleet.start_platform()
            for index in range(size):
                zone = ZONES[index % len(ZONES)]
                fleet.start_daemon(f"vm-{index}", zone, '{ customer = "lantern" }')
            wait_ready(fleet.daemons)
            benches.append(Bench(name, fleet, FleetLogs(fleet)))
        for bench in benches:
            undisturbed(bench, 0)
            bench.times_ms.clear()
        yield benches


def _run_cases(benches: list[Bench], n_changes: int, n_faults: int) -> None:
    for name, case in CASES.items():
        for turn in range(n_changes if case is undisturbed else n_faults):
            for bench in benches:
                # Faults cost the naive version seconds each: a few show it.
                is_enough = turn >= N_NAIVE_FAULTS_MAX and case is not undisturbed
                if bench.name == "naive" and is_enough:
                    continue
                CASES[name](bench, turn)


def _rows(benches: list[Bench]) -> list[tuple]:
    return [
        (
            case,
            bench.name,
            len(times_ms),
            percentile(times_ms, 50),
            max(times_ms),
            sum(took_ms == float("inf") for took_ms in times_ms),
        )
        for case in CASES
        for bench in benches
        if (times_ms := bench.times_ms.get(case))
    ]


def _daemon(bench: Bench, turn: int) -> DaemonProcess:
    return bench.fleet.daemons[turn % len(bench.fleet.daemons)]


def wait_ready(daemons: list[DaemonProcess]) -> None:
    """Wait until daemons carry calls."""
    for daemon in daemons:
        wait_until(
            lambda at=daemon.operators: fetch(at, "GET", "/v1/ready")[0] == 200,
            f"{daemon.vm} ready",
            60,
        )


if __name__ == "__main__":
    main()
