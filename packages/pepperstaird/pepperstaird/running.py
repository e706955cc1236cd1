"""The process around a daemon: its event loop, its signals and its exit code."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Final

import structlog

from pepperstair_core.config import Settings
from pepperstair_core.events import Event

from .daemon import Daemon
from .edges import Edges
from .logs import configure_logs, log_loop_error

log = structlog.get_logger(__name__)

EXIT_START_FAILED: Final = 1
_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
_SIGNALS: Final = (*_STOP_SIGNALS, signal.SIGHUP)


def run_daemon(
    settings: Settings, edges: Edges, opened: socket.socket | None = None
) -> int:
    """Run a daemon until SIGTERM or SIGINT and return its exit code.

    `opened` is the socket for callers, where it listens already.
    """
    configure_logs(settings.vm.name)
    return asyncio.run(_run_until_signal(settings, edges, opened))


async def _run_until_signal(
    settings: Settings, edges: Edges, opened: socket.socket | None
) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_loop_error)
    stopping = asyncio.Event()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    daemon = Daemon(settings, edges)
    loop.add_signal_handler(signal.SIGHUP, lambda: edges.reload(daemon))
    try:
        await daemon.start(opened)
    except OSError as error:
        # Another process holds an address, or it is none of this VM: without
        # this, the operator would search a traceback for which it was.
        log.error(Event.START_FAILED, reason=str(error))
        return EXIT_START_FAILED
    await stopping.wait()
    await daemon.stop()
    _ignore_signals(loop)
    return 0


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Let no signal end the process between its loop's end and its own.

    A closed loop leaves each signal with its default, which would end a daemon that
    has stopped cleanly with an error code, and its operator would look for a crash.
    """
    for number in _SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


__all__ = ["EXIT_START_FAILED", "run_daemon"]
