"""Whole requests to one address over a few kept connections."""

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
    """Sends whole requests to one address and returns whole answers.

    A failure is raised as OSError, ConnectionLostError or TimeoutError. Only
    an OSError from connecting proves that nothing was sent.
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
        """Send one request and return the whole answer.

        `timeout_ms` replaces the usual timeout until the answer begins; from then on
        each part of it has the usual one. A large answer takes seconds over a slow
        link: held to one timeout it would be broken off and asked for again, for ever.
        """
        async with asyncio.timeout((timeout_ms or self._timeout_ms) / 1000) as scope:
            connection = self._take_idle() or await self._open()
            try:
                head = await self._ask(connection, method, path, body, headers)
                content = await self._read(connection, scope)
            except BaseException:
                connection.close()
                raise
        self._keep(connection)
        return Response(head.status, head.headers, content)

    def close(self) -> None:
        """Close the kept connections."""
        while self._idle:
            self._idle.pop().close()

    async def _ask(
        self,
        connection: ClientConnection,
        method: str,
        path: str,
        body: bytes,
        headers: Headers,
    ) -> ResponseHead:
        sent = (
            (b"host", f"{self._host}:{self._port}".encode()),
            (b"content-length", str(len(body)).encode()),
            *headers,
        )
        connection.start(method, path, sent, body)
        return await connection.read_head()

    async def _read(
        self, connection: ClientConnection, scope: asyncio.Timeout
    ) -> bytes:
        loop = asyncio.get_running_loop()

        def renew() -> None:
            scope.reschedule(loop.time() + self._timeout_ms / 1000)

        renew()
        content = await connection.body.read_all(_RESPONSE_MAX_BYTES, renew)
        if content is None:
            raise ConnectionLostError("the answer is too large")
        return content

    async def _open(self) -> ClientConnection:
        connection = await connect(self._host, self._port)
        connection.notice_silence(self._timeout_ms)
        return connection

    def _take_idle(self) -> ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return None

    def _keep(self, connection: ClientConnection) -> None:
        if connection.is_reusable and len(self._idle) < _N_IDLE_MAX:
            self._idle.append(connection)
        else:
            connection.close()


__all__ = ["Fetcher"]
