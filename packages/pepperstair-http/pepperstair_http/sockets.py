"""TCP options that detect unreachable peers."""

from __future__ import annotations

import asyncio
import socket
from typing import Final

# A peer that lost power or network access acknowledges nothing. By default, the kernel
# would retransmit for a quarter of an hour; with these settings it closes the
# connection within seconds.
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_N_KEEPALIVE_PROBES: Final = 2


def detect_dead_peer(transport: asyncio.BaseTransport, unacknowledged_ms: int) -> None:
    """Make a connection fail if its peer no longer acknowledges data.

    Sent data may stay unacknowledged for up to `unacknowledged_ms`. A middlebox
    between the two ends may drop the state of a connection; without these options,
    each request sent on it would wait until its deadline.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _N_KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


__all__ = ["detect_dead_peer"]
