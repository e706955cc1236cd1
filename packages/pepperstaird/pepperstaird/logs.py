"""Logs as one JSON line an event on standard output, never waited for."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from typing import Any, Final

import structlog

from pepperstair_core.events import Event

log = structlog.get_logger(__name__)

# A daemon writes some lines a second when all is well and one or two for each
# call that fails. Beyond this rate more lines would tell nothing new, and
# writing them would take processor time from the calls.
LINES_PER_S: Final = 200
LINES_BURST: Final = 1_000
_STANDARD_OUTPUT: Final = 1


class LineWriter:
    """Writes lines to a file descriptor that may not take them.

    Whatever reads the logs can be slow or stand still. A blocked write would
    hold up every call of the VM, so what can't be written at once is dropped;
    the next line that can be written says how many were.
    """

    def __init__(
        self, descriptor: int, now_s: Callable[[], float] = time.monotonic
    ) -> None:
        self._descriptor = descriptor
        self._now_s = now_s
        self._n_tokens = float(LINES_BURST)
        self._filled_s = now_s()
        self.n_dropped = 0

    def msg(self, line: str) -> None:
        """Write one line, or drop it."""
        if not self._take_token():
            self.n_dropped += 1
            return
        if self.n_dropped:
            line = (
                f'{line}\n{{"event": "{Event.LINES_DROPPED}", "n": {self.n_dropped}}}'
            )
        try:
            os.write(self._descriptor, f"{line}\n".encode())
        except OSError:
            # Nobody reads (a full or closed pipe): there is nowhere to say so.
            self.n_dropped += 1
            return
        self.n_dropped = 0

    debug = info = warning = error = critical = exception = msg

    def _take_token(self) -> bool:
        now_s = self._now_s()
        self._n_tokens += (now_s - self._filled_s) * LINES_PER_S
        self._n_tokens = min(float(LINES_BURST), self._n_tokens)
        self._filled_s = now_s
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True


def configure_logs(vm: str) -> None:
    """Set structlog up for this process; every line names the VM."""
    os.set_blocking(_STANDARD_OUTPUT, False)
    writer = LineWriter(_STANDARD_OUTPUT)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *arguments: writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)


def log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log what a task or callback raised and nobody took, as the loop reports it.

    asyncio's own handler would print a traceback of many lines among the JSON,
    which log collectors drop or cut, so that nobody would see the fault.
    """
    log.error(
        Event.INTERNAL_ERROR,
        reason=context.get("message", ""),
        exc_info=context.get("exception"),
    )


__all__ = [
    "LINES_BURST",
    "LINES_PER_S",
    "LineWriter",
    "configure_logs",
    "log_loop_error",
]
