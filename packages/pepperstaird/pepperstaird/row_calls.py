"""Operations that are shared by all kinds of rows on the platform."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterable
from typing import Final, TypeVar

import structlog
from result import Result

from pepperstair_core.errors import Failure
from pepperstair_platform import RowTable

log = structlog.get_logger(__name__)

T = TypeVar("T")

_RETRY_MIN_S: Final = 0.1
_RETRY_MAX_S: Final = 2.0
# Maximum number of obsolete rows that one daemon deletes at a time; the other daemons
# delete further rows.
_DELETE_BATCH_MAX: Final = 10


async def call_until_answered(call: Callable[[], Awaitable[Result[T, Failure]]]) -> T:
    """Call the platform until a call succeeds, and return its value.

    Retries use exponential backoff. The platform's client counts each failure.
    """
    retry_s = _RETRY_MIN_S
    while True:
        answered = await call()
        if answered.is_ok():
            return answered.unwrap()
        await asyncio.sleep(retry_s)
        retry_s = min(_RETRY_MAX_S, 2 * retry_s)


async def delete_batch(table: RowTable, keys: Iterable[str]) -> None:
    """Delete the first `_DELETE_BATCH_MAX` of the given obsolete rows."""
    for key in itertools.islice(keys, _DELETE_BATCH_MAX):
        await table.delete_row(key)


__all__ = ["call_until_answered", "delete_batch"]
