"""How a daemon stops without cutting anybody's work."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import structlog

from pepperstair_core.events import Event

from .clock import monotonic_ms, precise_ms

if TYPE_CHECKING:
    from .daemon import Daemon

log = structlog.get_logger(__name__)

_DRAIN_CHECK_S: Final = 0.02
_FLUSH_S: Final = 0.1
_NOTICE_S: Final = 0.4


async def stop_daemon(daemon: Daemon) -> None:
    """Finish what is in flight, refuse the rest as not run, then close.

    Whoever sends callers here, or calls of other daemons, hears of the stop
    a moment later; until then they are served as before.
    """
    log.info(Event.STOPPING)
    daemon.is_stopping = True
    calls = daemon.settings.calls
    stop_ms = calls.stop_notice_ms + calls.drain_timeout_ms
    daemon.stop_ends_ms = precise_ms() + stop_ms
    daemon.publish_targets()
    daemon.callers.ask_to_leave()
    await asyncio.sleep(calls.stop_notice_ms / 1000)
    daemon.runner.drain()
    daemon.callers.drain()
    daemon.control.leave()
    await asyncio.gather(daemon.member_table.remove_own(), _wait_for_calls(daemon))
    daemon.close()
    log.info(Event.STOPPED)


async def _wait_for_calls(daemon: Daemon) -> None:
    """Return once no call is in flight, or when the drain timeout ends.

    Other daemons need a moment to hear that this one leaves. A call that
    they send meanwhile is refused as not run; on a stream that is closed
    already, its outcome would be unknown to its caller.
    """
    timeout_ms = daemon.settings.calls.drain_timeout_ms
    deadline_ms = monotonic_ms() + timeout_ms
    await asyncio.sleep(min(_NOTICE_S, timeout_ms / 1000))
    while monotonic_ms() < deadline_ms:
        if not _is_busy(daemon):
            # The last answers may still stand in the buffers of their
            # connections; closing those now would cut them.
            await asyncio.sleep(_FLUSH_S)
            return
        await asyncio.sleep(_DRAIN_CHECK_S)
    daemon.proxy.fail_pending()
    await asyncio.sleep(_FLUSH_S)


def _is_busy(daemon: Daemon) -> bool:
    """Return whether calls are in flight, here or through this daemon."""
    parts = (daemon.runner, daemon.proxy, daemon.call_server, daemon.call_client)
    return any(part.n_in_flight for part in parts)


__all__ = ["stop_daemon"]
