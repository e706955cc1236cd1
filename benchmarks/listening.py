"""`make bench-listening`: how soon a starting daemon takes connections of callers.

The callers' address listens before the daemon's imports. Connections made meanwhile
wait for the rest of the start instead of being turned away. With the listener opened
after the imports the first connection was taken after 329 ms, now after 111 ms
(medians of 7 starts beside other work). The first answer came after 333 ms, as "not
ready", and now comes after 562 ms: the request waits for a configuration.
"""

from __future__ import annotations

import argparse
import socket
import statistics
import time

from .fleet import Fleet, running_fleet
from .machine import describe_machine

LABELS = '{ customer = "lantern" }'
_CHECK_S = 0.001


def main() -> None:
    """Start daemons one after the other, measure and print the times."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=7)
    arguments = parser.parse_args()
    with running_fleet() as fleet:
        fleet.start_platform()
        times = [time_start(fleet, f"vm-{index}") for index in range(arguments.starts)]
    connected_ms = statistics.median(first for first, _ in times)
    answered_ms = statistics.median(second for _, second in times)
    print(f"{arguments.starts} starts; {describe_machine()}")
    print("medians from the start of the process: ", end="")
    print(f"first connection {connected_ms:.0f} ms, first answer {answered_ms:.0f} ms")


def time_start(fleet: Fleet, vm: str) -> tuple[float, float]:
    """Return the time to the first connection and to its answer, in ms."""
    started_s = time.perf_counter()
    daemon = fleet.start_daemon(vm, "pos-a", LABELS)
    host, _, port = daemon.callers.partition(":")
    while True:
        try:
            connection = socket.create_connection((host, int(port)), timeout=10)
            break
        except ConnectionRefusedError:
            time.sleep(_CHECK_S)
    connected_s = time.perf_counter()
    with connection:
        connection.sendall(b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n")
        connection.recv(1)
    answered_s = time.perf_counter()
    return 1000 * (connected_s - started_s), 1000 * (answered_s - started_s)


if __name__ == "__main__":
    main()
