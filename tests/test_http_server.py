"""The HTTP server with misbehaving clients, over loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from pepperstair_http import BodyBuffer, Exchange, HttpServer, ServerLimits

TEXT = ((b"content-type", b"text/plain"),)
SHORT = ServerLimits(n_connections_max=2, header_max_bytes=1024, idle_timeout_ms=200)
Client = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bytes]]


async def echo(exchange: Exchange) -> None:
    """Answer with the path and the body."""
    body = await exchange.body.read_all(1_000_000) or b""
    await exchange.respond(200, TEXT, exchange.request.path.encode() + b":" + body)


def serve(client: Client, handler=echo, limits: ServerLimits = SHORT, servers=None):
    """Run a client against a server and return the client's result.

    The server is appended to the list `servers`, so that the client can access it.
    """

    async def run():
        server = HttpServer(handler, limits)
        if servers is not None:
            servers.append(server)
        port = await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            async with asyncio.timeout(10):
                return await client(reader, writer)
        finally:
            writer.close()
            server.close()

    return asyncio.run(run())


def sending_client(data: bytes) -> Client:
    """Return a client that sends `data` and reads until the server closes."""

    async def client(reader, writer) -> bytes:
        writer.write(data)
        return await reader.read()

    return client


CLOSE = b"host: x\r\nconnection: close\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: a\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nhost: x\r\nx: " + b"a" * 2000, b"431"),
    ],
)
def test_malformed_request_is_refused_and_the_connection_closed(data, status):
    """A broken or malicious client sends bytes that are not a valid HTTP request.

    It gets one answer, which states that nothing ran. The connection is closed, as the
    rest of the bytes could be parsed as a request.
    """
    answer = serve(sending_client(data))
    assert answer.split(b" ")[1] == status
    assert b"pepperstair-run: no" in answer


def test_pipelined_requests_are_answered_in_order():
    first = b"POST /1 HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nab"
    answer = serve(sending_client(first + b"GET /2 HTTP/1.1\r\n" + CLOSE + b"\r\n"))
    assert answer.index(b"/1:ab") < answer.index(b"/2:")


def test_unread_body_is_never_parsed_as_a_request():
    """A handler refuses a request early while its body is still arriving.

    If the connection stayed open, the bytes of the body would be parsed as the next
    request, and the client would match the answer with the wrong request.
    """

    async def refuse(exchange: Exchange) -> None:
        await exchange.respond(413, TEXT, b"too large")

    inner = b"GET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"
    head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n"
    assert serve(sending_client(head + inner), refuse).count(b"HTTP/1.1") == 1


def test_refusal_reaches_a_client_that_is_still_sending():
    """A handler refuses a large upload while the client is still sending it.

    An immediate close would reset the connection, and the client would report a network
    error instead of the reason for the refusal.
    """

    async def refuse(exchange: Exchange) -> None:
        await exchange.respond(413, TEXT, b"too large")

    async def client(reader, writer) -> bytes:
        writer.write(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3000000\r\n\r\n")
        for _ in range(30):
            writer.write(bytes(100_000))
            await asyncio.sleep(0.002)
        return await reader.read()

    assert serve(client, refuse).endswith(b"too large")


def test_answer_to_head_has_no_body():
    async def stream(exchange: Exchange) -> None:
        headers = (*TEXT, (b"content-length", b"4"))
        await exchange.stream(200, headers, BodyBuffer.of(b"body"))

    answer = serve(sending_client(b"HEAD / HTTP/1.1\r\n" + CLOSE + b"\r\n"), stream)
    assert answer.endswith(b"\r\n\r\n")


def test_truncated_answer_resets_the_connection():
    """A target exits in the middle of a chunked answer.

    The caller must see a connection reset: with a regular end, it would accept half of
    the answer as a complete one.
    """

    async def truncate(exchange: Exchange) -> None:
        body = BodyBuffer()
        body.feed(b"half")
        body.fail(ConnectionResetError("cut"))
        headers = ((b"transfer-encoding", b"chunked"),)
        await exchange.stream(200, headers, body)

    async def client(reader, writer) -> bytes:
        writer.write(b"GET / HTTP/1.1\r\n" + CLOSE + b"\r\n")
        with pytest.raises(ConnectionResetError):
            while await reader.read(100):
                pass
        return b""

    serve(client, truncate)


def test_continue_is_sent_only_when_the_body_is_read():
    async def client(reader, writer) -> bytes:
        head = b"POST / HTTP/1.1\r\n" + CLOSE + b"content-length: 2\r\n"
        writer.write(head + b"expect: 100-continue\r\n\r\n")
        assert b"100" in await reader.readuntil(b"\r\n\r\n")
        writer.write(b"ok")
        return await reader.read()

    assert serve(client).endswith(b"/:ok")


@pytest.mark.parametrize(
    "data",
    [b"", b"GET / HT", b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nab"],
)
def test_silent_client_is_disconnected(data):
    """A client vanishes without closing, or sends its request byte by byte.

    Without a timeout, such connections would accumulate up to the connection limit, and
    all other clients would be refused.
    """

    async def client(reader, writer) -> bytes:
        writer.write(data)
        try:
            return await reader.read()
        except ConnectionResetError:
            return b""

    assert serve(client) == b""


def test_client_that_stops_reading_is_closed():
    """A caller requests a large answer and never reads it.

    Without a timeout, the answer would occupy memory and a slot of the target for ever.
    """

    async def send_large(exchange: Exchange) -> None:
        body = BodyBuffer.of(bytes(50_000_000))
        await exchange.stream(200, ((b"content-length", b"50000000"),), body)

    async def client(reader, writer) -> bytes:
        writer.transport.pause_reading()
        writer.write(b"GET / HTTP/1.1\r\n" + CLOSE + b"\r\n")
        while not servers[0].counters.n_stalled:
            await asyncio.sleep(0.05)
        writer.transport.resume_reading()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(50_000_000)
        return b""

    servers = []
    serve(client, send_large, servers=servers)


def test_connections_over_the_limit_are_refused_as_not_run():
    """One client keeps opening connections.

    Without a limit, the process would run out of file descriptors, and the kernel would
    refuse all other clients without an answer.
    """

    async def client(reader, writer) -> bytes:
        port = writer.get_extra_info("peername")[1]
        others = [await asyncio.open_connection("127.0.0.1", port) for _ in range(2)]
        answer = await others[1][0].read()
        for _, other in others:
            other.close()
        return answer

    answer = serve(client)
    assert answer.startswith(b"HTTP/1.1 503") and b"pepperstair-run: no" in answer


def test_draining_server_finishes_the_answer_in_progress():
    """A daemon is stopped while a caller waits for its answer.

    The caller gets the complete answer with `connection: close`, so that it opens its
    next connection to another daemon.
    """
    servers = []

    async def slow(exchange: Exchange) -> None:
        servers[0].drain()
        await asyncio.sleep(0.05)
        await exchange.respond(200, TEXT, b"done")

    async def run() -> bytes:
        servers.append(HttpServer(slow, SHORT))
        port = await servers[0].listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        answer = await reader.read()
        writer.close()
        return answer

    answer = asyncio.run(run())
    assert b"connection: close" in answer and answer.endswith(b"done")
