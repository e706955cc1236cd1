"""Callers that send further requests before the first one is answered."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from .callers import HOST, PATIENCE_S, PAUSE_S, Place, draw_call
from .history import Answer, Call, History, Route

_N_AHEAD_MAX = 5
_BODY_MAX_BYTES = 300


class AheadCaller:
    """One caller that sends a few requests of any kind in one go on one connection.

    What stands behind an answer that closes the connection counts as unread: it must
    not have run where that matters, and never run later.
    """

    def __init__(
        self,
        name: str,
        place: Place,
        history: History,
        routes: Callable[[], list[Route]],
        rng: random.Random,
        now_s: Callable[[], float],
    ) -> None:
        self._name = name
        self._place = place
        self._history = history
        self._routes = routes
        self._rng = rng
        self._now_s = now_s
        self.pause_s = PAUSE_S

    async def run(self) -> None:
        """Send some requests ahead after the other, for ever."""
        number = 0
        while True:
            number += 1
            n_requests = self._rng.randrange(2, _N_AHEAD_MAX + 1)
            calls = [
                draw_call(
                    f"{self._name}-{number}-{index}",
                    self._place,
                    self._rng.choice(self._routes()),
                    self._rng,
                    _BODY_MAX_BYTES,
                    self._now_s(),
                )
                for index in range(n_requests)
            ]
            await self._send(calls)
            pause_s = self.pause_s * len(calls)
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _send(self, calls: list[tuple[Call, bytes]]) -> None:
        """Send requests in one go and note what became of each."""
        waiting = [call for call, _ in calls]
        for call in waiting:
            self._history.calls[call.request_id] = call
        patience_s = PATIENCE_S + sum(call.timeout_s for call in waiting)
        host, _, port = self._place.address.partition(":")
        writer = None
        is_closed_by_answer = False
        try:
            async with asyncio.timeout(patience_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"".join(_head_of(call, body) for call, body in calls))
                while waiting and not is_closed_by_answer:
                    answer, is_closed_by_answer = await self._read(reader)
                    self._history.answers[waiting.pop(0).request_id] = answer
        except (OSError, TimeoutError, EOFError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self._note_unanswered(waiting, is_closed_by_answer)

    def _note_unanswered(self, waiting: list[Call], is_unread: bool) -> None:
        for index, call in enumerate(waiting):
            # Only the first one may have been passed on alone; the others stood behind.
            is_behind = is_unread or index > 0
            self._history.answers[call.request_id] = Answer(
                0, b"", "", self._now_s(), is_behind, is_unread
            )

    async def _read(self, reader: asyncio.StreamReader) -> tuple[Answer, bool]:
        """Read one answer; say whether it closes the connection."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.strip().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        signature = headers.get("x-response-signature", "")
        status = int(status_line.split(" ")[1])
        answer = Answer(status, body, signature, self._now_s())
        return answer, headers.get("connection") == "close"


def _head_of(call: Call, body: bytes) -> bytes:
    method = "GET" if call.is_idempotent else "POST"
    lines = [
        f"{method} {call.path} HTTP/1.1",
        f"host: {HOST.decode()}",
        f"x-request-id: {call.request_id}",
        f"x-request-timeout-ms: {int(call.timeout_s * 1000)}",
    ]
    if body:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while n_bytes := int(await reader.readline(), 16):
        parts.append(await reader.readexactly(n_bytes))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


__all__ = ["AheadCaller"]
