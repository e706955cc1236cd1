"""Runs a daemon as a process: event loop, signals and exit code."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Final

import structlog

from pepperstair_core.config import Settings
from pepperstair_core.events import Event

from .daemon import Daemon
from .dependencies import DaemonDependencies
from .logs import configure_logs, log_loop_error

log = structlog.get_logger(__name__)

EXIT_START_FAILED: Final = 1
_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
_SIGNALS: Final = (*_STOP_SIGNALS, signal.SIGHUP)


def run_daemon(
    settings: Settings,
    dependencies: DaemonDependencies,
    callers_socket: socket.socket | None = None,
) -> int:
    """Run a daemon until SIGTERM or SIGINT and return its exit code.

    `callers_socket` is the listening socket for callers if it is already open.
    """
    configure_logs(settings.vm.name)
    return asyncio.run(_run_until_signal(settings, dependencies, callers_socket))


async def _run_until_signal(
    settings: Settings,
    dependencies: DaemonDependencies,
    callers_socket: socket.socket | None,
) -> int:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_loop_error)
    stop_requested = asyncio.Event()
    for signal_number in _STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    daemon = Daemon(settings, dependencies)
    loop.add_signal_handler(signal.SIGHUP, lambda: dependencies.reload(daemon))
    try:
        await daemon.start(callers_socket)
    except OSError as error:
        # An address is in use by another process or does not belong to this VM. The
        # reason names the address, so that the operator need not search a traceback.
        log.error(Event.START_FAILED, reason=str(error))
        return EXIT_START_FAILED
    await stop_requested.wait()
    await daemon.stop()
    _ignore_signals(loop)
    return 0


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore signals between the end of the event loop and the end of the process.

    Closing the event loop restores the default action of each signal, which ends the
    process. A signal after that would end a cleanly stopped daemon with an error code,
    and the operator would look for a crash that did not happen.
    """
    for signal_number in _SIGNALS:
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)


__all__ = ["EXIT_START_FAILED", "run_daemon"]
