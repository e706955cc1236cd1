"""Opens the listening socket for callers before the rest of the daemon is imported.

Imports take most of the time to restart a killed daemon. Until the daemon listens, the
kernel refuses connections, and callers that retry only a few times exhaust their
retries. If the socket is open from the start, the connections of callers wait in its
backlog until the daemon accepts them.
"""

from __future__ import annotations

import socket
import tomllib
from typing import Final

# Equal to the backlog of HttpServer. HttpServer takes over the socket later but is not
# imported yet.
_BACKLOG: Final = 1024


def open_callers_socket(text: str) -> socket.socket | None:
    """Return a socket that listens on the callers' address, or None if that fails.

    `text` is the TOML text of settings that are not validated yet. Faults in it are
    reported later, when the settings are parsed.
    """
    try:
        address = str(tomllib.loads(text)["callers"]["address"])
    except (tomllib.TOMLDecodeError, KeyError, TypeError):
        return None
    return open_listening_socket(address)


def open_listening_socket(address: str) -> socket.socket | None:
    """Return a socket that listens on an address, or None if that fails.

    After a failure the daemon binds the address itself later in its start, and reports
    the error if that fails too.
    """
    host, separator, port = address.rpartition(":")
    if not separator or not port.isdecimal():
        return None
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # Otherwise `bind` fails while connections of the previous process are closing.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
    except (OSError, OverflowError):
        listener.close()
        return None
    return listener


__all__ = ["open_listening_socket", "open_callers_socket"]
