"""Describes the machine of a benchmark, for the report of its results."""

from __future__ import annotations

import os
import platform


def describe_machine() -> str:
    """Return the number of cores, the load and the Python version on one line."""
    load = os.getloadavg()[0]
    return (
        f"{os.cpu_count()} cores, load {load:.1f}, "
        f"{platform.python_implementation()} {platform.python_version()}"
    )
