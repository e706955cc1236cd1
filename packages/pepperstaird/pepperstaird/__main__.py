"""The command line of the daemon."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Final

import cyclopts
from result import Err, Result

from pepperstair_core.config import Settings, parse_settings_toml
from pepperstair_core.schema import Fault

from . import light_imports

EXIT_OK: Final = 0
EXIT_BAD_INPUT: Final = 2

app = cyclopts.App(
    name="pepperstaird",
    help="Run the pepperstair daemon on this VM.",
    result_action="return_value",
)


def main() -> None:
    """Run the daemon, or only check its settings."""
    try:
        sys.exit(app(exit_on_error=False, print_error=False))
    except cyclopts.CycloptsError as error:
        print(" ".join(str(error).split()), file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)


@app.default
def run(
    *, settings: Path, check: Annotated[bool, cyclopts.Parameter(negative="")] = False
) -> int:
    """Read the settings and run until the daemon has stopped.

    Parameters
    ----------
    settings
        TOML file with the settings of this daemon.
    check
        Check the settings and exit.
    """
    read = read_settings(settings)
    if read.is_err():
        for fault in read.unwrap_err():
            print(f"{settings}: {fault}", file=sys.stderr)
        return EXIT_BAD_INPUT
    if check:
        print(f"{settings}: settings are valid")
        return EXIT_OK
    light_imports.leave_out()
    # Imported only now, since asyncio and structlog are what brings in the
    # libraries that have just been left out.
    from .daemon import run_daemon

    return run_daemon(read.unwrap())


def read_settings(path: Path) -> Result[Settings, list[Fault]]:
    """Read settings from a file; an unreadable file is one fault."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault("file", f"a readable TOML file ({error})")])
    return parse_settings_toml(text)


if __name__ == "__main__":
    main()
