"""An instance of a service beside a daemon, with all that may go wrong with one."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections.abc import Callable

from pepperstair_http import (
    ConnectionLostError,
    Exchange,
    Fetcher,
    HttpServer,
    ServerLimits,
    header_value,
)

from .checks import answer_body
from .history import Arrival, Disturbance, History, Leaving
from .poison import POISON_PATH

_HEARTBEAT_S = 1.0
_RETRY_S = 0.2
_ANSWER_S = 1.0
_WORK_MIN_S = 0.01
_WORK_MAX_S = 0.06
_SLOW_FACTOR = 10.0
_STAY_S = 3.0
_SUCCESSOR_S = 2.2
N_SLOTS = 4


class Instance:
    """One address where instances of a service live, one after the other."""

    def __init__(
        self,
        history: History,
        vm: str,
        service: str,
        rng: random.Random,
        now_s: Callable[[], float],
    ) -> None:
        self._history = history
        self._vm = vm
        self._service = service
        self._rng = rng
        self._now_s = now_s
        self._n_starts = 0
        self._n_running = 0
        self._sequence = 0
        self._state = "ready"
        self._server: HttpServer | None = None
        self._beating: asyncio.Task[None] | None = None
        self._is_changing = False
        self._poisoning: asyncio.Task[None] | None = None
        self._port = 0
        self.address = ""
        self.heartbeat_address = ""
        self.name = ""
        self.slowness = 1.0
        self.garbled_share = 0.0

    async def start(self, port: int = 0) -> int:
        """Start an instance with a new name and return its port."""
        self._n_starts += 1
        self.name = f"i-{self._vm}-{self._n_starts}"
        self._sequence = 0
        self._state = "ready"
        self._history.slots[self.name] = N_SLOTS
        self._server = HttpServer(self._handle, ServerLimits())
        self._port = await self._server.listen("127.0.0.1", port)
        return self._port

    def announce(self) -> None:
        """Begin to send heartbeats."""
        self._beating = asyncio.get_running_loop().create_task(self._beat())

    def stop(self) -> None:
        """End at once, as a crash would."""
        if self._beating is not None:
            self._beating.cancel()
        self.stop_connections()
        self._server.close()
        self._n_running = 0

    def stop_connections(self) -> None:
        """Break every connection, whatever runs on it."""
        for connection in list(self._server.connections):
            connection.abort()

    async def crash(self, for_s: float) -> None:
        """Crash without a sign, and start again under another name."""
        if self._is_changing:
            return
        self._is_changing = True
        self.stop()
        await asyncio.sleep(max(for_s, _SUCCESSOR_S))
        await self._start_again()

    async def _end_under_poison(self) -> None:
        """Crash, as the request that runs makes every instance do."""
        if self._is_changing:
            # The instance that leaves, or its successor, ends by itself.
            self.stop_connections()
            return
        from_s = self._now_s()
        self._history.poisoned_s.append(from_s)
        await self.crash(0.0)
        ended = Disturbance(self._vm, "poisoned", from_s, self._now_s())
        self._history.disturbances.append(ended)

    async def leave(self, *, is_abrupt: bool) -> None:
        """Say that it leaves, serve on for a while and end; another one follows.

        One heartbeat from before arrives late, as if it had been delayed.
        """
        if self._is_changing:
            return
        self._is_changing = True
        held_up = self._heartbeat()
        self._state = "draining"
        if is_abrupt:
            self._beating.cancel()
            await self._say_until_heard(f"/Instances.Deregister/{self.name}", b"")
        else:
            await self._say_until_heard(*self._heartbeat())
        heard = Leaving(self.name, self._vm, self._now_s())
        self._history.leavings[self.name] = heard
        await asyncio.sleep(_STAY_S * self._rng.random())
        await self._say(*held_up)
        await asyncio.sleep(_STAY_S)
        if not is_abrupt:
            await self._say(f"/Instances.Deregister/{self.name}", b"")
        self.stop()
        await asyncio.sleep(_SUCCESSOR_S)
        await self._start_again()

    def slow_down(self) -> None:
        """Take many times as long from now on."""
        self.slowness = _SLOW_FACTOR

    def heal(self) -> None:
        """Work as usual again."""
        self.slowness = 1.0
        self.garbled_share = 0.0

    async def _start_again(self) -> None:
        await self.start(self._port)
        self.announce()
        self._is_changing = False

    async def _beat(self) -> None:
        while True:
            is_heard = await self._say(*self._heartbeat())
            await asyncio.sleep(_HEARTBEAT_S if is_heard else _RETRY_S)

    async def _say_until_heard(self, path: str, body: bytes) -> None:
        while not await self._say(path, body):
            await asyncio.sleep(_RETRY_S)

    async def _say(self, path: str, body: bytes) -> bool:
        host, _, port = self.heartbeat_address.partition(":")
        fetcher = Fetcher(host, int(port), int(_ANSWER_S * 1000))
        try:
            return (await fetcher.fetch("POST", path, body)).status == 200
        except (OSError, TimeoutError, ConnectionLostError):
            # The daemon is down or frozen; whoever calls says it again.
            return False
        finally:
            fetcher.close()

    def _heartbeat(self) -> tuple[str, bytes]:
        self._sequence += 1
        content = {
            "service": self._service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": N_SLOTS,
            "state": self._state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
        }
        path = f"/Instances.Heartbeat/{self.name}"
        return path, json.dumps(content).encode()

    async def _handle(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        request_id = header_value(headers, b"x-request-id").decode()
        if header_value(headers, b"x-expected-instance").decode() != self.name:
            await exchange.respond(421, (), b"")
            return
        content = await exchange.body.read_all(1_000_000) or b""
        name = self.name
        self._n_running += 1
        arrival = Arrival(
            request_id,
            name,
            self._service,
            self._vm,
            exchange.request.path,
            hashlib.sha256(content).hexdigest(),
            header_value(headers, b"x-caller-service").decode(),
            self._now_s(),
            self._n_running,
        )
        self._history.arrivals[request_id].append(arrival)
        try:
            await asyncio.sleep(
                self.slowness * self._rng.uniform(_WORK_MIN_S, _WORK_MAX_S)
            )
        finally:
            # Another instance at this address begins its own count.
            self._n_running -= name == self.name
        if exchange.request.path == POISON_PATH:
            self._poisoning = asyncio.create_task(self._end_under_poison())
            return
        await self._answer(exchange, request_id)

    async def _answer(self, exchange: Exchange, request_id: str) -> None:
        if self._rng.random() < self.garbled_share:
            exchange.abort()
            return
        n_bytes = int(exchange.request.path.rpartition("/")[2])
        signed = (
            (b"x-request-id", request_id.encode()),
            (b"x-response-signature", f"signed-{request_id}".encode()),
        )
        await exchange.respond(200, signed, answer_body(request_id, n_bytes))


__all__ = ["N_SLOTS", "Instance"]
