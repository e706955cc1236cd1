"""Prints the report of a benchmark: the command, the machine and plain tables."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterable, Sequence

from .fleet import ROOT
from .machine import describe_machine


def print_report_header(command: str) -> None:
    """Print the command, the commit and a description of the machine."""
    print(f"command  {command}")
    print(f"commit   {_git('rev-parse', '--short', 'HEAD')}{_dirty_mark()}")
    print(f"machine  {describe_machine()}, {_memory_gb():.0f} GB")


def print_table(title: str, columns: Sequence[str], rows: Iterable[Sequence]) -> None:
    """Print a table with a heading and columns as wide as their cells."""
    cells = [list(columns), *([_text(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    print(f"\n{title}")
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(padded).rstrip())
    sys.stdout.flush()


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile of the values by the nearest-rank method.

    >>> percentile([3.0, 1.0, 2.0], 50)
    2.0
    """
    ordered = sorted(values)
    index = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(index)]


def fitted_line(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Return intercept, slope and greatest absolute residual of a least-squares line.

    >>> fitted_line([(1, 2), (2, 4), (3, 6)])
    (0.0, 2.0, 0.0)
    """
    n_points = len(points)
    mean_x = sum(x for x, _ in points) / n_points
    mean_y = sum(y for _, y in points) / n_points
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / (spread or 1)
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, residual


def _text(cell: object) -> str:
    if isinstance(cell, float):
        return f"{cell:,.2f}" if abs(cell) < 100 else f"{cell:,.0f}"
    return str(cell)


def _memory_gb() -> float:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30


def _dirty_mark() -> str:
    changed = _git("status", "--porcelain", "--untracked-files=no")
    return " with uncommitted changes" if changed else ""


def _git(*arguments: str) -> str:
    completed = subprocess.run(
        ["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip()


__all__ = ["fitted_line", "percentile", "print_report_header", "print_table"]
