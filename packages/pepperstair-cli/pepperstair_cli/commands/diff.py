"""`pepperstair diff`: compare an intent document with what is in force."""

from __future__ import annotations

import asyncio
import difflib
from pathlib import Path

from result import Ok, Result

from pepperstair_core.intent import Intent

from ..connection import Connection
from ..documents import (
    HeldIntent,
    fetch_intent_or_empty,
    intent_to_toml,
    read_intent_file,
)
from ..output import ExitCode, Refusal, Report, finish, join_lines


def run(file: Path, /, *, connection: Connection) -> ExitCode:
    """Show what applying a document would change.

    Parameters
    ----------
    file
        TOML intent document, or a document of the platform in JSON.
    """
    return finish(asyncio.run(_diff(file, connection)), connection.output)


async def _diff(file: Path, connection: Connection) -> Result[Report, Refusal]:
    read = read_intent_file(file)
    if read.is_err():
        return read
    held = await fetch_intent_or_empty(connection, read.unwrap().customer)
    if held.is_err():
        return held
    return Ok(_report(held.unwrap(), read.unwrap(), str(file)))


def _report(held: HeldIntent, intent: Intent, file: str) -> Report:
    lines = list(
        difflib.unified_diff(
            intent_to_toml(held.intent).splitlines(),
            intent_to_toml(intent).splitlines(),
            f"version {held.version}",
            file,
            lineterm="",
        )
    )
    content = {
        "customer": intent.customer,
        "version": held.version,
        "is_same": not lines,
        "lines": lines,
    }
    same = f"{intent.customer}: no difference to version {held.version}"
    return Report(content, join_lines(lines) or same)


__all__ = ["run"]
