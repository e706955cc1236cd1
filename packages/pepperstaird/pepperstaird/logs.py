"""Logs as one JSON line an event on standard error."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import structlog

from pepperstair_core.events import Event

log = structlog.get_logger(__name__)


def configure_logs(vm: str) -> None:
    """Set structlog up for this process; every line names the VM."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
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


__all__ = ["configure_logs", "log_loop_error"]
