"""The command line of the naive daemon."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from pepperstaird import light_imports


def main() -> None:
    """Run the naive daemon on a settings file until SIGTERM."""
    parser = argparse.ArgumentParser(prog="benchmarks.naive", description=__doc__)
    parser.add_argument("--settings", type=Path, required=True, help="TOML file")
    path = parser.parse_args().settings
    light_imports.block_imports()
    from pepperstair_core.config import parse_settings_toml
    from pepperstaird.logs import configure_logs

    from .daemon import run_naive_daemon

    settings = parse_settings_toml(path.read_text()).unwrap()
    configure_logs(settings.vm.name)
    sys.exit(asyncio.run(run_naive_daemon(settings)))


if __name__ == "__main__":
    main()
