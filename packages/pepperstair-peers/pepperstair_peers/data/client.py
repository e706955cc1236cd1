"""The sending side of calls: one link to each daemon in use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from pepperstair_core.calls import Load
from pepperstair_core.wire import CallHead, StreamKind
from pepperstair_http import BodyBuffer, StreamedResponse

from ..counters import FrameCounters
from ..dialling import Dialler
from ..identity import Identity
from .link import SILENT_HEARTBEATS, PeerLink

log = structlog.get_logger(__name__)


class CallClient:
    """Carries calls to other daemons over one stream each."""

    def __init__(
        self,
        identity: Identity,
        frame_max_bytes: int,
        counters: FrameCounters,
        heartbeat_ms: int,
        clock_ms: Callable[[], int],
    ) -> None:
        own_silence_ms = max(identity.silence_ms, SILENT_HEARTBEATS * heartbeat_ms)
        # What holds up a heartbeat holds up a greeting as well, once.
        dial_ms = own_silence_ms - heartbeat_ms
        self._dialler = Dialler(
            identity, StreamKind.DATA, frame_max_bytes, counters, dial_ms
        )
        self._silence_ms = own_silence_ms
        self._heartbeat_ms = heartbeat_ms
        self._clock_ms = clock_ms
        self._links: dict[str, PeerLink] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._ticked_ms = 0

    @property
    def n_in_flight(self) -> int:
        """Return the calls whose answers are not whole yet."""
        return sum(link.n_calls for link in self._links.values())

    @property
    def n_dropped_frames(self) -> int:
        """Return the frames that came for calls which were gone."""
        return sum(link.n_dropped_frames for link in self._links.values())

    @property
    def n_replaced_streams(self) -> int:
        """Return the streams that were lost while calls waited on them."""
        return sum(link.n_replaced_streams for link in self._links.values())

    async def run(
        self, peer_address: str, head: CallHead, body: BodyBuffer
    ) -> StreamedResponse:
        """Send a call to the daemon at an address, or raise PepperstairError."""
        link = self._links.get(peer_address)
        if link is None:
            link = PeerLink(
                peer_address,
                self._dialler,
                self._heartbeat_ms,
                self._silence_ms,
                self._clock_ms,
            )
            self._links[peer_address] = link
            if self._timer is None:
                self._ticked_ms = self._clock_ms()
                self._schedule()
        return await link.run(head, body)

    def load_of(self, peer_address: str, target: str) -> Load | None:
        """Return what a daemon last said about one of its targets."""
        link = self._links.get(peer_address)
        return None if link is None else link.loads.get(target)

    def close(self) -> None:
        """Break every stream."""
        if self._timer is not None:
            self._timer.cancel()
        for link in self._links.values():
            link.close()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._heartbeat_ms / 1000 / 2, self._tick)

    def _tick(self) -> None:
        now_ms = self._clock_ms()
        # After a pause of this process the answers wait in its kernel; to
        # judge the streams before reading them would replace all of them.
        was_late = now_ms - self._ticked_ms > self._heartbeat_ms
        self._ticked_ms = now_ms
        for address, link in list(self._links.items()):
            if was_late:
                link.restart_silence(now_ms)
            link.tick(now_ms)
            if link.is_unused:
                del self._links[address]
        self._schedule()


__all__ = ["CallClient"]
