"""Callers on a VM: they keep connections, open new ones, wait, and leave early."""

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
# What a caller waits beyond the time that it states, to see a late answer as such.
PATIENCE_S = 2.0
_LEAVING_SHARE = 0.05
# Between two requests of one caller, in the mean: at most 90 a second for 18 callers.
PAUSE_S = 0.2
_BODY_MAX_BYTES = 3_000
_LARGE_BYTES = 60_000
_SMALL_BYTES = 400


@dataclass(frozen=True, slots=True)
class Place:
    """Where a caller sends its requests: a VM and the process there, right now."""

    vm: str
    address: str
    process: Callable[[], int]


class Caller:
    """One caller; it keeps its connection unless `is_fresh`.

    `pause_s` is how long it waits between its requests, `routes` what the newest
    version lets it ask for.
    """

    def __init__(
        self,
        name: str,
        place: Place,
        history: History,
        routes: Callable[[], list[Route]],
        rng: random.Random,
        now_s: Callable[[], float],
        *,
        is_fresh: bool,
    ) -> None:
        self._name = name
        self._place = place
        self._history = history
        self._routes = routes
        self._rng = rng
        self._now_s = now_s
        self._is_fresh = is_fresh
        self._connection: ClientConnection | None = None
        self.pause_s = PAUSE_S

    async def run(self) -> None:
        """Send one request after the other, for ever."""
        number = 0
        while True:
            number += 1
            await self._call(f"{self._name}-{number}")
            await asyncio.sleep(self.pause_s * self._rng.uniform(0.5, 1.5))

    async def _call(self, request_id: str) -> None:
        call, body = self._draw(request_id)
        self._history.calls[request_id] = call
        is_leaving = self._rng.random() < _LEAVING_SHARE
        patience_s = call.timeout_s + PATIENCE_S
        if is_leaving:
            patience_s = self._rng.uniform(0.01, 0.1)
        try:
            async with asyncio.timeout(patience_s):
                answer = await self._ask(call, body)
        except TimeoutError:
            self._drop()
            answer = Answer(0, b"", "", self._now_s(), is_abandoned=is_leaving)
        except (OSError, ConnectionLostError):
            self._drop()
            answer = Answer(0, b"", "", self._now_s())
        self._history.answers[request_id] = answer

    def _draw(self, request_id: str) -> tuple[Call, bytes]:
        route = self._rng.choice(self._routes())
        return draw_call(
            request_id, self._place, route, self._rng, _BODY_MAX_BYTES, self._now_s()
        )

    async def _ask(self, call: Call, body: bytes) -> Answer:
        connection = await self._open()
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
        if self._is_fresh:
            self._drop()
        return answer

    async def _open(self) -> ClientConnection:
        """Return the kept connection, for as long as it can be used."""
        if self._connection is None or not self._connection.is_reusable:
            self._drop()
            host, _, port = self._place.address.partition(":")
            self._connection = await connect(host, int(port))
        return self._connection

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def draw_call(
    request_id: str,
    place: Place,
    route: Route,
    rng: random.Random,
    body_max_bytes: int,
    now_s: float,
) -> tuple[Call, bytes]:
    """Return a request for a route and its body, empty where it may be repeated."""
    n_bytes = _LARGE_BYTES if "maps" in route.prefix else _SMALL_BYTES
    body = b""
    if not route.is_idempotent:
        body = rng.randbytes(rng.randrange(body_max_bytes))
    call = Call(
        request_id=request_id,
        vm=place.vm,
        process=place.process(),
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
    "PATIENCE_S",
    "PAUSE_S",
    "Caller",
    "Place",
    "draw_call",
]
