"""Graceful stop of a daemon, without cutting off calls in flight."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import structlog

from pepperstair_core.events import Event

from .clock import monotonic_ms, precise_ms

if TYPE_CHECKING:
    from .daemon import Daemon

log = structlog.get_logger(__name__)

_DRAIN_CHECK_INTERVAL_S: Final = 0.02
_FLUSH_S: Final = 0.1
_DEPARTURE_NOTICE_S: Final = 0.4


async def stop_daemon(daemon: Daemon) -> None:
    """Finish the calls in flight, refuse new calls, then close.

    A refused call is answered as not run.

    Whichever component routes callers to this daemon (such as a load balancer), and
    other daemons that send it calls, detect the stop with a delay. Therefore new calls
    are served as before until `stop_notice_ms` has passed.
    """
    log.info(Event.STOPPING)
    daemon.is_stopping = True
    calls = daemon.settings.calls
    stop_ms = calls.stop_notice_ms + calls.drain_timeout_ms
    daemon.stop_deadline_ms = precise_ms() + stop_ms
    daemon.publish_targets()
    daemon.callers.request_connection_close()
    await asyncio.sleep(calls.stop_notice_ms / 1000)
    daemon.runner.drain()
    daemon.callers.drain()
    daemon.control.leave()
    await asyncio.gather(daemon.member_table.remove_own(), _wait_for_calls(daemon))
    daemon.close()
    log.info(Event.STOPPED)


async def _wait_for_calls(daemon: Daemon) -> None:
    """Wait until no call is in flight, for at most the drain timeout.

    Other daemons receive the departure of this one with a delay. A call that they send
    in the meantime is refused as not run; if its stream were already closed, its
    outcome would be unknown to its caller.
    """
    timeout_ms = daemon.settings.calls.drain_timeout_ms
    deadline_ms = monotonic_ms() + timeout_ms
    await asyncio.sleep(min(_DEPARTURE_NOTICE_S, timeout_ms / 1000))
    while monotonic_ms() < deadline_ms:
        if not _has_calls_in_flight(daemon):
            # The last answers may still be in the buffers of their connections; closing
            # the connections now would truncate the answers.
            await asyncio.sleep(_FLUSH_S)
            return
        await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)
    daemon.proxy.fail_pending()
    await asyncio.sleep(_FLUSH_S)


def _has_calls_in_flight(daemon: Daemon) -> bool:
    """Return whether calls run on local targets or pass through this daemon."""
    parts = (daemon.runner, daemon.proxy, daemon.call_server, daemon.call_client)
    return any(part.n_in_flight for part in parts)


__all__ = ["stop_daemon"]
