"""`pepperstair diff`: compare an intent document with the version in force."""

from __future__ import annotations

import asyncio
import difflib
from pathlib import Path

from result import Ok, Result

from pepperstair_core.intent import Intent, hide_keys

from ..connection import Connection
from ..documents import (
    VersionedIntent,
    fetch_intent_or_empty,
    intent_to_toml,
    read_intent_file,
)
from ..output import CommandFailure, ExitCode, Report, join_lines, print_result


def run(file: Path, /, *, connection: Connection) -> ExitCode:
    """Show what applying a document would change.

    Parameters
    ----------
    file
        TOML intent document, or a platform document in JSON.
    """
    return print_result(asyncio.run(_diff(file, connection)), connection.output)


async def _diff(file: Path, connection: Connection) -> Result[Report, CommandFailure]:
    read = read_intent_file(file)
    if read.is_err():
        return read
    current = await fetch_intent_or_empty(connection, read.unwrap().customer)
    if current.is_err():
        return current
    return Ok(_report(current.unwrap(), read.unwrap(), str(file)))


def _report(current: VersionedIntent, intent: Intent, file: str) -> Report:
    lines = list(
        difflib.unified_diff(
            intent_to_toml(hide_keys(current.intent)).splitlines(),
            intent_to_toml(hide_keys(intent)).splitlines(),
            f"version {current.version}",
            file,
            lineterm="",
        )
    )
    content = {
        "customer": intent.customer,
        "version": current.version,
        "is_same": not lines,
        "lines": lines,
    }
    no_difference = f"{intent.customer}: no difference to version {current.version}"
    return Report(content, join_lines(lines) or no_difference)


__all__ = ["run"]
