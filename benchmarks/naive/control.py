"""A stream between each two daemons, on which every member change is flooded."""

from __future__ import annotations

import asyncio
import random
from typing import Any, Final

import structlog

from pepperstair_core.config import MembersSettings, parse_address
from pepperstair_core.events import Event
from pepperstair_core.members import Member
from pepperstair_core.membership import MemberDirectory
from pepperstair_core.wire import Heartbeat, Hello, MemberUpdate, StreamKind, Welcome
from pepperstair_peers import FrameStream, Identity, open_stream

log = structlog.get_logger(__name__)

_RETRY_MIN_S: Final = 0.1
_RETRY_MAX_S: Final = 5.0


class FullMesh:
    """Keeps a control stream to every daemon and floods member changes."""

    def __init__(
        self,
        identity: Identity,
        directory: MemberDirectory,
        settings: MembersSettings,
        frame_max_bytes: int,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._settings = settings
        self._frame_max_bytes = frame_max_bytes
        self._rng = rng
        self._streams: dict[str, FrameStream] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._dialled: set[str] = set()
        self.n_sent_bytes = 0

    def start(self, seed_addresses: tuple[str, ...]) -> None:
        """Begin to dial the seeds and to send heartbeats."""
        for address in seed_addresses:
            self._dial(address)
        self._run(self._send_heartbeats())

    def close(self) -> None:
        """Break every stream and stop dialling."""
        for task in self._tasks:
            task.cancel()
        for stream in list(self._streams.values()):
            stream.close()

    def publish(self, member: Member) -> None:
        """Tell the fleet this daemon's own record after a change."""
        self._directory.put_own(member)
        self._flood((member,), "")

    def take_stream(self, stream: FrameStream, hello: Hello) -> None:
        """Serve a control stream that another daemon opened."""
        self._add(hello.vm, stream)
        self._dial(hello.peer_address)

    def _dial(self, address: str) -> None:
        if address in self._dialled or address == self._identity.peer_address:
            return
        self._dialled.add(address)
        self._run(self._keep_dialled(address))

    async def _keep_dialled(self, address: str) -> None:
        """Keep a stream to an address, with full-jitter backoff.

        After a herd restart all survivors dial at once; without jitter they
        would do so in step, again and again, and each wave would fail the next.
        """
        host, port = parse_address(address)
        delay_s = _RETRY_MIN_S
        while True:
            try:
                stream = await open_stream(host, port, self._frame_max_bytes)
            except OSError:
                await asyncio.sleep(self._rng.uniform(0, delay_s))
                delay_s = min(delay_s * 2, _RETRY_MAX_S)
                continue
            delay_s = _RETRY_MIN_S
            closed = asyncio.Event()
            stream.closed_callbacks.append(lambda reason, closed=closed: closed.set())
            stream.on_frame = lambda frame, stream=stream: self._on_welcome(
                stream, frame
            )
            stream.send(self._identity.hello(StreamKind.CONTROL))
            await closed.wait()

    def _on_welcome(self, stream: FrameStream, frame: Any) -> None:
        if not isinstance(frame, Welcome):
            stream.close()
            return
        self._add(frame.vm, stream)

    def _add(self, vm: str, stream: FrameStream) -> None:
        """Take a stream into use, in place of an older one to the same VM."""
        self._streams[vm] = stream
        stream.on_frame = lambda frame: self._on_frame(vm, frame)
        stream.closed_callbacks.append(lambda reason: self._on_closed(vm, stream))
        log.info(Event.PEER_CONNECTED, peer=vm)
        self._send(stream, MemberUpdate(self._directory.members()))

    def _on_closed(self, vm: str, stream: FrameStream) -> None:
        if self._streams.get(vm) is stream:
            del self._streams[vm]
            log.info(Event.PEER_LOST, peer=vm)

    def _on_frame(self, vm: str, frame: Any) -> None:
        if isinstance(frame, MemberUpdate):
            self._on_members(vm, frame)

    def _on_members(self, sender: str, frame: MemberUpdate) -> None:
        changed = tuple(self._directory.merge(frame.members))
        if not changed:
            return
        for member in changed:
            if member.is_usable:
                self._dial(member.peer_address)
        self._flood(changed, sender)

    def _flood(self, members: tuple[Member, ...], sender: str) -> None:
        for vm, stream in self._streams.items():
            if vm != sender:
                self._send(stream, MemberUpdate(members))

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self._settings.heartbeat_ms / 1000)
            heartbeat = Heartbeat(self._directory.own().incarnation)
            for stream in list(self._streams.values()):
                self._send(stream, heartbeat)

    def _send(self, stream: FrameStream, frame: Any) -> None:
        """Send a frame and count its bytes."""
        n_before = stream.n_sent_bytes
        stream.send(frame)
        self.n_sent_bytes += stream.n_sent_bytes - n_before

    def _run(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


__all__ = ["FullMesh"]
