"""Whole requests to one address, and answers that come slowly."""

from __future__ import annotations

import asyncio

import pytest

from pepperstair_http import BodyBuffer, Exchange, Fetcher, HttpServer, ServerLimits

PART = b"x" * 1000
N_PARTS = 8


def fetch_slowly(gap_s: float, timeout_ms: int) -> bytes:
    """Fetch a body whose parts come with gaps, and return it."""

    async def scenario() -> bytes:
        async def answer(exchange: Exchange) -> None:
            body = BodyBuffer()
            sending = asyncio.create_task(send(body))
            await exchange.stream(200, ((b"transfer-encoding", b"chunked"),), body)
            await sending

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


def test_answer_that_keeps_coming_is_waited_for():
    """A large answer comes over a slow link: each part in time, all of them not.

    Given up as a whole it would be asked for again and again, and never be there.
    """
    assert fetch_slowly(gap_s=0.2, timeout_ms=1000) == PART * N_PARTS


def test_answer_that_stands_still_is_given_up():
    """The other end goes silent in the middle of its answer."""
    with pytest.raises(TimeoutError):
        fetch_slowly(gap_s=5.0, timeout_ms=300)
