"""Executes the actions of the membership protocol on control streams."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any, Final

import structlog

from pepperstair_core.config import MembersSettings, PeersSettings
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.events import Event
from pepperstair_core.members import Member
from pepperstair_core.membership import (
    Action,
    Close,
    Dial,
    MemberChanged,
    MemberDirectory,
    Membership,
    PauseDetector,
    Send,
)
from pepperstair_core.wire import (
    Heartbeat,
    Hello,
    MemberRanks,
    MembersDigest,
    MembersPull,
    MemberUpdate,
    StreamKind,
    Welcome,
)

from ..counters import FrameCounters
from ..dialling import Dialler
from ..identity import Identity
from ..stream import FrameStream
from .changes import record_change
from .links import ControlLink, ControlLinks

log = structlog.get_logger(__name__)

_FLUSH_DELAY_S: Final = 0.02
_N_TICKS_PER_HEARTBEAT: Final = 4
# Number of ticks per heartbeat while there is no neighbour. It is higher than
# `_N_TICKS_PER_HEARTBEAT`, so that failed dials are retried sooner.
_N_TICKS_WITHOUT_NEIGHBOUR: Final = 20
_MEMBER_FRAMES: Final = (
    Heartbeat,
    MemberUpdate,
    MembersDigest,
    MemberRanks,
    MembersPull,
)


class ControlPlane:
    """Maintains the control streams to the neighbours and the member records.

    `boot_clock_ms` also counts time during which the VM was suspended; if it is
    None, pauses are detected with the monotonic `clock_ms`.
    """

    def __init__(
        self,
        identity: Identity,
        directory: MemberDirectory,
        members: MembersSettings,
        peers: PeersSettings,
        counters: FrameCounters,
        decisions: DecisionLog,
        rng: random.Random,
        clock_ms: Callable[[], int],
        boot_clock_ms: Callable[[], int] | None = None,
    ) -> None:
        now_ms = clock_ms()
        self._clock_ms = clock_ms
        self._boot_clock_ms = boot_clock_ms or clock_ms
        self._decisions = decisions
        self._heartbeat_ms = members.heartbeat_ms
        self._dialler = Dialler(
            identity,
            StreamKind.CONTROL,
            peers.frame_max_bytes,
            counters,
            members.heartbeat_ms,
        )
        self._membership = Membership(directory, members, peers, rng, now_ms)
        lease_ms = members.heartbeat_ms * members.n_heartbeats_missed
        self._pause_detector = PauseDetector(lease_ms, self._boot_clock_ms())
        self._links = ControlLinks(identity.vm, members.heartbeat_ms)
        self._tasks: set[asyncio.Task[None]] = set()
        self._tick_timer: asyncio.TimerHandle | None = None
        self._flush_timer: asyncio.TimerHandle | None = None
        self._is_closed = False
        self.n_pauses = 0
        self.on_paused: Callable[[], None] = lambda: None
        self.on_members_changed: Callable[[], None] = lambda: None
        self.neighbour_up_callbacks: list[Callable[[str], None]] = []
        self.neighbour_down_callbacks: list[Callable[[str], None]] = []
        self.on_configuration_frame: Callable[[str, Any], None] = lambda vm, frame: None
        # Maps a type of frame to its handler, which gets the sender's VM too. All
        # other frames are passed to `on_configuration_frame`.
        self.frame_handlers: dict[type, Callable[[str, Any], None]] = {}

    @property
    def neighbours(self) -> tuple[str, ...]:
        """Return the VMs to which a control stream is open."""
        return self._links.vms

    def start(self) -> None:
        """Start joining the fleet and sending heartbeats."""
        self._tick()

    def close(self) -> None:
        """Stop dialling, and close every stream after its buffered data is sent."""
        self._is_closed = True
        for timer in (self._tick_timer, self._flush_timer):
            if timer is not None:
                timer.cancel()
        for task in self._tasks:
            task.cancel()
        for stream in self._links.streams():
            stream.finish()

    def is_writable(self, vm: str) -> bool:
        """Return whether a neighbour is connected and its write buffer is not full.

        Frames to a neighbour that reads slowly accumulate in this process, so
        deferrable frames are sent only once its stream has drained.
        """
        link = self._links.get(vm)
        if link is None or link.stream.is_closed:
            return False
        return link.stream.gate.is_open

    def send(self, vm: str, *frames: Any) -> None:
        """Send frames to a neighbour, or discard them if no stream to it is open."""
        link = self._links.get(vm)
        if link is not None:
            link.stream.send(*frames)

    def publish(self, member: Member) -> None:
        """Send this daemon's changed member record to the fleet."""
        self._execute(self._membership.publish(member))

    def leave(self) -> None:
        """Announce the departure of this daemon to the fleet without delay."""
        self._execute(self._membership.leave())
        self._flush()

    def discover(self, addresses: Iterable[str]) -> None:
        """Add daemon addresses that were read from the platform's table."""
        self._execute(self._membership.discover(addresses, self._clock_ms()))

    def check_pause(self) -> bool:
        """Detect a pause of this process, and rejoin the fleet after one.

        Return True if this call detected the pause: data that the kernel buffered
        during the pause is stale and must not be read.
        """
        pause_ms = self._pause_detector.check(self._boot_clock_ms())
        if not pause_ms:
            return False
        self.n_pauses += 1
        log.warning(Event.PAUSE_DETECTED, pause_ms=pause_ms)
        self.on_paused()
        self._execute(self._membership.resume(self._clock_ms()))
        return True

    def serve_stream(self, stream: FrameStream, hello: Hello) -> None:
        """Start using a control stream that another daemon opened."""
        now_ms = self._clock_ms()
        link = ControlLink(stream, hello.vm, hello.start_id, False, now_ms)
        self._add_link(link, hello.peer_address)

    def _tick(self) -> None:
        self.check_pause()
        self._execute(self._membership.tick(self._clock_ms()))
        loop = asyncio.get_running_loop()
        n_ticks = (
            _N_TICKS_PER_HEARTBEAT if self._links.vms else _N_TICKS_WITHOUT_NEIGHBOUR
        )
        delay_s = self._heartbeat_ms / 1000 / n_ticks
        self._tick_timer = loop.call_later(delay_s, self._tick)

    def _flush(self) -> None:
        self._flush_timer = None
        actions = list(self._membership.flush(self.is_writable, self._clock_ms()))
        # If there are no actions although a flush is due, the neighbours are slow. No
        # further flush is then scheduled here; the next tick flushes again.
        self._execute(actions, is_flush_wanted=bool(actions))

    def _execute(self, actions: Iterable[Action], is_flush_wanted: bool = True) -> None:
        is_changed = False
        for action in actions:
            if isinstance(action, Send):
                self.send(action.vm, action.frame)
            elif isinstance(action, Dial):
                self._start_task(self._dial(action.address))
            elif isinstance(action, Close):
                self._close_link(action.vm)
            elif isinstance(action, MemberChanged):
                is_changed = True
                record_change(self._decisions, action)
        if is_changed:
            self.on_members_changed()
        if is_flush_wanted and self._membership.is_flush_due:
            self._schedule_flush()

    def _schedule_flush(self) -> None:
        """Schedule a flush after a delay, so that changes of one burst share frames."""
        if self._flush_timer is None and not self._is_closed:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(_FLUSH_DELAY_S, self._flush)

    def _close_link(self, vm: str) -> None:
        link = self._links.get(vm)
        if link is not None:
            link.stream.close()

    async def _dial(self, address: str) -> None:
        def on_welcome(stream: FrameStream, welcome: Welcome) -> None:
            now_ms = self._clock_ms()
            link = ControlLink(stream, welcome.vm, welcome.start_id, True, now_ms)
            self._add_link(link, address)

        try:
            await self._dialler.dial(address, on_welcome)
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            now_ms = self._clock_ms()
            self._execute(self._membership.fail(address, is_refused, now_ms))

    def _add_link(self, link: ControlLink, address: str) -> None:
        """Start using a new stream, or close it if the current stream is preferred."""
        if not self._links.is_preferred(link):
            self._membership.mark_reached(address)
            link.stream.close()
            return
        vm = link.vm
        link.stream.on_frame = lambda frame: self._on_frame(link, frame)
        link.stream.closed_callbacks.append(lambda reason: self._on_closed(link))
        replaced = self._links.put(link)
        if replaced is not None:
            replaced.stream.close()
            _call_all(self.neighbour_down_callbacks, vm)
        log.info(Event.PEER_CONNECTED, peer=vm)
        now_ms = self._clock_ms()
        self._execute(self._membership.open(vm, address, link.is_dialler, now_ms))
        _call_all(self.neighbour_up_callbacks, vm)

    def _on_closed(self, link: ControlLink) -> None:
        if not self._links.remove(link) or self._is_closed:
            return
        log.info(Event.PEER_LOST, peer=link.vm)
        self._execute(self._membership.close(link.vm, self._clock_ms()))
        _call_all(self.neighbour_down_callbacks, link.vm)

    def _on_frame(self, link: ControlLink, frame: Any) -> None:
        if self._links.get(link.vm) is not link:
            return
        now_ms = self._clock_ms()
        self._execute(self._membership.receive(link.vm, frame, now_ms))
        if isinstance(frame, _MEMBER_FRAMES):
            return
        handle = self.frame_handlers.get(type(frame), self.on_configuration_frame)
        handle(link.vm, frame)

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _call_all(callbacks: Iterable[Callable[[str], None]], vm: str) -> None:
    for callback in callbacks:
        callback(vm)


__all__ = ["ControlPlane"]
