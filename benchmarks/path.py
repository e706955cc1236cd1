"""`make bench-path`: what one hop and two hops add to a call.

Calls go at a steady rate, in turn straight to the target, through the daemon
beside the target (one hop) and through another daemon (two hops), so that all
three meet the same machine at the same time. Added time is the difference of a
quantile to the same quantile of the direct calls.
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
PATH = "/ledger/award"
BODY = b"20 gold"
QUANTILES = (0.50, 0.90, 0.99)


@dataclass(frozen=True)
class Way:
    """One way to the target, with the time of each call in milliseconds."""

    name: str
    fetcher: Fetcher
    durations_ms: list[float]


def main() -> None:
    """Start the processes, measure and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2500, help="for each way")
    parser.add_argument("--rate", type=float, default=250.0, help="calls/s of each way")
    arguments = parser.parse_args()
    with running_fleet() as fleet:
        target, one_hop, two_hops = start(fleet)
        addresses = {
            "direct": target,
            "one hop": one_hop.callers,
            "two hops": two_hops.callers,
        }
        before = {daemon.vm: cpu_s(daemon) for daemon in (one_hop, two_hops)}
        ways = asyncio.run(measure(addresses, arguments.calls, arguments.rate))
        spent = {
            daemon.vm: cpu_s(daemon) - before[daemon.vm]
            for daemon in (one_hop, two_hops)
        }
    print(f"make bench-path: {arguments.calls} calls each way, ", end="")
    print(f"{arguments.rate:g} calls/s each, interleaved; {describe_machine()}")
    print("\n".join(iter_table(ways)))
    n_calls = arguments.calls
    # The daemon beside the target carries both kinds of call, the other one
    # only the two-hop calls.
    print(f"processor time per call: {two_hops.vm} (first hop of two) ", end="")
    print(f"{1000 * spent[two_hops.vm] / n_calls:.3f} ms; ", end="")
    print(f"{one_hop.vm} (beside the target, two calls in each round) ", end="")
    print(f"{1000 * spent[one_hop.vm] / (2 * n_calls):.3f} ms")


def start(
    fleet: Fleet, work_ms: float = 0.0
) -> tuple[str, DaemonProcess, DaemonProcess]:
    """Start platform, two daemons and a target beside the first one.

    The target takes `work_ms` for each call.
    """
    fleet.start_platform()
    beside = fleet.start_daemon("vm-1", "pos-a", LABELS)
    other = fleet.start_daemon("vm-2", "pos-a", LABELS)
    target = fleet.start_target(
        beside, "ledger", "--name", "ledger-1", "--work-ms", str(work_ms)
    )
    wait_until(lambda: bool(status_of(beside).get("ready")), "vm-1 ready")
    code, body = fetch(beside.operators, "PUT", "/v1/intent/lantern", INTENT)
    if code != 200:
        raise RuntimeError(f"the intent was refused: {body!r}")
    for daemon in (beside, other):
        wait_until(
            lambda daemon=daemon: fetch(daemon.callers, "POST", PATH, BODY)[0] == 200,
            f"a call through {daemon.vm}",
        )
    return target, beside, other


async def measure(addresses: dict[str, str], n_calls: int, rate: float) -> list[Way]:
    """Send the calls, one way after the other, at a steady rate."""
    ways = [
        Way(name, Fetcher(*parse_address(address), 5000), [])
        for name, address in addresses.items()
    ]
    started_s = time.perf_counter()
    for index in range(n_calls):
        for offset, way in enumerate(ways):
            due_s = started_s + (index + offset / len(ways)) / rate
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            await time_call(way)
    return ways


async def time_call(way: Way) -> None:
    """Send one call and keep how long it took; a failed one ends the run."""
    started_s = time.perf_counter()
    response = await way.fetcher.fetch("POST", PATH, BODY)
    way.durations_ms.append(1000 * (time.perf_counter() - started_s))
    if response.status != 200 or not response.body.endswith(BODY):
        raise RuntimeError(f"{way.name}: {response}")


def iter_table(ways: list[Way]) -> Iterator[str]:
    """Yield the lines of the table."""
    yield "way        p50 ms  p90 ms  p99 ms  added p50  added p99  ratio p50"
    direct = [quantile(ways[0].durations_ms, q) for q in QUANTILES]
    for way in ways:
        values = [quantile(way.durations_ms, q) for q in QUANTILES]
        shown = "  ".join(f"{value:6.3f}" for value in values)
        yield (
            f"{way.name:9}  {shown}  {values[0] - direct[0]:9.3f}"
            f"  {values[2] - direct[2]:9.3f}  {values[0] / direct[0]:9.2f}"
        )


def quantile(values: list[float], q: float) -> float:
    """Return a quantile by nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def cpu_s(daemon: DaemonProcess) -> float:
    """Return the processor time that a daemon has used."""
    with open(f"/proc/{daemon.process.pid}/schedstat", encoding="ascii") as file:
        return int(file.read().split()[0]) / 1e9


if __name__ == "__main__":
    main()
