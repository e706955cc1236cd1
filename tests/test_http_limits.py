"""The HTTP server's limits, and how it asks its clients to leave."""

from __future__ import annotations

import asyncio

import pytest

from pepperstair_http import HttpServer, ServerLimits
from tests.test_http_server import echo, sending, serve

LIMITS = ServerLimits(header_max_bytes=1024, idle_timeout_ms=400, header_timeout_ms=150)


@pytest.mark.parametrize(
    "framing",
    [
        b"content-length: 4\r\ntransfer-encoding: chunked\r\n",
        b"transfer-encoding: chunked\r\ncontent-length: 4\r\n",
        b"content-length: 4\r\ncontent-length: 5\r\n",
    ],
    ids=["length and chunks", "chunks and length", "two lengths"],
)
def test_request_with_two_ends_is_refused(framing):
    """A request says in two ways where its body ends.

    Two readers may take different ones, and what one holds for the rest of the
    body the other would run as a request that nobody sent.
    """
    head = b"POST /a HTTP/1.1\r\nhost: x\r\n" + framing + b"\r\n"
    smuggled = b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"
    answered = serve(sending(head + smuggled))
    assert answered.startswith(b"HTTP/1.1 400")
    assert b"smuggled" not in answered


def test_head_that_comes_too_slowly_is_told_so():
    """A client sends its head byte by byte, never silent for long."""

    async def client(reader, writer) -> bytes:
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n")
        reading = asyncio.create_task(reader.read())
        while not reading.done():
            writer.write(b"a: b\r\n")
            await asyncio.sleep(0.02)
        return await reading

    assert serve(client, limits=LIMITS).startswith(b"HTTP/1.1 408")


def test_client_is_asked_to_leave_and_still_served():
    """A daemon is being stopped; its callers do not know yet.

    Were its listener closed at once, they would see refused connections for
    requests that could still be answered.
    """

    async def scenario() -> tuple[bytes, bytes]:
        server = HttpServer(echo, ServerLimits())
        port = await server.listen("127.0.0.1", 0)
        _, kept = await asyncio.open_connection("127.0.0.1", port)
        server.ask_to_leave()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /late HTTP/1.1\r\nhost: x\r\n\r\n")
        answered = await reader.read()
        is_kept = not kept.transport.is_closing()
        server.close()
        return answered, is_kept

    answered, is_kept = asyncio.run(asyncio.wait_for(scenario(), 10))
    assert answered.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in answered.lower()
    assert is_kept
