"""Listening for callers before anything else of the daemon is there.

A daemon that was killed comes back after a while, most of which its imports take.
Callers that try to connect meanwhile are turned away by the system, and those with few
retries have used them up before the daemon is there. With the address open from the
first moment, their connections wait for the rest of the start.
"""

from __future__ import annotations

import socket
import tomllib
from typing import Final

# As of the server that takes the socket over, which is not imported yet.
_BACKLOG: Final = 1024


def open_callers_socket(text: str) -> socket.socket | None:
    """Return a socket that listens at the callers' address, or None.

    `text` holds settings that are not read yet. What is wrong with them is reported
    when they are.
    """
    try:
        address = str(tomllib.loads(text)["callers"]["address"])
    except (tomllib.TOMLDecodeError, KeyError, TypeError):
        return None
    return listen_at(address)


def listen_at(address: str) -> socket.socket | None:
    """Return a socket that listens at an address, or None.

    Whatever is wrong with the address is reported by the start itself, which then
    tries for itself.
    """
    host, found, port = address.rpartition(":")
    if not found or not port.isdecimal():
        return None
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        # Connections of the process before it may still be closing.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, int(port)))
        opened.listen(_BACKLOG)
    except (OSError, OverflowError):
        opened.close()
        return None
    return opened


__all__ = ["listen_at", "open_callers_socket"]
