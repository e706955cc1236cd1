"""Results of commands: a report or a failure, and the exit code."""

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
    """Exit code of a command."""

    SUCCESS = 0
    FAILED = 1
    BAD_INPUT = 2
    OUTCOME_UNKNOWN = 3


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a successful command, as JSON content and as text."""

    content: Any
    text: str


@dataclass(frozen=True, slots=True)
class CommandFailure:
    """Reasons why a command failed, one line each, and its exit code."""

    lines: tuple[str, ...]
    exit_code: ExitCode = ExitCode.FAILED


def print_result(
    result: Result[Report, CommandFailure], output: OutputFormat
) -> ExitCode:
    """Print a report to standard output or a failure to standard error.

    Returns the exit code of the command.
    """
    if result.is_err():
        failure = result.unwrap_err()
        print("\n".join(failure.lines), file=sys.stderr)
        return failure.exit_code
    report = result.unwrap()
    text = json.dumps(report.content, indent=2) if output == "json" else report.text
    print(text, flush=True)
    return ExitCode.SUCCESS


def invalid_input(*lines: str) -> Err[CommandFailure]:
    """Return a failure for invalid operator input."""
    return Err(CommandFailure(lines, ExitCode.BAD_INPUT))


def invalid_document(name: str, faults: Iterable[Fault]) -> Err[CommandFailure]:
    """Return a failure with one line for each fault of a document."""
    return invalid_input(*(f"{name}: {fault}" for fault in faults))


def join_lines(lines: Iterable[str]) -> str:
    """Return lines joined by newlines."""
    return "\n".join(lines)


__all__ = [
    "ExitCode",
    "CommandFailure",
    "Report",
    "print_result",
    "join_lines",
    "invalid_document",
    "invalid_input",
]
