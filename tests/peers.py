"""Client and server ends of data streams in one process, joined by a TCP relay."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from pepperstair_core.config import parse_address
from pepperstair_core.errors import Failure, PepperstairError
from pepperstair_core.wire import CallHead, StreamKind
from pepperstair_http import BodyBuffer, StreamedResponse
from pepperstair_peers import (
    CallClient,
    CallRunner,
    CallServer,
    FrameCounters,
    Identity,
    PeerListener,
)
from pepperstaird.clock import monotonic_ms

HEARTBEAT_MS = 50
FRAME_MAX_BYTES = 262_144
_start_ids = itertools.count(1)


async def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.002)


def call_head(
    call_id: int, is_idempotent: bool = False, has_body: bool = False
) -> CallHead:
    """Return a call head with the given id and test defaults."""
    return CallHead(
        call_id=call_id,
        request_id=f"request-{call_id}",
        customer="lantern",
        target="ledger-1",
        method="POST",
        path="/award",
        headers=((b"host", b"ledger"),),
        priority="urgent",
        is_idempotent=is_idempotent,
        time_left_ms=5000,
        has_body=has_body,
    )


def response_of(data: bytes) -> StreamedResponse:
    """Return a complete response with the given body."""
    return StreamedResponse(200, (), BodyBuffer.of(data), lambda: None)


@dataclass
class Server:
    """The daemon at the target; `runs` lists the ids of the calls that it ran."""

    run: CallRunner
    address: str = ""
    runs: list[int] = field(default_factory=list)
    frame_counters: dict[StreamKind, FrameCounters] = field(
        default_factory=lambda: {kind: FrameCounters() for kind in StreamKind}
    )

    def sent_frames(self) -> dict[str, int]:
        """Return the frames and bytes sent on data streams, by frame type."""
        return dict(self.frame_counters[StreamKind.DATA].iter_named("data"))

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Start listening with a new start id, like a new process."""
        self.calls = CallServer(self._count_and_run, 1000, HEARTBEAT_MS, monotonic_ms)
        self.listener = PeerListener(
            Identity("server", next(_start_ids), address),
            FRAME_MAX_BYTES,
            {StreamKind.DATA: self.calls.serve_stream},
            self.frame_counters,
        )
        host, port = parse_address(address)
        self.address = f"{host}:{await self.listener.listen(host, port)}"

    def kill(self) -> None:
        """Close every stream and stop listening, as when the process is killed."""
        self.listener.close()
        self.calls.close()
        self.calls.reset_streams()

    async def _count_and_run(
        self, head: CallHead, body: BodyBuffer
    ) -> StreamedResponse:
        self.runs.append(head.call_id)
        return await self.run(head, body)


def make_client() -> CallClient:
    """Return the call client of the caller's daemon."""
    identity = Identity("client", next(_start_ids), "127.0.0.1:1")
    return CallClient(
        identity, FRAME_MAX_BYTES, FrameCounters(), HEARTBEAT_MS, monotonic_ms
    )


class Relay:
    """A TCP relay whose open connections can be stalled while new ones work."""

    def __init__(self, address: str) -> None:
        self._upstream = parse_address(address)
        self._gates: list[asyncio.Event] = []
        self._writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def start(self) -> None:
        """Start listening on a port chosen by the system."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def silence(self) -> None:
        """Stop forwarding on all connections that are currently open."""
        for gate in self._gates:
            gate.clear()

    def resume(self) -> None:
        """Forward again, starting with the data held back."""
        for gate in self._gates:
            gate.set()

    def abort_connections(self) -> None:
        """Abort every connection."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and abort every connection."""
        self._server.close()
        self.abort_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        gate = asyncio.Event()
        gate.set()
        self._gates.append(gate)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._upstream
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers += [writer, upstream_writer]
        await asyncio.gather(
            self._forward(reader, upstream_writer, gate),
            self._forward(upstream_reader, writer, gate),
        )

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(65_536):
                await gate.wait()
                writer.write(data)
        except ConnectionError:
            pass
        writer.transport.abort()


async def failure_of(awaitable: Awaitable[object]) -> Failure:
    """Return the failure with which an awaitable ends; other outcomes are errors."""
    try:
        async with asyncio.timeout(10):
            await awaitable
    except PepperstairError as error:
        return error.failure
    raise AssertionError("expected a PepperstairError")


__all__ = [
    "HEARTBEAT_MS",
    "Relay",
    "Server",
    "call_head",
    "failure_of",
    "make_client",
    "response_of",
    "wait_for",
]
