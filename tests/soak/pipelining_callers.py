"""Callers that pipeline: they send requests before earlier ones are answered."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from .callers import HOST, LATE_ANSWER_WAIT_S, PAUSE_S, OutboundEndpoint, draw_call
from .history import Answer, Call, History, Route

_N_PIPELINED_MAX = 5
_BODY_MAX_BYTES = 300


class PipeliningCaller:
    """One caller that sends a few requests of any kind at once on one connection.

    The requests that follow an answer that closes the connection count as unread:
    the non-idempotent ones must not have run, and must never run later.
    """

    def __init__(
        self,
        name: str,
        endpoint: OutboundEndpoint,
        history: History,
        routes: Callable[[], list[Route]],
        rng: random.Random,
        now_s: Callable[[], float],
    ) -> None:
        self._name = name
        self._endpoint = endpoint
        self._history = history
        self._routes = routes
        self._rng = rng
        self._now_s = now_s
        self.pause_s = PAUSE_S

    async def run(self) -> None:
        """Send one group of pipelined requests after another until cancelled."""
        number = 0
        while True:
            number += 1
            n_requests = self._rng.randrange(2, _N_PIPELINED_MAX + 1)
            calls = [
                draw_call(
                    f"{self._name}-{number}-{index}",
                    self._endpoint,
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
        """Send requests at once and record the outcome of each."""
        pending = [call for call, _ in calls]
        for call in pending:
            self._history.calls[call.request_id] = call
        wait_s = LATE_ANSWER_WAIT_S + sum(call.timeout_s for call in pending)
        host, _, port = self._endpoint.address.partition(":")
        writer = None
        is_closed_by_answer = False
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"".join(_encode_request(call, body) for call, body in calls)
                )
                while pending and not is_closed_by_answer:
                    answer, is_closed_by_answer = await self._read_answer(reader)
                    self._history.answers[pending.pop(0).request_id] = answer
        except (OSError, TimeoutError, EOFError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self._record_unanswered(pending, is_closed_by_answer)

    def _record_unanswered(self, pending: list[Call], is_unread: bool) -> None:
        for index, call in enumerate(pending):
            # Only the first one may have been forwarded alone; the others were queued.
            is_abandoned = is_unread or index > 0
            self._history.answers[call.request_id] = Answer(
                0, b"", "", self._now_s(), is_abandoned, is_unread
            )

    async def _read_answer(self, reader: asyncio.StreamReader) -> tuple[Answer, bool]:
        """Read one answer; return it and whether it closes the connection."""
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


def _encode_request(call: Call, body: bytes) -> bytes:
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


__all__ = ["PipeliningCaller"]
