"""Builds the components of the naive daemon and connects them on one event loop."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Iterable

import structlog
from msgspec.structs import replace

from pepperstair_core.config import Settings, parse_address
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.events import Event
from pepperstair_core.members import Member, MemberState, label_items
from pepperstair_core.membership import MemberDirectory
from pepperstair_core.routing import CompiledRoute, Endpoint, iter_endpoints
from pepperstair_core.wire import CallHead, StreamKind
from pepperstair_http import BodyBuffer, HttpServer, ServerLimits, StreamedResponse
from pepperstair_operators import OperatorServer
from pepperstair_peers import (
    CallClient,
    CallServer,
    ControlPlane,
    FrameCounters,
    Identity,
    PeerListener,
)
from pepperstair_platform import Platform
from pepperstair_targets import TargetRegistry
from pepperstaird.clock import monotonic_ms, wall_ms

from .configuration import PollingAgent
from .operations import add_naive_operations
from .proxy import NaiveContext, NaiveProxy
from .runner import NaiveRunner

log = structlog.get_logger(__name__)

_LEASE_CHECK_S = 0.25


class NaiveDaemon:
    """One naive daemon: its components and the functions that connect them."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.rng = random.Random()
        identity = Identity(settings.vm.name, wall_ms(), settings.peers.address)
        self.directory = MemberDirectory(_own_member(settings, identity))
        self.platform = Platform(settings.platform)
        self.configuration = PollingAgent(
            self.platform, settings.platform, settings.vm.labels
        )
        self.registry = TargetRegistry(settings.members.target_lease_ms)
        self.registry.on_changed = self._publish_targets
        self.runner = NaiveRunner(self.registry)
        frame_max_bytes = settings.peers.frame_max_bytes
        self.frame_counters = {kind: FrameCounters() for kind in StreamKind}
        heartbeat_ms = settings.members.heartbeat_ms
        self.call_client = CallClient(
            identity,
            frame_max_bytes,
            self.frame_counters[StreamKind.DATA],
            heartbeat_ms,
            monotonic_ms,
        )
        self.call_server = CallServer(
            self.runner.run,
            settings.calls.n_remembered_runs_max,
            heartbeat_ms,
            monotonic_ms,
        )
        self.control = ControlPlane(
            identity,
            self.directory,
            settings.members,
            settings.peers,
            self.frame_counters[StreamKind.CONTROL],
            DecisionLog(lambda: 0),
            self.rng,
            monotonic_ms,
        )
        self.listener = PeerListener(
            identity,
            frame_max_bytes,
            {
                StreamKind.CONTROL: self.control.serve_stream,
                StreamKind.DATA: self.call_server.serve_stream,
            },
            self.frame_counters,
        )
        self.proxy = NaiveProxy(self._proxy_context())
        self.callers = HttpServer(self.proxy.handle, ServerLimits())
        operators = OperatorServer(settings.operators)
        add_naive_operations(operators, self)
        self.operators = HttpServer(operators.handle, ServerLimits())
        self._lease_task: asyncio.Task[None] | None = None

    def is_ready(self) -> bool:
        """Return whether the daemon may serve calls."""
        return self.configuration.is_floor_known

    def counters(self) -> dict[str, int]:
        """Return the counters that `status` shows."""
        return {
            "n_calls": self.proxy.n_calls,
            "n_calls_failed": self.proxy.n_failed,
            "n_call_retries": self.proxy.n_retries,
            "n_platform_reads": self.platform.counters.n_reads,
            "n_platform_writes": self.platform.counters.n_writes,
            **dict(self.frame_counters[StreamKind.CONTROL].iter_named("control")),
        }

    async def start(self) -> None:
        """Listen on every address and start joining the fleet."""
        settings = self.settings
        await self.operators.listen(*parse_address(settings.operators.address))
        await self.listener.listen(*parse_address(settings.peers.address))
        await self.callers.listen(*parse_address(settings.callers.address))
        self.control.start()
        self.configuration.start()
        self._lease_task = asyncio.get_running_loop().create_task(self._check_leases())
        log.info(Event.STARTED, peer_address=settings.peers.address)

    async def stop(self) -> None:
        """Wait for the calls in flight at local targets, then close everything."""
        log.info(Event.STOPPING)
        self.runner.is_draining = True
        self.callers.drain()
        deadline_ms = monotonic_ms() + self.settings.calls.drain_timeout_ms
        while self.runner.n_in_flight and monotonic_ms() < deadline_ms:
            await asyncio.sleep(0.02)
        self._lease_task.cancel()
        self.configuration.close()
        self.control.leave()
        self.control.close()
        self.call_client.close()
        self.listener.close()
        self.runner.close()
        self.callers.close()
        self.operators.close()
        self.platform.close()
        log.info(Event.STOPPED)

    def _proxy_context(self) -> NaiveContext:
        return NaiveContext(
            vm=self.settings.vm.name,
            route_table=lambda: self.configuration.route_table,
            endpoints=self._endpoints,
            choose=self._choose,
            send_attempt=self._send_attempt,
            is_ready=self.is_ready,
            body_max_bytes=self.settings.callers.body_max_bytes,
        )

    def _endpoints(self, compiled: CompiledRoute) -> Iterable[Endpoint]:
        return iter_endpoints(
            self.directory.members(),
            compiled.target_selector,
            self.configuration.overrides,
        )

    def _choose(self, endpoints: list[Endpoint]) -> Endpoint | None:
        return self.rng.choice(endpoints) if endpoints else None

    async def _send_attempt(
        self, endpoint: Endpoint, head: CallHead, body: BodyBuffer
    ) -> StreamedResponse:
        if endpoint.vm == self.settings.vm.name:
            return await self.runner.run(head, body)
        return await self.call_client.run(endpoint.peer_address, head, body)

    def _publish_targets(self) -> None:
        own = self.directory.own()
        self.control.publish(
            replace(own, sequence=own.sequence + 1, targets=self.registry.targets())
        )

    async def _check_leases(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_CHECK_S)
            self.registry.expire(monotonic_ms())


def _own_member(settings: Settings, identity: Identity) -> Member:
    return Member(
        settings.vm.name,
        identity.start_id,
        0,
        MemberState.ALIVE,
        settings.vm.availability_zone,
        settings.peers.address,
        label_items(settings.vm.labels),
    )


async def run_naive_daemon(settings: Settings) -> int:
    """Run a naive daemon until SIGTERM or SIGINT and return its exit code."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    daemon = NaiveDaemon(settings)
    await daemon.start()
    await stopping.wait()
    await daemon.stop()
    return 0


__all__ = ["NaiveDaemon", "run_naive_daemon"]
