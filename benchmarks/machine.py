"""What a measurement ran on, printed beside its figures."""

from __future__ import annotations

import os
import platform


def describe_machine() -> str:
    """Return processor count, load and Python version on one line."""
    load = os.getloadavg()[0]
    return (
        f"{os.cpu_count()} cores, load {load:.1f}, "
        f"{platform.python_implementation()} {platform.python_version()}"
    )
