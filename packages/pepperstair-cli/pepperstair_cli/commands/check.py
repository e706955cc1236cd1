"""`pepperstair check`: check settings or an intent document without a daemon."""

from __future__ import annotations

from pathlib import Path

from pepperstair_core.config import parse_settings_toml
from pepperstair_core.intent import parse_intent_toml

from ..output import ExitCode, show_faults


def run(file: Path) -> ExitCode:
    """Check a file and list every fault in it.

    Parameters
    ----------
    file
        Settings (with a `[vm]` table) or an intent document.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: expected a readable TOML file ({error})")
        return ExitCode.BAD_INPUT
    parse = parse_settings_toml if "[vm]" in text else parse_intent_toml
    parsed = parse(text)
    if parsed.is_err():
        return show_faults(str(file), parsed.unwrap_err())
    print(f"{file}: valid")
    return ExitCode.DONE


__all__ = ["run"]
