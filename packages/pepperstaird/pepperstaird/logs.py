"""Logs as one JSON line an event on standard error."""

from __future__ import annotations

import sys

import structlog


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


__all__ = ["configure_logs"]
