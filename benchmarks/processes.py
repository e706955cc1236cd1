"""Processor time and memory of processes, from /proc."""

from __future__ import annotations

import os
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB of 2^20 bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * _PAGE_BYTES / 2**20


__all__ = ["processor_s", "resident_mb"]
