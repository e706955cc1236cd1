"""The sending side of calls, with one link to each daemon that receives calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import structlog

from pepperstair_core.calls import Load
from pepperstair_core.wire import CallHead, StreamKind
from pepperstair_http import BodyBuffer, StreamedResponse

from ..counters import FrameCounters
from ..dialling import Dialler
from ..identity import Identity
from .link import N_SILENT_HEARTBEATS, PeerLink

log = structlog.get_logger(__name__)


class CallClient:
    """Sends calls to other daemons, over one stream per daemon."""

    def __init__(
        self,
        identity: Identity,
        frame_max_bytes: int,
        counters: FrameCounters,
        heartbeat_ms: int,
        clock_ms: Callable[[], int],
    ) -> None:
        own_silence_ms = max(identity.silence_ms, N_SILENT_HEARTBEATS * heartbeat_ms)
        # Whatever delays a heartbeat on the link delays a handshake too, so the dial
        # timeout is derived from the silence limit. It is shorter by one heartbeat
        # because a handshake is delayed only once.
        dial_timeout_ms = own_silence_ms - heartbeat_ms
        self._dialler = Dialler(
            identity, StreamKind.DATA, frame_max_bytes, counters, dial_timeout_ms
        )
        self._silence_ms = own_silence_ms
        self._heartbeat_ms = heartbeat_ms
        self._clock_ms = clock_ms
        self._links: dict[str, PeerLink] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._last_tick_ms = 0

    @property
    def n_in_flight(self) -> int:
        """Return the number of calls whose answers are not complete yet."""
        return sum(link.n_calls for link in self._links.values())

    @property
    def n_dropped_frames(self) -> int:
        """Return the number of frames received for calls that no longer exist."""
        return sum(link.n_dropped_frames for link in self._links.values())

    @property
    def n_replaced_streams(self) -> int:
        """Return the number of streams lost while calls were in flight on them."""
        return sum(link.n_replaced_streams for link in self._links.values())

    async def run(
        self, peer_address: str, head: CallHead, body: BodyBuffer
    ) -> StreamedResponse:
        """Send a call to a daemon and return its answer, or raise PepperstairError."""
        return await self._link_to(peer_address).run(head, body)

    async def ask(self, peer_address: str, question: Any, timeout_s: float) -> Any:
        """Send a frame with a `number` and return the answer to it.

        Raise TimeoutError if the answer does not arrive in time, or PepperstairError if
        the daemon can't be reached.
        """
        async with asyncio.timeout(timeout_s):
            return await self._link_to(peer_address).ask(question)

    def load_of(self, peer_address: str, target: str) -> Load | None:
        """Return the load that a daemon last reported for one of its targets."""
        link = self._links.get(peer_address)
        return None if link is None else link.loads.get(target)

    def close(self) -> None:
        """Close every stream and fail the calls in flight."""
        if self._timer is not None:
            self._timer.cancel()
        for link in self._links.values():
            link.close()

    def _link_to(self, peer_address: str) -> PeerLink:
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
                self._last_tick_ms = self._clock_ms()
                self._schedule()
        return link

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._heartbeat_ms / 1000 / 2, self._tick)

    def _tick(self) -> None:
        now_ms = self._clock_ms()
        # After a pause of this process, answers are still buffered in the kernel. If
        # the streams were checked for silence before these answers are read, all
        # streams would appear silent and be replaced.
        is_late_tick = now_ms - self._last_tick_ms > self._heartbeat_ms
        self._last_tick_ms = now_ms
        for address, link in list(self._links.items()):
            if is_late_tick:
                link.reset_silence_timer(now_ms)
            link.tick(now_ms)
            if link.is_unused:
                del self._links[address]
        self._schedule()


__all__ = ["CallClient"]
