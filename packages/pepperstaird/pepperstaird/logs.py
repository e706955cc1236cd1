"""Logging of events as JSON lines to standard output, without blocking."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from typing import Any, Final

import structlog

from pepperstair_core.events import Event

log = structlog.get_logger(__name__)

# Limits on the rate of log lines. A healthy daemon writes a few lines per second, and
# one or two for each failed call. Above this rate, further lines carry no new
# information, and writing them would take CPU time from the calls.
LINES_PER_S: Final = 200
LINES_BURST: Final = 1_000
_STDOUT_DESCRIPTOR: Final = 1


class LineWriter:
    """Writes lines to a non-blocking file descriptor and drops those it can't write.

    The reader of the logs may be slow or hang. A blocking write would delay every
    call of the VM, so a line that can't be written at once is dropped, and the next
    line that is written is followed by the number of dropped lines. Lines above
    `LINES_PER_S` are dropped too, beyond a burst of `LINES_BURST`.
    """

    def __init__(
        self, descriptor: int, now_s: Callable[[], float] = time.monotonic
    ) -> None:
        self._descriptor = descriptor
        self._now_s = now_s
        self._n_tokens = float(LINES_BURST)
        self._refilled_s = now_s()
        self.n_dropped = 0

    def msg(self, line: str) -> None:
        """Write one line, or drop and count it."""
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
            # The pipe is full or closed, so the error can't be logged either.
            self.n_dropped += 1
            return
        self.n_dropped = 0

    debug = info = warning = error = critical = exception = msg

    def _take_token(self) -> bool:
        now_s = self._now_s()
        self._n_tokens += (now_s - self._refilled_s) * LINES_PER_S
        self._n_tokens = min(float(LINES_BURST), self._n_tokens)
        self._refilled_s = now_s
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True


def configure_logs(vm: str) -> None:
    """Configure structlog for this process; every line names the VM."""
    os.set_blocking(_STDOUT_DESCRIPTOR, False)
    writer = LineWriter(_STDOUT_DESCRIPTOR)
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
    """Log an unhandled exception of a task or callback.

    The event loop calls this function as its exception handler. asyncio's default
    handler would print a traceback of many lines between the JSON lines. Log collectors
    drop or truncate such lines, so the error would go unnoticed.
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
