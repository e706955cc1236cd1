"""`pepperstair check`: check settings or an intent document without a daemon."""

from __future__ import annotations

import tomllib
from pathlib import Path

from result import Ok, Result

from pepperstair_core.config import parse_settings_toml
from pepperstair_core.intent import parse_intent_toml

from ..connection import Output
from ..documents import is_platform_document, read_intent_file, read_text
from ..output import CommandFailure, ExitCode, Report, invalid_document, print_result


def run(file: Path, /, *, output: Output = "text") -> ExitCode:
    """Check a file and list every fault in it.

    Parameters
    ----------
    file
        Settings of a daemon or an intent document in TOML, or a platform document
        in JSON.
    """
    return print_result(_check(file), output)


def _check(file: Path) -> Result[Report, CommandFailure]:
    if is_platform_document(file):
        return read_intent_file(file).map(lambda _: _valid(file, "intent"))
    read = read_text(file)
    if read.is_err():
        return read
    text = read.unwrap()
    is_settings = _is_settings(text)
    parsed = (parse_settings_toml if is_settings else parse_intent_toml)(text)
    if parsed.is_err():
        return invalid_document(str(file), parsed.unwrap_err())
    kind = "settings" if is_settings else "intent"
    return Ok(_valid(file, kind))


def _valid(file: Path, kind: str) -> Report:
    content = {"file": str(file), "kind": kind, "is_valid": True}
    return Report(content, f"{file}: valid {kind}")


def _is_settings(text: str) -> bool:
    """Return whether a TOML document holds settings of a daemon.

    Intent documents have the key `customer`, which settings never have.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return False
    return "customer" not in table and "vm" in table


__all__ = ["run"]
