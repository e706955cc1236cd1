"""Service-level burn: counts of one daemon and the report over many."""

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
from .report import (
    ALERT_RULES,
    Alert,
    AlertRule,
    BurnReport,
    ConvergenceBurn,
    CustomerBurn,
    PriorityBurn,
    WindowBurn,
    make_burn_report,
)

__all__ = [
    "ALERT_RULES",
    "LONGEST_WINDOW_MS",
    "WINDOWS_MS",
    "Alert",
    "AlertRule",
    "BurnCounts",
    "BurnReport",
    "CallCounts",
    "Convergence",
    "ConvergenceBurn",
    "CustomerBurn",
    "CustomerCounts",
    "DaemonCounts",
    "OutcomeClass",
    "PriorityBurn",
    "WindowBurn",
    "WindowCounts",
    "classify_outcome",
    "counts_to_table",
    "make_burn_report",
    "read_counts",
]
