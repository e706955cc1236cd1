"""An instance of a service on the VM of a daemon, with the faults of instances."""

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
from .history import Arrival, Departure, Disturbance, History, StatedLimit
from .poison import POISON_PATH

_HEARTBEAT_INTERVAL_S = 1.0
_RETRY_PAUSE_S = 0.2
_ANSWER_TIMEOUT_S = 1.0
_WORK_MIN_S = 0.01
_WORK_MAX_S = 0.06
_SLOW_FACTOR = 10.0
_DEPARTURE_SERVING_S = 3.0
_REPLACEMENT_DELAY_S = 2.2
_UNLIMITED_S = (0.5, 3.0)
_LIMITED_S = (4.5, 9.0)
_LIMIT_PER_S = (1.0, 6.0)
_STATED_BEFORE_DEPARTURE_MAX_S = 5.0
N_SLOTS = 4


class Instance:
    """One address at which instances of a service run, one after another.

    Each takes `work_factor` times the usual time, and breaks the connection of the
    `garbled_share` of its requests. With `has_statements`, instances state rate limits
    in their answers from time to time, and state that they are leaving before they
    announce it.
    """

    def __init__(
        self,
        history: History,
        vm: str,
        service: str,
        rng: random.Random,
        now_s: Callable[[], float],
        has_statements: bool = False,
    ) -> None:
        self._has_statements = has_statements
        # Has its own random generator, so that the draws of the others do not change.
        self._statement_rng = random.Random(vm)
        self._limit_task: asyncio.Task[None] | None = None
        self._limit_per_s: float | None = None
        self._is_leaving_stated = False
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
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._is_replacing = False
        self._crash_task: asyncio.Task[None] | None = None
        self._port = 0
        self.address = ""
        self.heartbeat_address = ""
        self.name = ""
        self.work_factor = 1.0
        self.garbled_share = 0.0

    async def start(self, port: int = 0) -> int:
        """Start an instance under a new name and return its port."""
        self._n_starts += 1
        self.name = f"i-{self._vm}-{self._n_starts}"
        self._sequence = 0
        self._state = "ready"
        self._is_leaving_stated = False
        self._history.slots[self.name] = N_SLOTS
        self._server = HttpServer(self._handle, ServerLimits())
        self._port = await self._server.listen("127.0.0.1", port)
        return self._port

    def announce(self) -> None:
        """Start sending heartbeats."""
        loop = asyncio.get_running_loop()
        self._heartbeat_task = loop.create_task(self._send_heartbeats())
        if self._has_statements:
            self._limit_task = loop.create_task(self._state_limits(self.name))

    def stop(self) -> None:
        """End at once, as in a crash."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._limit_task is not None:
            self._limit_task.cancel()
        self.abort_connections()
        self._server.close()
        self._n_running = 0

    def abort_connections(self) -> None:
        """Abort every connection with the requests on it."""
        for connection in list(self._server.connections):
            connection.abort()

    async def crash(self, for_s: float) -> None:
        """Crash without notice, and start a replacement under another name."""
        if self._is_replacing:
            return
        self._is_replacing = True
        self.stop()
        await asyncio.sleep(max(for_s, _REPLACEMENT_DELAY_S))
        await self._start_replacement()

    async def _crash_by_poison(self) -> None:
        """Crash because of a poison request, as every instance that runs it does."""
        if self._is_replacing:
            # The instance is already departing or being replaced, so it ends anyway.
            self.abort_connections()
            return
        from_s = self._now_s()
        self._history.poison_crashes_s.append(from_s)
        await self.crash(0.0)
        ended = Disturbance(self._vm, "poisoned", from_s, self._now_s())
        self._history.disturbances.append(ended)

    async def depart(self, *, is_abrupt: bool) -> None:
        """Announce the departure, serve for a while, end and start a replacement.

        One earlier heartbeat arrives late, as if the network had delayed it. If
        `is_abrupt`, the instance deregisters at once instead of draining first.
        """
        if self._is_replacing:
            return
        self._is_replacing = True
        delayed_heartbeat = self._next_heartbeat()
        if self._has_statements:
            self._is_leaving_stated = True
            self._history.stated_leaving_s[self.name] = self._now_s()
            await asyncio.sleep(
                self._statement_rng.uniform(0.0, _STATED_BEFORE_DEPARTURE_MAX_S)
            )
        self._state = "draining"
        if is_abrupt:
            self._heartbeat_task.cancel()
            await self._post_until_accepted(f"/Instances.Deregister/{self.name}", b"")
        else:
            await self._post_until_accepted(*self._next_heartbeat())
        departure = Departure(self.name, self._vm, self._now_s())
        self._history.departures[self.name] = departure
        await asyncio.sleep(_DEPARTURE_SERVING_S * self._rng.random())
        await self._post(*delayed_heartbeat)
        await asyncio.sleep(_DEPARTURE_SERVING_S)
        if not is_abrupt:
            await self._post(f"/Instances.Deregister/{self.name}", b"")
        self.stop()
        await asyncio.sleep(_REPLACEMENT_DELAY_S)
        await self._start_replacement()

    def slow_down(self) -> None:
        """Take ten times as long for each request from now on."""
        self.work_factor = _SLOW_FACTOR

    def heal(self) -> None:
        """End the faults of the instance."""
        self.work_factor = 1.0
        self.garbled_share = 0.0

    def end_limits(self) -> None:
        """State no more rate limits, so that all requests can be served."""
        self._has_statements = False
        if self._limit_task is not None:
            self._limit_task.cancel()

    async def _start_replacement(self) -> None:
        await self.start(self._port)
        self.announce()
        self._is_replacing = False

    async def _state_limits(self, name: str) -> None:
        """State a rate limit in all answers of an instance, time and again."""
        rng = self._statement_rng
        while True:
            await asyncio.sleep(rng.uniform(*_UNLIMITED_S))
            from_s, rate_per_s = self._now_s(), round(rng.uniform(*_LIMIT_PER_S), 1)
            self._limit_per_s = rate_per_s
            try:
                await asyncio.sleep(rng.uniform(*_LIMITED_S))
            finally:
                self._limit_per_s = None
                limit = StatedLimit(name, rate_per_s, from_s, self._now_s())
                self._history.stated_limits.append(limit)

    def _statements(self) -> tuple[tuple[bytes, bytes], ...]:
        headers = []
        if self._limit_per_s is not None:
            headers.append((b"server-limit", b"%g" % self._limit_per_s))
        if self._is_leaving_stated:
            headers.append((b"server-leaving", b"1"))
        return tuple(headers)

    async def _send_heartbeats(self) -> None:
        while True:
            is_accepted = await self._post(*self._next_heartbeat())
            await asyncio.sleep(
                _HEARTBEAT_INTERVAL_S if is_accepted else _RETRY_PAUSE_S
            )

    async def _post_until_accepted(self, path: str, body: bytes) -> None:
        while not await self._post(path, body):
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _post(self, path: str, body: bytes) -> bool:
        host, _, port = self.heartbeat_address.partition(":")
        fetcher = Fetcher(host, int(port), int(_ANSWER_TIMEOUT_S * 1000))
        try:
            return (await fetcher.fetch("POST", path, body)).status == 200
        except (OSError, TimeoutError, ConnectionLostError):
            # The daemon is down or paused; the caller repeats the request.
            return False
        finally:
            fetcher.close()

    def _next_heartbeat(self) -> tuple[str, bytes]:
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
                self.work_factor * self._rng.uniform(_WORK_MIN_S, _WORK_MAX_S)
            )
        finally:
            # A replacement at this address starts its own count.
            self._n_running -= name == self.name
        if exchange.request.path == POISON_PATH:
            self._crash_task = asyncio.create_task(self._crash_by_poison())
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
            *self._statements(),
        )
        await exchange.respond(200, signed, answer_body(request_id, n_bytes))


__all__ = ["N_SLOTS", "Instance"]
