"""An open-loop load: calls arrive whether or not earlier ones are answered."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass

from pepperstair_core.config import parse_address
from pepperstair_http import ClientConnection, ConnectionLostError, connect

from .report import percentile


@dataclass(frozen=True, slots=True)
class CallStream:
    """Calls of one kind: their paths, their rate and their deadline."""

    kind: str
    paths: tuple[str, ...]
    calls_per_s: float
    deadline_ms: float
    method: str = "GET"


@dataclass(frozen=True, slots=True)
class CallResult:
    """The outcome of one call; status 0 if it timed out or its connection failed."""

    kind: str
    status: int
    duration_ms: float
    is_in_time: bool


@dataclass(frozen=True, slots=True)
class Summary:
    """The goodput and latency of the calls of one kind."""

    n_offered: int
    good_percent: float
    p50_ms: float
    p99_ms: float


async def send_load(
    addresses: Sequence[str],
    streams: Sequence[CallStream],
    duration_s: float,
    rng: random.Random,
) -> list[CallResult]:
    """Send calls with Poisson arrivals for a duration and wait for all outcomes."""
    client = _Client(addresses)
    arrivals = sorted(_iter_arrivals(streams, duration_s, rng), key=lambda a: a[0])
    started_s = time.monotonic()
    tasks = []
    for number, (at_s, stream, path) in enumerate(arrivals):
        wait_s = started_s + at_s - time.monotonic()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        tasks.append(asyncio.create_task(client.call(stream, path, number)))
    results = await asyncio.gather(*tasks)
    client.close()
    return results


def summarise(results: Sequence[CallResult], kind: str) -> Summary:
    """Return goodput and latency of the calls of one kind."""
    calls = [call for call in results if call.kind == kind]
    good_ms = [call.duration_ms for call in calls if call.is_in_time]
    if not good_ms:
        return Summary(len(calls), 0.0, float("nan"), float("nan"))
    return Summary(
        len(calls),
        100 * len(good_ms) / len(calls),
        percentile(good_ms, 50),
        percentile(good_ms, 99),
    )


def _iter_arrivals(
    streams: Sequence[CallStream], duration_s: float, rng: random.Random
):
    for stream in streams:
        at_s = rng.expovariate(stream.calls_per_s)
        while at_s < duration_s:
            yield at_s, stream, rng.choice(stream.paths)
            at_s += rng.expovariate(stream.calls_per_s)


class _Client:
    """Callers that distribute calls round-robin over the daemons, with keep-alive."""

    def __init__(self, addresses: Sequence[str]) -> None:
        self._addresses = [parse_address(address) for address in addresses]
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {
            address: [] for address in self._addresses
        }

    async def call(self, stream: CallStream, path: str, number: int) -> CallResult:
        """Send one call and return its outcome."""
        address = self._addresses[number % len(self._addresses)]
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(2 * stream.deadline_ms / 1000):
                status = await self._exchange(address, stream, path, number)
        except (OSError, TimeoutError, ConnectionLostError):
            status = 0
        duration_ms = (time.monotonic() - started_s) * 1000
        is_in_time = status == 200 and duration_ms <= stream.deadline_ms
        return CallResult(stream.kind, status, duration_ms, is_in_time)

    async def _exchange(
        self, address: tuple[str, int], stream: CallStream, path: str, number: int
    ) -> int:
        connection = self._take_idle(address) or await connect(*address)
        try:
            headers = (
                (b"host", b"mesh"),
                (b"x-request-id", f"call-{number}".encode()),
                (b"pepperstair-timeout-ms", str(int(stream.deadline_ms)).encode()),
            )
            connection.start(stream.method, path, headers, b"")
            head = await connection.read_head()
            while await connection.body.read():
                pass
        except BaseException:
            connection.close()
            raise
        if connection.is_reusable:
            self._idle[address].append(connection)
        return head.status

    def _take_idle(self, address: tuple[str, int]) -> ClientConnection | None:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return None

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()


__all__ = ["CallResult", "CallStream", "Summary", "send_load", "summarise"]
