"""`make bench-ahead`: how long requests take that are sent ahead of answers.

A client sends five requests of 300 ms in one go on one connection to a daemon whose
target runs beside another one. Carried one after the other they took 1.525 s, side by
side 0.306 s (medians of 7 rounds).
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import time

from pepperstair_core.config import parse_address

from .fleet import running_fleet
from .machine import describe_machine
from .path import PATH, start


def main() -> None:
    """Start the processes, measure and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=5, help="sent in one go")
    parser.add_argument("--work-ms", type=float, default=300.0, help="of each request")
    parser.add_argument("--rounds", type=int, default=7)
    arguments = parser.parse_args()
    with running_fleet() as fleet:
        _, _, other = start(fleet, arguments.work_ms)
        address = parse_address(other.callers)
        durations_s = [
            asyncio.run(send_ahead(address, arguments.requests))
            for _ in range(arguments.rounds)
        ]
    print(
        f"{arguments.requests} requests of {arguments.work_ms:g} ms sent ahead, ",
        end="",
    )
    print(f"{arguments.rounds} rounds; {describe_machine()}")
    print(
        f"until the last answer: median {statistics.median(durations_s):.3f} s, ",
        end="",
    )
    print(f"from {min(durations_s):.3f} to {max(durations_s):.3f} s")


async def send_ahead(address: tuple[str, int], n_requests: int) -> float:
    """Send requests in one go; return the seconds until the last answer."""
    reader, writer = await asyncio.open_connection(*address)
    started_s = time.perf_counter()
    writer.write(f"GET {PATH} HTTP/1.1\r\nhost: x\r\n\r\n".encode() * n_requests)
    for _ in range(n_requests):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        if b" 200 " not in head:
            raise RuntimeError(f"not answered: {head!r}")
        length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        await reader.readexactly(int(length))
    duration_s = time.perf_counter() - started_s
    writer.close()
    return duration_s


if __name__ == "__main__":
    main()
