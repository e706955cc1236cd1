"""Service-level objectives: the call counts of one daemon.

The report over many daemons is in `pepperstair_core.burn.report`. It is not imported
here, as the daemon does not use it and each import costs memory.
"""

from __future__ import annotations

from .counts import BurnCounts, OutcomeClass, classify_outcome
from .messages import (
    LONGEST_WINDOW_MS,
    WINDOWS_MS,
    CallCounts,
    Convergence,
    CustomerCounts,
    DaemonCounts,
    WindowCounts,
    counts_to_table,
    read_counts,
)

__all__ = [
    "LONGEST_WINDOW_MS",
    "WINDOWS_MS",
    "BurnCounts",
    "CallCounts",
    "Convergence",
    "CustomerCounts",
    "DaemonCounts",
    "OutcomeClass",
    "WindowCounts",
    "classify_outcome",
    "counts_to_table",
    "read_counts",
]
