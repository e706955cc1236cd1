"""`make bench-convergence`: measure the convergence time of configuration changes.

The convergence time lasts from the acceptance of a change until the change is in force
on the last live daemon. The daemon and a naive implementation run concurrently, with
alternating changes, if both fleets together have at most `N_DAEMONS_MAX` daemons, and
otherwise one after the other.
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
from .report import percentile, print_report_header, print_table

CUSTOMER: Final = "lantern"
N_ROUTES: Final = 20
N_DAEMONS_MAX: Final = 60
N_NAIVE_FAULTS_MAX: Final = 3
ZONES: Final = ("pos-a", "pos-b", "pos-c", "pos-d")
CONVERGENCE_TIMEOUT_S: Final = 30.0
OUTAGE_MAX_S: Final = 6.0
DAEMON_COMMANDS: Final = {"chosen": PEPPERSTAIRD, "naive": NAIVE_DAEMON}


@dataclass
class Bench:
    """A running fleet, its logs and the convergence times of its changes."""

    name: str
    fleet: Fleet
    logs: FleetLogs
    revision: int = 0
    convergence_ms: dict[str, list[float]] = field(default_factory=dict)

    def apply_next_change(self, at: DaemonProcess) -> int:
        """Apply the next change through a daemon and return its version."""
        self.revision += 1
        document = sized_intent(CUSTOMER, N_ROUTES, self.revision)
        applied = apply_intent(at, CUSTOMER, document)
        if applied.status != 200:
            raise AssertionError(f"change refused: {applied}")
        return applied.version

    def wait_converged_s(
        self, version: int, since_s: float, timeout_s: float = CONVERGENCE_TIMEOUT_S
    ) -> float | None:
        """Return when the last live daemon had a version in force; None on time-out."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            self.logs.read_new_lines()
            in_force_s = [
                self.logs.in_force_at_s(daemon.vm, CUSTOMER, version, since_s)
                for daemon in self.fleet.daemons
                if daemon.process.poll() is None
            ]
            if None not in in_force_s:
                return max(in_force_s)
            time.sleep(0.02)
        return None

    def record(self, case: str, version: int, last_s: float | None) -> None:
        """Record the convergence time of a change, infinite if it did not converge."""
        accepted_s = self.logs.accepted_at_s(CUSTOMER, version)
        took_ms = float("inf")
        if last_s is not None and accepted_s is not None:
            took_ms = max(0.0, (last_s - accepted_s) * 1000)
        self.convergence_ms.setdefault(case, []).append(took_ms)


def undisturbed(bench: Bench, round_index: int) -> None:
    """Apply a change without faults and wait until it converges."""
    since_s = time.time()
    version = bench.apply_next_change(_daemon_of_round(bench, round_index))
    bench.record("undisturbed", version, bench.wait_converged_s(version, since_s))


def accepting_daemon_killed(bench: Bench, round_index: int) -> None:
    """Kill the accepting daemon as soon as it has answered."""
    accepting = _daemon_of_round(bench, round_index)
    since_s = time.time()
    version = bench.apply_next_change(accepting)
    accepting.kill()
    last_s = bench.wait_converged_s(version, since_s)
    bench.record("accepting daemon killed", version, last_s)
    wait_ready([bench.fleet.restart_daemon(accepting)])


def platform_outage(bench: Bench, round_index: int) -> None:
    """Inject a platform outage right after the answer, for at most `OUTAGE_MAX_S`."""
    since_s = time.time()
    version = bench.apply_next_change(_daemon_of_round(bench, round_index))
    bench.fleet.set_platform_faults(mode="outage")
    last_s = bench.wait_converged_s(version, since_s, OUTAGE_MAX_S)
    bench.fleet.set_platform_faults()
    if last_s is None:
        last_s = bench.wait_converged_s(version, since_s)
    bench.record("platform outage after acceptance", version, last_s)


def half_of_fleet_restarts(bench: Bench, round_index: int) -> None:
    """Restart every second daemon and at once apply a change through a survivor."""
    restarting = bench.fleet.daemons[round_index % 2 :: 2]
    survivor = bench.fleet.daemons[(round_index + 1) % 2]
    for daemon in restarting:
        daemon.process.kill()
    for daemon in restarting:
        daemon.process.wait()
    since_s = time.time()
    restarted = [bench.fleet.restart_daemon(daemon) for daemon in restarting]
    version = bench.apply_next_change(survivor)
    bench.record(
        "half of the fleet restarts", version, bench.wait_converged_s(version, since_s)
    )
    wait_ready(restarted)


