"""`make bench-idle`: measure the resident memory of imports and idle daemons.

Each row of the first group is a fresh interpreter that also runs the imports of the
rows above, so the growth of a row is the cost of its import. The rows of
`SEPARATE_IMPORTS` run their own imports only. The last rows are idle daemons.
"""

from __future__ import annotations

import subprocess
import sys
import time

from .fleet import DaemonProcess, running_fleet, status_of, wait_until
from .machine import describe_machine

BLOCK_IMPORTS = "import pepperstaird.light_imports as l; l.block_imports()"
IMPORTS = (
    ("interpreter", "pass"),
    ("unused libraries blocked", BLOCK_IMPORTS),
    ("argparse", "import argparse"),
    ("asyncio", "import asyncio"),
    ("msgpack", "import msgpack"),
    ("h11", "import h11"),
    ("structlog", "import structlog"),
    ("pepperstair_core", "import pepperstair_core.config, pepperstair_core.wire"),
    ("the whole daemon", "import pepperstaird.daemon"),
)
SEPARATE_IMPORTS = (
    (
        "whole daemon and cyclopts",
        f"{BLOCK_IMPORTS}\nimport pepperstaird.daemon, cyclopts",
    ),
    ("asyncio with ssl", "import asyncio"),
    ("no libraries blocked", "import asyncio, msgpack, h11, structlog"),
)
PRINT_RESIDENT_KB = (
    "; print([l for l in open('/proc/self/status') if 'VmRSS' in l][0].split()[1])"
)
N_DAEMONS = 3
IDLE_S = 5.0


def main() -> None:
    """Print the table of imports and the resident memory of idle daemons."""
    print(f"make bench-idle; {describe_machine()}")
    print("import                      resident MB   growth MB")
    code = ""
    previous_mb = 0.0
    for name, line in IMPORTS:
        code += f"{line}\n"
        resident_mb = measure_import(code)
        print(f"{name:26}  {resident_mb:11.1f}  {resident_mb - previous_mb:10.1f}")
        previous_mb = resident_mb
    for name, line in SEPARATE_IMPORTS:
        print(f"{name:26}  {measure_import(line + chr(10)):11.1f}")
    with running_fleet() as fleet:
        fleet.start_platform()
        for index in range(N_DAEMONS):
            fleet.start_daemon(f"vm-{index}", f"zone-{index}", "{}")
        wait_until(
            lambda: all(status_of(daemon).get("ready") for daemon in fleet.daemons),
            "every daemon ready",
        )
        time.sleep(IDLE_S)
        for daemon in fleet.daemons:
            print(f"idle daemon {daemon.vm:14}  {resident_mb_of(daemon):11.1f}")


def measure_import(code: str) -> float:
    """Return the resident memory in MB of an interpreter that has run `code`."""
    completed = subprocess.run(
        [sys.executable, "-c", code + "pass" + PRINT_RESIDENT_KB],
        capture_output=True,
        text=True,
        check=True,
    )
    return int(completed.stdout) / 1000


def resident_mb_of(daemon: DaemonProcess) -> float:
    """Return the resident memory of a daemon in MB."""
    with open(f"/proc/{daemon.process.pid}/status", encoding="ascii") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1000


if __name__ == "__main__":
    main()
