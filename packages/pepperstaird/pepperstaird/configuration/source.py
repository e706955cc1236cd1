"""Executes the reads that the distribution requests from the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

import structlog

from pepperstair_core.distribution import (
    Action,
    BucketTokensRead,
    DistributionEvent,
    FetchObject,
    HeadRead,
    HeadsRead,
    ObjectFetched,
    ReadBucketTokens,
    ReadHead,
    ReadHeads,
)
from pepperstair_core.events import Event
from pepperstair_core.versions import Head
from pepperstair_platform import (
    Platform,
    bucket_of_token_row,
    bucket_tokens_prefix,
    head_from_row,
    head_key,
    head_prefix,
)

log = structlog.get_logger(__name__)

_ALL_HEADS: Final = "head/"


class ConfigurationSource:
    """Reads bucket tokens, heads and objects, and reports each result as an event.

    A bucket token is the row `bell/<bucket>`, which changes whenever any head of the
    bucket changes.
    """

    def __init__(
        self, platform: Platform, on_event: Callable[[DistributionEvent], None]
    ) -> None:
        self._platform = platform
        self._on_event = on_event
        self._tasks: set[asyncio.Task[None]] = set()
        self._in_progress: set[Action] = set()
        self.is_reachable = True

    def close(self) -> None:
        """Cancel every read."""
        for task in self._tasks:
            task.cancel()

    def start(self, action: Action) -> None:
        """Start a read, unless the same one is still in progress.

        While the platform is slow, the same read becomes due repeatedly; without
        this check pending reads would accumulate until memory runs out.
        """
        if action in self._in_progress:
            return
        self._in_progress.add(action)
        task = asyncio.get_running_loop().create_task(self._run_read(action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_read(self, action: Action) -> None:
        try:
            event = await self._read(action)
        finally:
            self._in_progress.discard(action)
        self._on_event(event)

    def _read(self, action: Action) -> Coroutine[Any, Any, DistributionEvent]:
        match action:
            case ReadBucketTokens():
                return self._read_bucket_tokens()
            case ReadHeads(bucket, number):
                return self._read_heads(bucket, number)
            case ReadHead(customer):
                return self._read_head(customer)
            case FetchObject(head):
                return self._fetch_object(head)
        raise TypeError(f"not a read: {action!r}")

    async def _read_bucket_tokens(self) -> DistributionEvent:
        read = await self._platform.read_rows(bucket_tokens_prefix())
        self._log_reachability(read.is_ok())
        if read.is_err():
            return BucketTokensRead(None)
        return BucketTokensRead(
            {bucket_of_token_row(row): row.value for row in read.unwrap()}
        )

    async def _read_heads(self, bucket: int | None, number: int) -> DistributionEvent:
        prefix = _ALL_HEADS if bucket is None else head_prefix(bucket)
        read = await self._platform.read_rows(prefix)
        self._log_reachability(read.is_ok())
        if read.is_err():
            return HeadsRead(bucket, None, number)
        return HeadsRead(bucket, tuple(map(head_from_row, read.unwrap())), number)

    async def _read_head(self, customer: str) -> DistributionEvent:
        key = head_key(customer)
        read = await self._platform.read_rows(key, customer)
        rows = read.unwrap() if read.is_ok() else ()
        heads: list[Head] = [head_from_row(row) for row in rows if row.key == key]
        return HeadRead(customer, heads[0] if heads else None)

    async def _fetch_object(self, head: Head) -> DistributionEvent:
        read = await self._platform.get_object(head.digest, head.customer)
        return ObjectFetched(head, read.unwrap() if read.is_ok() else None)

    def _log_reachability(self, is_reachable: bool) -> None:
        """Log the start and the end of an outage of the platform, once each."""
        if is_reachable != self.is_reachable:
            self.is_reachable = is_reachable
            if is_reachable:
                log.info(Event.PLATFORM_RECOVERED)
            else:
                log.warning(Event.PLATFORM_UNAVAILABLE)


__all__ = ["ConfigurationSource"]
