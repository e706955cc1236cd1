"""A minimal HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

HEAD_MAX_BYTES = 65_536
# Four fifths of the `idle_timeout_ms` of the cases' configurations, 15 s.
IDLE_MAX_S = 12.0


@dataclass
class Message:
    """A request or an answer; names of headers are in lower case."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first.split()[0]

    @property
    def path(self) -> str:
        """Return the path of a request."""
        return self.first.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return Message(first, headers, body)


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        parts.append(await reader.readexactly(size))
        await reader.readline()
        if not size:
            return b"".join(parts)


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with its length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


Handler = Callable[[Message], Awaitable[tuple[int, dict[str, str], bytes]]]


async def serve(handler: Handler, host: str, port: int = 0) -> asyncio.Server:
    """Serve requests, one at a time on each connection."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, headers, body = await handler(request)
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        on_connection, host, port, limit=HEAD_MAX_BYTES, backlog=1024
    )


async def send(
    address: str,
    first: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message | None:
    """Send a request on a new connection; None if no whole answer came."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{first} HTTP/1.1", headers, body))
            return await read_message(reader)
    except (TimeoutError, ConnectionError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Caller:
    """Sends requests to one address over kept connections."""

    def __init__(self, address: str) -> None:
        self._address = address
        # The time of the last answer, with the connection; the latest last.
        self._idle: list[tuple[float, asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(
        self, first: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> Message | None:
        """Send a request on an idle connection or a new one."""
        host, _, port = self._address.rpartition(":")
        writer = None
        answer = None
        try:
            async with asyncio.timeout(timeout_s):
                self._close_idle(time.monotonic() - IDLE_MAX_S)
                if self._idle:
                    _, reader, writer = self._idle.pop()
                else:
                    reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode(f"{first} HTTP/1.1", headers, body))
                answer = await read_message(reader)
        except (TimeoutError, ConnectionError, OSError):
            pass
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            if writer is not None:
                writer.close()
        else:
            self._idle.append((time.monotonic(), reader, writer))
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        self._close_idle(float("inf"))

    def _close_idle(self, before_s: float) -> None:
        """Close the connections that have been idle since before a time."""
        while self._idle and self._idle[0][0] < before_s:
            self._idle.pop(0)[2].close()
