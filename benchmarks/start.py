"""`make bench-start`: measure the cost of the imports at the start of a daemon.

`python -m benchmarks.start` prints the median processor time and memory of starts of
Python without its site module, as the users' platform starts the daemon.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys

_N_STARTS = 9
_IMPORTS = """
import gc, resource
from pepperstaird import light_imports
light_imports.block_imports()
gc.disable()
from pepperstaird.running import run_daemon
from pepperstair_adapter.composition import platform_dependencies
usage = resource.getrusage(resource.RUSAGE_SELF)
print(usage.ru_utime + usage.ru_stime, usage.ru_maxrss)
"""


def main() -> None:
    """Print the median processor time and memory of a start."""
    # The first start writes the bytecode that the measured starts load.
    _measure_start()
    starts = [_measure_start() for _ in range(_N_STARTS)]
    time_ms = 1000 * statistics.median(time_s for time_s, _ in starts)
    memory_mb = statistics.median(memory_kb for _, memory_kb in starts) / 1024
    print(f"{_N_STARTS} starts: {time_ms:.0f} ms of processor time, {memory_mb:.1f} MB")


def _measure_start() -> tuple[float, float]:
    """Return the processor time in seconds and the memory in KB of one start."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    command = [sys.executable, "-S", "-c", _IMPORTS]
    completed = subprocess.run(
        command, env=environment, capture_output=True, text=True, check=True
    )
    time_s, memory_kb = completed.stdout.split()
    return float(time_s), float(memory_kb)


if __name__ == "__main__":
    main()
