"""`pepperstair apply`: hand an intent document to the fleet."""

from __future__ import annotations

import asyncio
from pathlib import Path

from ..changes import ChangeOptions, send_change
from ..connection import Connection
from ..documents import read_intent_file
from ..output import ExitCode, finish

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
        return finish(read, connection.output)
    sent = asyncio.run(send_change(connection, read.unwrap(), options))
    return finish(sent, connection.output)


__all__ = ["run"]
