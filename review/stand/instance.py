"""A stand-in of an application instance, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

from .http import Message, send, serve

_HEARTBEAT_S = 1.5
_N_QUEUED_PER_SLOT = 4


class Instance:
    """Runs requests in its slots, queues a few more and announces itself."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        n_slots: int,
        work_s: float,
        on_run: Callable[[str, Message], None],
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.n_slots = n_slots
        self.work_s = work_s
        self.address = ""
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self._on_run = on_run
        self._slots = asyncio.Semaphore(n_slots)
        self._n_waiting = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        server = await serve(self._handle, host)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def announce(self, control_plane: str) -> None:
        """Start sending heartbeats."""
        self._task = asyncio.create_task(self._beat(control_plane))

    def stop(self) -> None:
        """Stop sending heartbeats."""
        if self._task is not None:
            self._task.cancel()

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.n_slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(body).encode()

    async def call(self, control_plane: str, call: str, body: bytes) -> bool:
        """Send a call about itself; return whether it was acknowledged."""
        headers = {"Host": control_plane, "Content-Type": "application/json"}
        first = f"POST /Instances.{call}/{self.name}"
        answer = await send(control_plane, first, headers, body, 1.0)
        return answer is not None and answer.status // 100 == 2

    async def leave(self, control_plane: str) -> bool:
        """Stop the heartbeats and deregister; return whether that was acknowledged."""
        self.stop()
        body = json.dumps({"born": self.born}).encode()
        return await self.call(control_plane, "Deregister", body)

    async def _beat(self, control_plane: str) -> None:
        while True:
            body = self.heartbeat()
            is_acknowledged = await self.call(control_plane, "Heartbeat", body)
            await asyncio.sleep(_HEARTBEAT_S if is_acknowledged else 0.2)

    async def _handle(self, request: Message) -> tuple[int, dict[str, str], bytes]:
        request_id = request.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        expected = request.headers.get("x-expected-instance", self.name)
        if expected != self.name:
            return 421, {**echo, "X-Instance-Id": self.name}, b""
        if not request_id:
            return 400, {"X-Not-Executed": "1"}, b""
        if self._n_waiting >= _N_QUEUED_PER_SLOT * self.n_slots:
            return 503, {**echo, "X-Not-Executed": "1"}, b""
        self._n_waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._n_waiting -= 1
        try:
            self._on_run(self.name, request)
            await asyncio.sleep(self.work_s)
        finally:
            self._slots.release()
        signed = {**echo, "X-Response-Signature": f"{self.name}.{request_id}"}
        return 200, signed, f"{self.name} ran {request.path}".encode()
