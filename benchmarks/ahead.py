"""`make bench-ahead`: measure the time to answer pipelined requests.

A client sends five requests of 300 ms each at once on one connection to a daemon.
Their target runs on the VM of another daemon. Sequential processing takes 1.525 s,
concurrent processing 0.306 s (medians of 7 rounds).
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import time

from pepperstair_core.config import parse_address

from .fleet import running_fleet
from .machine import describe_machine
from .path import REQUEST_PATH, start_mesh


def main() -> None:
    """Start the processes, measure the rounds and print the times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--requests", type=int, default=5, help="pipelined requests per round"
    )
    parser.add_argument(
        "--work-ms", type=float, default=300.0, help="processing time of each request"
    )
    parser.add_argument("--rounds", type=int, default=7)
    arguments = parser.parse_args()
    with running_fleet() as fleet:
        _, _, remote_daemon = start_mesh(fleet, arguments.work_ms)
        address = parse_address(remote_daemon.callers)
        durations_s = [
            asyncio.run(send_pipelined(address, arguments.requests))
            for _ in range(arguments.rounds)
        ]
    print(
        f"{arguments.requests} requests of {arguments.work_ms:g} ms, pipelined; ",
        end="",
    )
    print(f"{arguments.rounds} rounds; {describe_machine()}")
    print(
        f"time to the last answer: median {statistics.median(durations_s):.3f} s, ",
        end="",
    )
    print(f"from {min(durations_s):.3f} to {max(durations_s):.3f} s")


async def send_pipelined(address: tuple[str, int], n_requests: int) -> float:
    """Send pipelined requests and return the seconds until the last answer."""
    reader, writer = await asyncio.open_connection(*address)
    started_s = time.perf_counter()
    writer.write(
        f"GET {REQUEST_PATH} HTTP/1.1\r\nhost: x\r\n\r\n".encode() * n_requests
    )
    for _ in range(n_requests):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        if b" 200 " not in head:
            raise RuntimeError(f"pipelined request failed: {head!r}")
        length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        await reader.readexactly(int(length))
    duration_s = time.perf_counter() - started_s
    writer.close()
    return duration_s


if __name__ == "__main__":
    main()
