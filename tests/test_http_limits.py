"""Limits of the HTTP server, and asking clients to close their connections."""

from __future__ import annotations

import asyncio

import pytest

from pepperstair_http import HttpServer, ServerLimits
from tests.test_http_server import echo, sending_client, serve

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
def test_request_with_ambiguous_length_is_refused(framing):
    """Guards against request smuggling: a request states its body's end in two ways.

    A proxy and a server may disagree on the end, so that the server would run a part of
    the body as a request that the client never sent.
    """
    head = b"POST /a HTTP/1.1\r\nhost: x\r\n" + framing + b"\r\n"
    smuggled = b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"
    answer = serve(sending_client(head + smuggled))
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"smuggled" not in answer


def test_slow_head_is_answered_with_408():
    """A client sends its head in small pieces and is never silent for long."""

    async def client(reader, writer) -> bytes:
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n")
        read_task = asyncio.create_task(reader.read())
        while not read_task.done():
            writer.write(b"a: b\r\n")
            await asyncio.sleep(0.02)
        return await read_task

    assert serve(client, limits=LIMITS).startswith(b"HTTP/1.1 408")


def test_client_is_asked_to_close_and_still_served():
    """A daemon is stopping, and its callers have not been notified yet.

    If its listener closed immediately, callers would have connections refused for
    requests that could still be answered.
    """

    async def scenario() -> tuple[bytes, bytes]:
        server = HttpServer(echo, ServerLimits())
        port = await server.listen("127.0.0.1", 0)
        _, idle_writer = await asyncio.open_connection("127.0.0.1", port)
        server.request_connection_close()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /late HTTP/1.1\r\nhost: x\r\n\r\n")
        answer = await reader.read()
        is_idle_open = not idle_writer.transport.is_closing()
        server.close()
        return answer, is_idle_open

    answer, is_idle_open = asyncio.run(asyncio.wait_for(scenario(), 10))
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in answer.lower()
    assert is_idle_open
