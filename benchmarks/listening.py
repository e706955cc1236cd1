"""`make bench-listening`: measure how soon a starting daemon accepts connections.

The daemon opens the callers' listener before its imports. Connections made meanwhile
wait for the rest of the start-up instead of being refused. With a listener opened after
the imports, the first connection succeeds after 329 ms, with the early one after 111 ms
(medians of 7 starts with other load on the machine). The first answer comes after
333 ms as "not ready" with the late listener, and after 562 ms with the early one, as
the request waits for a configuration.
"""

from __future__ import annotations

import argparse
import socket
import statistics
import time

from .fleet import Fleet, running_fleet
from .machine import describe_machine

LABELS = '{ customer = "lantern" }'
_CONNECT_INTERVAL_S = 0.001


def main() -> None:
    """Start daemons one after the other and print the median times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=7)
    arguments = parser.parse_args()
    with running_fleet() as fleet:
        fleet.start_platform()
        times = [
            measure_start_ms(fleet, f"vm-{index}") for index in range(arguments.starts)
        ]
    connected_ms = statistics.median(first for first, _ in times)
    answered_ms = statistics.median(second for _, second in times)
    print(f"{arguments.starts} starts; {describe_machine()}")
    print("medians from the start of the process: ", end="")
    print(f"first connection {connected_ms:.0f} ms, first answer {answered_ms:.0f} ms")


def measure_start_ms(fleet: Fleet, vm: str) -> tuple[float, float]:
    """Return the times to the first connection and to its answer, in ms."""
    started_s = time.perf_counter()
    daemon = fleet.start_daemon(vm, "pos-a", LABELS)
    host, _, port = daemon.callers.partition(":")
    while True:
        try:
            connection = socket.create_connection((host, int(port)), timeout=10)
            break
        except ConnectionRefusedError:
            time.sleep(_CONNECT_INTERVAL_S)
    connected_s = time.perf_counter()
    with connection:
        connection.sendall(b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n")
        connection.recv(1)
    answered_s = time.perf_counter()
    return 1000 * (connected_s - started_s), 1000 * (answered_s - started_s)


if __name__ == "__main__":
    main()
