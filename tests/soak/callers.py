"""Callers on a VM: they reuse or reopen connections, wait, and abandon requests."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from pepperstair_http import (
    ClientConnection,
    ConnectionLostError,
    connect,
    header_value,
)

from .history import Answer, Call, History, Route

HOST = b"soak.example"
# Time that a caller waits beyond its stated timeout, so that late answers are recorded.
LATE_ANSWER_WAIT_S = 2.0
_ABANDONED_SHARE = 0.05
# Mean pause between two requests of one caller: 18 callers send at most 90 a second.
PAUSE_S = 0.2
_BODY_MAX_BYTES = 3_000
_LARGE_BYTES = 60_000
_SMALL_BYTES = 400


@dataclass(frozen=True, slots=True)
class OutboundEndpoint:
    """Where a caller sends its requests: a VM's daemon and the number of its process.

    `process` returns the number of the process that runs now.
    """

    vm: str
    address: str
    process: Callable[[], int]


class Caller:
    """One caller, which reuses its connection unless `is_reconnecting`.

    `pause_s` is its mean pause between requests, and `routes` returns the routes of
    the newest version.
    """

    def __init__(
        self,
        name: str,
        endpoint: OutboundEndpoint,
        history: History,
        routes: Callable[[], list[Route]],
        rng: random.Random,
        now_s: Callable[[], float],
        *,
        is_reconnecting: bool,
    ) -> None:
        self._name = name
        self._endpoint = endpoint
        self._history = history
        self._routes = routes
        self._rng = rng
        self._now_s = now_s
        self._is_reconnecting = is_reconnecting
        self._connection: ClientConnection | None = None
        self.pause_s = PAUSE_S

    async def run(self) -> None:
        """Send one request after another until cancelled."""
        number = 0
        while True:
            number += 1
            await self._call(f"{self._name}-{number}")
            await asyncio.sleep(self.pause_s * self._rng.uniform(0.5, 1.5))

    async def _call(self, request_id: str) -> None:
        call, body = self._draw(request_id)
        self._history.calls[request_id] = call
        is_abandoned = self._rng.random() < _ABANDONED_SHARE
        wait_s = call.timeout_s + LATE_ANSWER_WAIT_S
        if is_abandoned:
            wait_s = self._rng.uniform(0.01, 0.1)
        try:
            async with asyncio.timeout(wait_s):
                answer = await self._exchange(call, body)
        except TimeoutError:
            self._close_connection()
            answer = Answer(0, b"", "", self._now_s(), is_abandoned=is_abandoned)
        except (OSError, ConnectionLostError):
            self._close_connection()
            answer = Answer(0, b"", "", self._now_s())
        self._history.answers[request_id] = answer

    def _draw(self, request_id: str) -> tuple[Call, bytes]:
        route = self._rng.choice(self._routes())
        return draw_call(
            request_id, self._endpoint, route, self._rng, _BODY_MAX_BYTES, self._now_s()
        )

    async def _exchange(self, call: Call, body: bytes) -> Answer:
        connection = await self._usable_connection()
        headers = [
            (b"host", HOST),
            (b"x-request-id", call.request_id.encode()),
            (b"x-request-timeout-ms", b"%d" % (call.timeout_s * 1000)),
            (b"x-caller-service", b"forged"),
        ]
        if body:
            headers.append((b"content-length", b"%d" % len(body)))
        method = "GET" if call.is_idempotent else "POST"
        connection.start(method, call.path, tuple(headers), body)
        head = await connection.read_head()
        content = await connection.body.read_all(10_000_000)
        signature = header_value(head.headers, b"x-response-signature").decode()
        answer = Answer(head.status, content, signature, self._now_s())
        if self._is_reconnecting:
            self._close_connection()
        return answer

    async def _usable_connection(self) -> ClientConnection:
        """Return the kept connection, or a new one if it can not be reused."""
        if self._connection is None or not self._connection.is_reusable:
            self._close_connection()
            host, _, port = self._endpoint.address.partition(":")
            self._connection = await connect(host, int(port))
        return self._connection

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def draw_call(
    request_id: str,
    endpoint: OutboundEndpoint,
    route: Route,
    rng: random.Random,
    body_max_bytes: int,
    now_s: float,
) -> tuple[Call, bytes]:
    """Return a drawn request for a route, and its body, empty if it is idempotent."""
    n_bytes = _LARGE_BYTES if "maps" in route.prefix else _SMALL_BYTES
    body = b""
    if not route.is_idempotent:
        body = rng.randbytes(rng.randrange(body_max_bytes))
    call = Call(
        request_id=request_id,
        vm=endpoint.vm,
        process=endpoint.process(),
        path=f"{route.prefix}{rng.randrange(1000)}/{n_bytes}",
        prefix=route.prefix,
        digest=hashlib.sha256(body).hexdigest(),
        is_idempotent=route.is_idempotent,
        timeout_s=route.timeout_s,
        sent_s=now_s,
    )
    return call, body


__all__ = [
    "HOST",
    "LATE_ANSWER_WAIT_S",
    "PAUSE_S",
    "Caller",
    "OutboundEndpoint",
    "draw_call",
]
