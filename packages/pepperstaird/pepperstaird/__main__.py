"""Command line of the daemon."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Final, NoReturn

from result import Err, Result

from pepperstair_core.config import Settings, parse_settings_toml
from pepperstair_core.schema import Fault

from . import light_imports
from .early_listening import open_listening_socket
from .hangup import ignore_hangup

EXIT_OK: Final = 0
EXIT_BAD_INPUT: Final = 2


class _Parser(argparse.ArgumentParser):
    """Reports invalid arguments on one line, without the usage text."""

    def error(self, message: str) -> NoReturn:
        print(f"{self.prog}: {message}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)


def main() -> None:
    """Parse the arguments, run the daemon and exit with its exit code."""
    ignore_hangup()
    # This parser is based on argparse, not on cyclopts, which the operators' command
    # line uses: cyclopts would take 3 MB of the daemon's memory limit of 32 MB for two
    # options.
    parser = _Parser(
        prog="pepperstaird",
        description="Run the pepperstair daemon on this VM.",
        allow_abbrev=False,
    )
    parser.add_argument(
        "--settings",
        type=Path,
        required=True,
        metavar="FILE",
        help="TOML file with the settings of this daemon",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    arguments = parser.parse_args()
    sys.exit(run(arguments.settings, arguments.check))


def run(settings: Path, check: bool) -> int:
    """Run the daemon until it stops, or only check its settings.

    Return the exit code of the process.
    """
    parsed = read_settings(settings)
    if parsed.is_err():
        for fault in parsed.unwrap_err():
            print(f"{settings}: {fault}", file=sys.stderr)
        return EXIT_BAD_INPUT
    if check:
        print(f"{settings}: settings are valid")
        return EXIT_OK
    light_imports.block_imports()
    callers_socket = open_listening_socket(parsed.unwrap().callers.address)
    # Imported after `block_imports`: these modules import asyncio and structlog, which
    # would otherwise import the blocked libraries.
    from .product import product_dependencies
    from .running import run_daemon

    return run_daemon(parsed.unwrap(), product_dependencies(), callers_socket)


def read_settings(path: Path) -> Result[Settings, list[Fault]]:
    """Return the settings in a file, or its faults; an unreadable file is one fault."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault("file", f"a readable TOML file ({error})")])
    return parse_settings_toml(text)


if __name__ == "__main__":
    main()
