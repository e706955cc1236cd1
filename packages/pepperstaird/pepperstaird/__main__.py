"""The command line of the daemon."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path
from typing import Final

from result import Err, Result

from pepperstair_core.config import Settings, parse_settings_toml
from pepperstair_core.schema import Fault

from . import without_rich as without_rich
from .logs import configure_logs

EXIT_OK: Final = 0
EXIT_BAD_SETTINGS: Final = 2


def main() -> None:
    """Run the daemon, or only check its settings."""
    parser = argparse.ArgumentParser(
        prog="pepperstaird", description="Run the pepperstair daemon on this VM."
    )
    parser.add_argument("--settings", type=Path, required=True, help="TOML file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    arguments = parser.parse_args()
    sys.exit(run(arguments.settings, arguments.check))


def run(path: Path, is_check: bool) -> int:
    """Read the settings and run until the daemon has stopped."""
    read = read_settings(path)
    if read.is_err():
        for fault in read.unwrap_err():
            print(f"{path}: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if is_check:
        print(f"{path}: settings are valid")
        return EXIT_OK
    from .daemon import run_daemon

    configure_logs(read.unwrap().vm.name)
    return asyncio.run(run_daemon(read.unwrap()))


def read_settings(path: Path) -> Result[Settings, list[Fault]]:
    """Read settings from a file; an unreadable file is one fault."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault("file", f"a readable TOML file ({error})")])
    return parse_settings_toml(text)


if __name__ == "__main__":
    main()
