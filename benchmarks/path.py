"""`make bench-path`: measure the latency that one hop and two hops add to a call.

Calls are sent at a constant rate, alternating between the target itself, the daemon on
the target's VM (one hop) and another daemon (two hops), so that all three paths see the
same load on the machine. The added time is the difference between a quantile and the
same quantile of the direct calls.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Iterator
from dataclasses import dataclass

from pepperstair_core.config import parse_address
from pepperstair_http import Fetcher

from .fleet import DaemonProcess, Fleet, fetch, running_fleet, status_of, wait_until
from .machine import describe_machine

LABELS = '{ customer = "lantern" }'
INTENT = b"""\
customer = "lantern"
[[services]]
name = "ledger"
selector = "app=ledger"
[[routes]]
name = "award"
path_prefix = "/ledger"
service = "ledger"
is_idempotent = true
"""
REQUEST_PATH = "/ledger/award"
BODY = b"20 gold"
QUANTILES = (0.50, 0.90, 0.99)


@dataclass(frozen=True)
class CallPath:
    """One path to the target, with the latency in ms of each call on it."""

    name: str
    fetcher: Fetcher
    durations_ms: list[float]


def main() -> None:
    """Start the processes, measure the paths and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2500, help="calls on each path")
    parser.add_argument(
        "--rate", type=float, default=250.0, help="calls/s on each path"
    )
    arguments = parser.parse_args()
    with running_fleet() as fleet:
        target, one_hop, two_hops = start_mesh(fleet)
        addresses = {
            "direct": target,
            "one hop": one_hop.callers,
            "two hops": two_hops.callers,
        }
        cpu_before_s = {daemon.vm: cpu_s(daemon) for daemon in (one_hop, two_hops)}
        call_paths = asyncio.run(measure(addresses, arguments.calls, arguments.rate))
        cpu_spent_s = {
            daemon.vm: cpu_s(daemon) - cpu_before_s[daemon.vm]
            for daemon in (one_hop, two_hops)
        }
    print(f"make bench-path: {arguments.calls} calls on each path, ", end="")
    print(f"{arguments.rate:g} calls/s per path, interleaved; {describe_machine()}")
    print("\n".join(iter_table(call_paths)))
    n_calls = arguments.calls
    # The daemon on the target's VM proxies the one-hop and the two-hop calls, the
    # other daemon only the two-hop calls.
    print(f"processor time per call: {two_hops.vm} (first hop of two) ", end="")
    print(f"{1000 * cpu_spent_s[two_hops.vm] / n_calls:.3f} ms; ", end="")
    print(f"{one_hop.vm} (on the target's VM, two calls in each round) ", end="")
    print(f"{1000 * cpu_spent_s[one_hop.vm] / (2 * n_calls):.3f} ms")


def start_mesh(
    fleet: Fleet, work_ms: float = 0.0
) -> tuple[str, DaemonProcess, DaemonProcess]:
    """Start the platform, two daemons and a target on the first daemon's VM.

    The target processes each call for `work_ms`. Return the target's address and the
    two daemons.
    """
    fleet.start_platform()
    local_daemon = fleet.start_daemon("vm-1", "pos-a", LABELS)
    remote_daemon = fleet.start_daemon("vm-2", "pos-a", LABELS)
    target = fleet.start_target(
        local_daemon, "ledger", "--name", "ledger-1", "--work-ms", str(work_ms)
    )
    wait_until(lambda: bool(status_of(local_daemon).get("ready")), "vm-1 ready")
    code, body = fetch(local_daemon.operators, "PUT", "/v1/intent/lantern", INTENT)
    if code != 200:
        raise RuntimeError(f"daemon refused the intent: {body!r}")
    for daemon in (local_daemon, remote_daemon):
        wait_until(
            lambda daemon=daemon: (
                fetch(daemon.callers, "POST", REQUEST_PATH, BODY)[0] == 200
            ),
            f"a call through {daemon.vm}",
        )
    return target, local_daemon, remote_daemon


async def measure(
    addresses: dict[str, str], n_calls: int, rate: float
) -> list[CallPath]:
    """Send calls at a constant rate, alternating between the paths."""
    call_paths = [
        CallPath(name, Fetcher(*parse_address(address), 5000), [])
        for name, address in addresses.items()
    ]
    started_s = time.perf_counter()
    for index in range(n_calls):
        for offset, call_path in enumerate(call_paths):
            due_s = started_s + (index + offset / len(call_paths)) / rate
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            await time_call(call_path)
    return call_paths


async def time_call(call_path: CallPath) -> None:
    """Send one call and record its latency; raise RuntimeError if the call fails."""
    started_s = time.perf_counter()
    response = await call_path.fetcher.fetch("POST", REQUEST_PATH, BODY)
    call_path.durations_ms.append(1000 * (time.perf_counter() - started_s))
    if response.status != 200 or not response.body.endswith(BODY):
        raise RuntimeError(f"{call_path.name}: {response}")


def iter_table(call_paths: list[CallPath]) -> Iterator[str]:
    """Yield the lines of the table."""
    yield "path       p50 ms  p90 ms  p99 ms  added p50  added p99  ratio p50"
    direct = [quantile(call_paths[0].durations_ms, q) for q in QUANTILES]
    for call_path in call_paths:
        values = [quantile(call_path.durations_ms, q) for q in QUANTILES]
        shown = "  ".join(f"{value:6.3f}" for value in values)
        yield (
            f"{call_path.name:9}  {shown}  {values[0] - direct[0]:9.3f}"
            f"  {values[2] - direct[2]:9.3f}  {values[0] / direct[0]:9.2f}"
        )


def quantile(values: list[float], q: float) -> float:
    """Return a quantile by the nearest-rank method."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def cpu_s(daemon: DaemonProcess) -> float:
    """Return the processor time used by a daemon, in seconds."""
    with open(f"/proc/{daemon.process.pid}/schedstat", encoding="ascii") as file:
        return int(file.read().split()[0]) / 1e9


if __name__ == "__main__":
    main()
