"""Calls of the platform that are repeated until it answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import structlog
from result import Result

from pepperstair_core.errors import Failure

log = structlog.get_logger(__name__)

T = TypeVar("T")

_RETRY_MIN_S: Final = 0.1
_RETRY_MAX_S: Final = 2.0


async def call_until_answered(call: Callable[[], Awaitable[Result[T, Failure]]]) -> T:
    """Call the platform until it answers, less and less often, and return its answer.

    The platform's client counts each failure.
    """
    retry_s = _RETRY_MIN_S
    while True:
        answered = await call()
        if answered.is_ok():
            return answered.unwrap()
        await asyncio.sleep(retry_s)
        retry_s = min(_RETRY_MAX_S, 2 * retry_s)


__all__ = ["call_until_answered"]
