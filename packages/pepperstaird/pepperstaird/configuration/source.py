"""Carries out the distribution's reads at the platform."""

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
    bucket_of_token_key,
    bucket_tokens_prefix,
    head_from_row,
    head_key,
    head_prefix,
)

log = structlog.get_logger(__name__)

_ALL_HEADS: Final = "head/"


class ConfigurationSource:
    """Reads bells, heads and bodies, and tells what came of each read."""

    def __init__(
        self, platform: Platform, on_event: Callable[[DistributionEvent], None]
    ) -> None:
        self._platform = platform
        self._on_event = on_event
        self._tasks: set[asyncio.Task[None]] = set()
        self._running: set[Action] = set()
        self.is_reachable = True

    def close(self) -> None:
        """Give up every read."""
        for task in self._tasks:
            task.cancel()

    def start(self, action: Action) -> None:
        """Begin a read, unless the same one is still under way.

        While the platform is slow the same read falls due again and again;
        without this check they would pile up until memory runs out.
        """
        if action in self._running:
            return
        self._running.add(action)
        task = asyncio.get_running_loop().create_task(self._run(action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, action: Action) -> None:
        try:
            event = await self._read(action)
        finally:
            self._running.discard(action)
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
        self._note(read.is_ok())
        if read.is_err():
            return BucketTokensRead(None)
        return BucketTokensRead(
            {bucket_of_token_key(row): row.value for row in read.unwrap()}
        )

    async def _read_heads(self, bucket: int | None, number: int) -> DistributionEvent:
        prefix = _ALL_HEADS if bucket is None else head_prefix(bucket)
        read = await self._platform.read_rows(prefix)
        self._note(read.is_ok())
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

    def _note(self, is_reachable: bool) -> None:
        """Log when the platform goes out and when it is back, once each."""
        if is_reachable != self.is_reachable:
            self.is_reachable = is_reachable
            if is_reachable:
                log.info(Event.PLATFORM_RECOVERED)
            else:
                log.warning(Event.PLATFORM_UNAVAILABLE)


__all__ = ["ConfigurationSource"]
