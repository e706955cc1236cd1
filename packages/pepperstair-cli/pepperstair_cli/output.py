"""What every command ends with: a report or a refusal, and the exit code."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from result import Err, Result

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pepperstair_core.schema import Fault

    from .connection import OutputFormat


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    OUTCOME_UNKNOWN = 3


@dataclass(frozen=True, slots=True)
class Report:
    """What a command found or did, for programs and for people."""

    content: Any
    text: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a command did not do its work: one line each, and the exit code."""

    lines: tuple[str, ...]
    exit_code: ExitCode = ExitCode.REFUSED


def finish(ended: Result[Report, Refusal], output: OutputFormat) -> ExitCode:
    """Print a report on standard output or a refusal on standard error."""
    if ended.is_err():
        refusal = ended.unwrap_err()
        print("\n".join(refusal.lines), file=sys.stderr)
        return refusal.exit_code
    report = ended.unwrap()
    text = json.dumps(report.content, indent=2) if output == "json" else report.text
    print(text, flush=True)
    return ExitCode.DONE


def refuse_input(*lines: str) -> Err[Refusal]:
    """Return a refusal of what the operator gave."""
    return Err(Refusal(lines, ExitCode.BAD_INPUT))


def refuse_faults(name: str, faults: Iterable[Fault]) -> Err[Refusal]:
    """Return a refusal with one line for each fault of a document."""
    return refuse_input(*(f"{name}: {fault}" for fault in faults))


def join_lines(lines: Iterable[str]) -> str:
    """Return lines as one text."""
    return "\n".join(lines)


__all__ = [
    "ExitCode",
    "Refusal",
    "Report",
    "finish",
    "join_lines",
    "refuse_faults",
    "refuse_input",
]