CASES: Final[dict[str, Callable[[Bench, int], None]]] = {
    "undisturbed": undisturbed,
    "accepting daemon killed": accepting_daemon_killed,
    "platform outage after acceptance": platform_outage,
    "half of the fleet restarts": half_of_fleet_restarts,
}


def main() -> None:
    """Measure every case at every fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--sizes",
        default="5 10",
        help="fleet sizes in daemons, for example '5 10 20 40'",
    )
    parser.add_argument(
        "--changes", type=int, default=30, help="changes without faults"
    )
    parser.add_argument(
        "--faults", type=int, default=5, help="changes under each kind of fault"
    )
    arguments = parser.parse_args()
    print_report_header(
        f'make bench-convergence SIZES="{arguments.sizes}" '
        f"CHANGES={arguments.changes} FAULTS={arguments.faults}"
    )
    for size in map(int, arguments.sizes.split()):
        print_table(
            f"{size} daemons in {len(ZONES)} availability zones, time from acceptance "
            "to in force on the last live daemon",
            ("case", "version", "changes", "p50 ms", "worst ms", "never"),
            _measure(size, arguments.changes, arguments.faults),
        )


def _measure(size: int, n_changes: int, n_faults: int) -> list[tuple]:
    if 2 * size <= N_DAEMONS_MAX:
        with _running_benches(size, tuple(DAEMON_COMMANDS)) as benches:
            _run_cases(benches, n_changes, n_faults)
            return _table_rows(benches)
    rows = []
    for name in DAEMON_COMMANDS:
        with _running_benches(size, (name,)) as benches:
            _run_cases(benches, n_changes, n_faults)
            rows.extend(_table_rows(benches))
    return sorted(rows, key=lambda row: list(CASES).index(row[0]))


@contextlib.contextmanager
def _running_benches(size: int, names: tuple[str, ...]) -> Iterator[list[Bench]]:
    with contextlib.ExitStack() as stack:
        benches = []
        for name in names:
            fleet = stack.enter_context(running_fleet(DAEMON_COMMANDS[name]))
            fleet.start_platform()
            for index in range(size):
                zone = ZONES[index % len(ZONES)]
                fleet.start_daemon(f"vm-{index}", zone, '{ customer = "lantern" }')
            wait_ready(fleet.daemons)
            benches.append(Bench(name, fleet, FleetLogs(fleet)))
        for bench in benches:
            undisturbed(bench, 0)
            bench.convergence_ms.clear()
        yield benches


def _run_cases(benches: list[Bench], n_changes: int, n_faults: int) -> None:
    for name, case in CASES.items():
        for round_index in range(n_changes if case is undisturbed else n_faults):
            for bench in benches:
                # A fault costs the naive implementation seconds, so a few suffice.
                is_naive_limit_reached = (
                    round_index >= N_NAIVE_FAULTS_MAX and case is not undisturbed
                )
                if bench.name == "naive" and is_naive_limit_reached:
                    continue
                CASES[name](bench, round_index)


def _table_rows(benches: list[Bench]) -> list[tuple]:
    return [
        (
            case,
            bench.name,
            len(convergence_ms),
            percentile(convergence_ms, 50),
            max(convergence_ms),
            sum(took_ms == float("inf") for took_ms in convergence_ms),
        )
        for case in CASES
        for bench in benches
        if (convergence_ms := bench.convergence_ms.get(case))
    ]


def _daemon_of_round(bench: Bench, round_index: int) -> DaemonProcess:
    return bench.fleet.daemons[round_index % len(bench.fleet.daemons)]


def wait_ready(daemons: list[DaemonProcess]) -> None:
    """Wait until the daemons are ready for calls."""
    for daemon in daemons:
        wait_until(
            lambda at=daemon.operators: fetch(at, "GET", "/v1/ready")[0] == 200,
            f"{daemon.vm} ready",
            60,
        )


if __name__ == "__main__":
    main()
