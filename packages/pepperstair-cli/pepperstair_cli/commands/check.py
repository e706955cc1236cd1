"""`pepperstair check`: check settings or an intent document without a daemon."""

from __future__ import annotations

import tomllib
from pathlib import Path

from result import Ok, Result

from pepperstair_core.config import parse_settings_toml
from pepperstair_core.intent import parse_intent_toml

from ..connection import Output
from ..documents import is_foreign, read_intent_file, read_text
from ..output import ExitCode, Refusal, Report, finish, refuse_faults


def run(file: Path, /, *, output: Output = "text") -> ExitCode:
    """Check a file and list every fault in it.

    Parameters
    ----------
    file
        Settings of a daemon or an intent document in TOML, or a document of the
        platform in JSON.
    """
    return finish(_check(file), output)


def _check(file: Path) -> Result[Report, Refusal]:
    if is_foreign(file):
        return read_intent_file(file).map(lambda _: _valid(file, "intent"))
    read = read_text(file)
    if read.is_err():
        return read
    text = read.unwrap()
    is_settings = _is_settings(text)
    parsed = (parse_settings_toml if is_settings else parse_intent_toml)(text)
    if parsed.is_err():
        return refuse_faults(str(file), parsed.unwrap_err())
    kind = "settings" if is_settings else "intent"
    return Ok(_valid(file, kind))


def _valid(file: Path, kind: str) -> Report:
    content = {"file": str(file), "kind": kind, "is_valid": True}
    return Report(content, f"{file}: valid {kind}")


def _is_settings(text: str) -> bool:
    """Return whether a document is settings: only an intent names a customer."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return False
    return "customer" not in table and "vm" in table


__all__ = ["run"]
