"""Options of TCP connections that should not stay open in silence."""

from __future__ import annotations

import asyncio
import socket
from typing import Final

# A peer that lost power or is cut off acknowledges nothing. The kernel would go
# on sending for a quarter of an hour; these make it give up within seconds.
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_N_KEEPALIVE_PROBES: Final = 2


def notice_silence(transport: asyncio.BaseTransport, unacknowledged_ms: int) -> None:
    """Make a connection fail where its peer acknowledges nothing any more.

    `unacknowledged_ms` is how long bytes that were sent may stay without an
    acknowledgement. Something between two ends can lose track of a connection:
    without this, what is sent on it waits until the deadline of each request.
    """
    opened = transport.get_extra_info("socket")
    if opened is None or opened.family not in (socket.AF_INET, socket.AF_INET6):
        return
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, _N_KEEPALIVE_PROBES)
    opened.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


__all__ = ["notice_silence"]
