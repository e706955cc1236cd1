"""A client for one address with a small pool of persistent connections."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final

import structlog

from .body import ConnectionLostError
from .client import ClientConnection, connect
from .messages import Headers, Response, ResponseHead

log = structlog.get_logger(__name__)

_N_IDLE_MAX: Final = 4
_RESPONSE_MAX_BYTES: Final = 16 * 1024 * 1024


class Fetcher:
    """Sends requests to one address and returns complete answers.

    A failure is raised as OSError, ConnectionLostError or TimeoutError. Only an OSError
    on connecting proves that nothing was sent.
    """

    def __init__(self, host: str, port: int, timeout_ms: int) -> None:
        self._host = host
        self._port = port
        self._timeout_ms = timeout_ms
        self._idle: deque[ClientConnection] = deque()

    async def fetch(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Headers = (),
        timeout_ms: int = 0,
    ) -> Response:
        """Send one request and return the complete answer.

        `timeout_ms` replaces the default timeout until the head of the answer arrives.
        From then on, the default timeout applies to each part of the body: a large
        answer takes seconds over a slow link. With a single timeout for the whole
        answer, it would be cancelled and requested again without end.
        """
        async with asyncio.timeout((timeout_ms or self._timeout_ms) / 1000) as scope:
            connection = self._take_idle() or await self._open()
            try:
                head = await self._send(connection, method, path, body, headers)
                content = await self._read_body(connection, scope)
            except BaseException:
                connection.close()
                raise
        self._release(connection)
        return Response(head.status, head.headers, content)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _send(
        self,
        connection: ClientConnection,
        method: str,
        path: str,
        body: bytes,
        headers: Headers,
    ) -> ResponseHead:
        all_headers = (
            (b"host", f"{self._host}:{self._port}".encode()),
            (b"content-length", str(len(body)).encode()),
            *headers,
        )
        connection.start(method, path, all_headers, body)
        return await connection.read_head()

    async def _read_body(
        self, connection: ClientConnection, scope: asyncio.Timeout
    ) -> bytes:
        loop = asyncio.get_running_loop()

        def restart_timeout() -> None:
            scope.reschedule(loop.time() + self._timeout_ms / 1000)

        restart_timeout()
        content = await connection.body.read_all(_RESPONSE_MAX_BYTES, restart_timeout)
        if content is None:
            raise ConnectionLostError("the answer exceeds the size limit")
        return content

    async def _open(self) -> ClientConnection:
        connection = await connect(self._host, self._port)
        connection.detect_dead_peer(self._timeout_ms)
        return connection

    def _take_idle(self) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return None

    def _release(self, connection: ClientConnection) -> None:
        if connection.is_reusable and len(self._idle) < _N_IDLE_MAX:
            self._idle.append(connection)
        else:
            connection.close()


__all__ = ["Fetcher"]
