"""`pepperstair apply`: send an intent document to the fleet."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ..changes import ChangeOptions, send_change
from ..connection import Connection
from ..documents import read_intent_file
from ..output import ExitCode, print_result

_NO_OPTIONS = ChangeOptions()


def run(
    file: Path, /, *, connection: Connection, options: ChangeOptions = _NO_OPTIONS
) -> ExitCode:
    """Apply an intent document.

    Parameters
    ----------
    file
        TOML intent document.
    """
    read = read_intent_file(file)
    if read.is_err():
        return print_result(read, connection.output)
    result = asyncio.run(send_change(connection, read.unwrap(), options))
    return print_result(result, connection.output)


__all__ = ["run"]
