"""The command line of the daemon."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Final, NoReturn

from result import Err, Result

from pepperstair_core.config import Settings, parse_settings_toml
from pepperstair_core.schema import Fault

from . import light_imports
from .early_listening import listen_at
from .hangup import ignore_hangup

EXIT_OK: Final = 0
EXIT_BAD_INPUT: Final = 2


class _Parser(argparse.ArgumentParser):
    """Says what is wrong with the arguments on one line."""

    def error(self, message: str) -> NoReturn:
        print(f"{self.prog}: {message}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)


def main() -> None:
    """Run the daemon, or only check its settings."""
    ignore_hangup()
    # The operators' command line uses cyclopts. Here it would cost 3 of the
    # 32 MB that the daemon may use, for two options.
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
    """Read the settings and run until the daemon has stopped."""
    read = read_settings(settings)
    if read.is_err():
        for fault in read.unwrap_err():
            print(f"{settings}: {fault}", file=sys.stderr)
        return EXIT_BAD_INPUT
    if check:
        print(f"{settings}: settings are valid")
        return EXIT_OK
    light_imports.leave_out()
    opened = listen_at(read.unwrap().callers.address)
    # Imported only now, since asyncio and structlog are what brings in the
    # libraries that have just been left out.
    from .product import product_edges
    from .running import run_daemon

    return run_daemon(read.unwrap(), product_edges(), opened)


def read_settings(path: Path) -> Result[Settings, list[Fault]]:
    """Read settings from a file; an unreadable file is one fault."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault("file", f"a readable TOML file ({error})")])
    return parse_settings_toml(text)


if __name__ == "__main__":
    main()
