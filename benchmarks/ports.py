"""Ports for processes under test, distinct between test processes side by side."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Iterator
from typing import Final

_PORTS: Final = range(10_000, 32_000)
_N_BLOCK_PORTS: Final = 200
_HOST: Final = "127.0.0.1"


class Ports:
    """Draws ports from blocks of which each belongs to one process.

    A process claims a block by a socket that is bound to the first port of the block
    for as long as the process lives. All ports lie below the kernel's ephemeral port
    range. Otherwise an outgoing connection could occupy the port of a killed daemon
    before it is restarted, and the owner of that connection would answer calls meant
    for the daemon.

    >>> ports = Ports()
    >>> ports.take() != ports.take()
    True
    """

    def __init__(self) -> None:
        self._claims: list[socket.socket] = []
        self._ports: Iterator[int] = iter(())

    def take(self) -> int:
        """Return a port on which nothing listens; each call returns a different one."""
        while True:
            for port in self._ports:
                if _bind(port) is not None:
                    return port
            self._ports = iter(self._claim_block())

    def close(self) -> None:
        """Give the claimed blocks up."""
        for claim in self._claims:
            claim.close()

    def _claim_block(self) -> range:
        """Claim a block and return its ports but the one that claims it.

        Raises
        ------
        RuntimeError
            If other processes hold all blocks.
        """
        firsts = list(_PORTS[::_N_BLOCK_PORTS])
        random.SystemRandom().shuffle(firsts)
        for first in firsts:
            claim = _bind(first, is_kept=True)
            if claim is not None:
                self._claims.append(claim)
                return range(first + 1, first + _N_BLOCK_PORTS)
        raise RuntimeError("other processes hold all blocks of ports")


def _bind(port: int, *, is_kept: bool = False) -> socket.socket | None:
    """Return a socket bound to a port, None if the port is in use."""
    bound = socket.socket()
    with contextlib.suppress(OSError):
        bound.bind((_HOST, port))
        if not is_kept:
            bound.close()
        return bound
    bound.close()
    return None


_ports = Ports()
free_port = _ports.take

__all__ = ["Ports", "free_port"]
