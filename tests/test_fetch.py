"""Fetching answers that arrive slowly."""

from __future__ import annotations

import asyncio

import pytest

from pepperstair_http import BodyBuffer, Exchange, Fetcher, HttpServer, ServerLimits

PART = b"x" * 1000
N_PARTS = 8


def fetch_in_parts(gap_s: float, timeout_ms: int) -> bytes:
    """Fetch a body whose parts are sent at intervals of `gap_s`, and return it."""

    async def scenario() -> bytes:
        async def answer(exchange: Exchange) -> None:
            body = BodyBuffer()
            send_task = asyncio.create_task(send(body))
            await exchange.stream(200, ((b"transfer-encoding", b"chunked"),), body)
            await send_task

        async def send(body) -> None:
            for _ in range(N_PARTS):
                body.feed(PART)
                await asyncio.sleep(gap_s)
            body.finish()

        server = HttpServer(answer, ServerLimits())
        port = await server.listen("127.0.0.1", 0)
        fetcher = Fetcher("127.0.0.1", port, timeout_ms)
        try:
            return (await fetcher.fetch("GET", "/")).body
        finally:
            fetcher.close()
            server.close()

    return asyncio.run(scenario())


def test_large_answer_is_received_if_each_part_arrives_in_time():
    """Guards against a timeout for the whole answer in place of one for each part.

    A large answer over a slow link takes longer than the timeout. Cancelled as a whole,
    it would be requested again and again and never be received.
    """
    assert fetch_in_parts(gap_s=0.2, timeout_ms=1000) == PART * N_PARTS


def test_stalled_answer_times_out():
    """The server stops sending in the middle of its answer."""
    with pytest.raises(TimeoutError):
        fetch_in_parts(gap_s=5.0, timeout_ms=300)
