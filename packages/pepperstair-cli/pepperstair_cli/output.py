"""What every command prints, and the exit codes."""

from __future__ import annotations

import json
import sys
from enum import IntEnum
from typing import Any, Literal

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.schema import Fault
from pepperstair_operators import Reply

OutputFormat = Literal["text", "json"]


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    REFUSED = 1
    BAD_INPUT = 2
    OUTCOME_UNKNOWN = 3


def show(content: Any, text: str, output: OutputFormat) -> None:
    """Print a result as JSON or as text."""
    print(json.dumps(content, indent=2) if output == "json" else text)


def show_faults(name: str, faults: list[Fault]) -> ExitCode:
    """Print one line for each fault of a document."""
    for fault in faults:
        print(f"{name}: {fault}", file=sys.stderr)
    return ExitCode.BAD_INPUT


def show_failure(failure: Failure) -> ExitCode:
    """Print why a daemon could not be asked."""
    print(f"{failure.kind}: {failure.text}", file=sys.stderr)
    if failure.kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN:
        return ExitCode.OUTCOME_UNKNOWN
    return ExitCode.REFUSED


def show_refusal(reply: Reply) -> ExitCode:
    """Print why a daemon refused, on one line."""
    kind = reply.content.get("error", "")
    print(f"{kind}: {reply.content.get('text', '')}", file=sys.stderr)
    if kind == ErrorKind.CHANGE_OUTCOME_UNKNOWN:
        change_id = reply.content.get("change_id", "")
        print(f"ask again with --change-id {change_id}", file=sys.stderr)
        return ExitCode.OUTCOME_UNKNOWN
    if kind == ErrorKind.INVALID_INTENT:
        return ExitCode.BAD_INPUT
    return ExitCode.REFUSED


__all__ = [
    "ExitCode",
    "OutputFormat",
    "show",
    "show_failure",
    "show_faults",
    "show_refusal",
]
