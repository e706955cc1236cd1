"""Builds the components of the daemon and connects them on one event loop."""

from __future__ import annotations

import asyncio
import math
import random
import socket
from collections.abc import Iterator
from typing import Final

import structlog
from msgspec.structs import replace

from pepperstair_callers import Proxy
from pepperstair_core.burn import BurnCounts
from pepperstair_core.calls import (
    JOINING_MS,
    LinkPacer,
    Quarantine,
    TargetChooser,
    TargetExclusions,
)
from pepperstair_core.config import Settings, parse_address
from pepperstair_core.decisions import DecisionLog
from pepperstair_core.events import Event
from pepperstair_core.intent import Policy
from pepperstair_core.members import (
    Member,
    MemberState,
    Target,
    TargetState,
    label_items,
)
from pepperstair_core.membership import MemberDirectory
from pepperstair_core.policies import DEFAULT_POLICY
from pepperstair_core.routing import (
    Endpoint,
    EndpointTable,
    effective_labels,
)
from pepperstair_core.versions import Snapshot
from pepperstair_core.wire import StreamKind
from pepperstair_core.wire.data import BODY_PART_MAX_BYTES
from pepperstair_http import (
    HttpServer,
    PipelineLimits,
    ServerLimits,
)
from pepperstair_operators import OperatorServer
from pepperstair_peers import (
    CallClient,
    CallServer,
    ControlPlane,
    FrameCounters,
    Identity,
    PeerListener,
)
from pepperstair_targets import TargetRegistry, TargetRunner

from .clock import boot_ms, monotonic_ms, precise_ms, wall_ms
from .counters import read_counters, read_gauges
from .crash_reports import CrashReports
from .dependencies import AdditionalServer, DaemonDependencies
from .exclusion_reports import report_absent
from .exposition import Exposition
from .metrics import MetricsSender
from .proxying import make_proxy_context
from .quarantine_rows import QuarantineRows
from .quotas import Quotas
from .rolling_out import make_rollouts
from .stopping import stop_daemon

log = structlog.get_logger(__name__)

_LEASE_CHECK_INTERVAL_S: Final = 0.25
# Time during which changes of members are collected to be processed as one batch.
_MEMBER_BATCH_S: Final = 0.01


class Daemon:
    """A daemon: all its components and the callbacks that connect them."""

    def __init__(self, settings: Settings, dependencies: DaemonDependencies) -> None:
        self.settings = settings
        self.dependencies = dependencies
        self.is_stopping = False
        self.stop_deadline_ms = math.inf
        self.started_ms = precise_ms()
        self._alive_incarnations: dict[str, int] = {}
        self.body_max_bytes = settings.callers.body_max_bytes
        self.rng = random.Random()
        self.decisions = DecisionLog(wall_ms)
        self.burn = BurnCounts(monotonic_ms())
        self.metrics = MetricsSender(
            settings.metrics,
            settings.vm.name,
            lambda: read_counters(self),
            lambda: read_gauges(self),
        )
        self.exposition = Exposition(
            lambda: read_counters(self), lambda: read_gauges(self)
        )
        start_id = wall_ms()
        peer_address = settings.peers.advertised_address or settings.peers.address
        self.identity = Identity(
            settings.vm.name,
            start_id,
            peer_address,
            settings.calls.stream_silence_ms,
        )
        self.directory = MemberDirectory(
            Member(
                settings.vm.name,
                start_id,
                0,
                MemberState.ALIVE,
                settings.vm.availability_zone,
                peer_address,
                label_items(settings.vm.labels),
                operators_address=_operators_address(settings),
                link_mbps=settings.peers.link_mbps,
            )
        )
        self.platform = dependencies.make_platform(settings)
        self.quarantine = Quarantine()
        self.registry = TargetRegistry(settings.members.target_lease_ms)
        self.runner = TargetRunner(
            self.registry,
            precise_ms,
            self._policy_of,
            self.decisions,
            dependencies.target_options,
            self.quarantine,
        )
        self.chooser = TargetChooser(
            settings.vm.availability_zone, self.rng, JOINING_MS
        )
        self.frame_counters = {kind: FrameCounters() for kind in StreamKind}
        stream_heartbeat_ms = settings.calls.stream_heartbeat_ms
        stream_heartbeat_ms = stream_heartbeat_ms or settings.members.heartbeat_ms
        self.call_client = CallClient(
            self.identity,
            settings.peers.frame_max_bytes,
            self.frame_counters[StreamKind.DATA],
            stream_heartbeat_ms,
            monotonic_ms,
        )
        pacer = LinkPacer(settings.peers.link_mbps, BODY_PART_MAX_BYTES)
        self.runner.link_backlog_ms = lambda: pacer.backlog_ms(precise_ms())
        self.call_server = CallServer(
            self.runner.run,
            settings.calls.n_remembered_runs_max,
            stream_heartbeat_ms,
            monotonic_ms,
            pacer,
        )
        self.control = ControlPlane(
            self.identity,
            self.directory,
            settings.members,
            settings.peers,
            self.frame_counters[StreamKind.CONTROL],
            self.decisions,
            self.rng,
            monotonic_ms,
            boot_ms,
        )
        self.crash_reports = CrashReports(
            self.identity,
            self.control,
            self.quarantine,
            QuarantineRows(
                dependencies.make_row_table(self), wall_ms, settings.vm.is_first_start
            ),
            self.decisions,
            precise_ms,
        )
        self.runner.on_crash = self.crash_reports.report_crash
        self.runner.on_cleared = self.crash_reports.report_cleared
        self.configuration = dependencies.make_configuration(self)
        self.member_table = dependencies.make_member_table(self)
        self.rollouts = make_rollouts(self)
        self.listener = PeerListener(
            self.identity,
            settings.peers.frame_max_bytes,
            {
                StreamKind.CONTROL: self.control.serve_stream,
                StreamKind.DATA: self.call_server.serve_stream,
            },
            self.frame_counters,
        )
        self.quotas = Quotas(
            self.identity,
            settings.quotas,
            self.directory,
            self.call_client,
            self.call_server,
            lambda: self.configuration.accounts,
            boot_ms,
        )
        self.call_server.loads = self.runner.loads
        self.call_server.was_paused = self.control.check_pause
        self.control.on_paused = self._on_paused
        self.control.on_members_changed = self._schedule_member_update
        self.proxy = Proxy(make_proxy_context(self))
        self.callers = HttpServer(
            self.proxy.handle,
            ServerLimits(
                settings.callers.n_connections_max,
                settings.callers.header_max_bytes,
                settings.callers.idle_timeout_ms,
                pipelining=PipelineLimits(
                    settings.callers.n_requests_ahead_max,
                    settings.callers.ahead_request_max_bytes,
                    settings.callers.ahead_answer_max_bytes,
                ),
            ),
            self.proxy.is_repeatable,
        )
        operators = OperatorServer(settings.operators)
        dependencies.add_operations(operators, self)
        self.operators = HttpServer(operators.handle, ServerLimits())
        self.additional_servers = (
            *dependencies.iter_servers(self),
            *self._iter_metrics_server(),
        )
        self.endpoint_table = EndpointTable()
        self.exclusions = TargetExclusions()
        self.registry.on_changed = self.publish_targets
        self.configuration.on_changed = self._on_configuration_changed
        self.configuration.on_converged = self._record_convergence
        self._members_timer: asyncio.TimerHandle | None = None
        self._lease_task: asyncio.Task[None] | None = None
        self._settings_task: asyncio.Task[None] | None = None

    @property
    def readiness_source(self) -> str:
        """Return how the daemon became ready, or an empty string."""
        return self.configuration.reached_by

    def is_ready(self) -> bool:
        """Return whether the daemon may proxy calls."""
        self.control.check_pause()
        return self.configuration.is_floor_known

    @property
    def is_joining(self) -> bool:
        """Return whether this daemon has yet to meet the first member of its fleet.

        A daemon may be ready before: it has read its configuration from the platform.
        After `JOINING_MS`, a daemon that has met nobody counts as the only one.
        """
        is_alone = len(self.directory.members()) == 1
        has_seeds = bool(self.settings.peers.seed_addresses)
        age_ms = precise_ms() - self.started_ms
        return is_alone and has_seeds and age_ms < JOINING_MS

    @property
    def is_accepting_callers(self) -> bool:
        """Return whether callers should continue to use this daemon."""
        return self.is_ready() and not self.is_stopping

    def _schedule_member_update(self) -> None:
        """Schedule one update for all changes of members within a short time."""
        if self._members_timer is None:
            loop = asyncio.get_running_loop()
            self._members_timer = loop.call_later(_MEMBER_BATCH_S, self._update_members)

    def _update_members(self) -> None:
        self._members_timer = None
        self.configuration.members_changed()
        self._clear_ejections_of_returned()
        self.quotas.members_changed()
        self.exclusions.update_members(self.directory.members(), precise_ms())
        self._rebuild_endpoints()

    def _on_configuration_changed(self, snapshot: Snapshot) -> None:
        self.runner.is_shared = self.configuration.accounts.is_in_use
        self.quotas.configuration_changed()
        self._rebuild_endpoints()

    def _clear_ejections_of_returned(self) -> None:
        """Clear the ejections of targets whose VM has rejoined or restarted.

        Otherwise an unreachable target could stay ejected for half a minute after its
        VM has announced that it is alive again.
        """
        returned = {
            member.vm: member.incarnation
            for member in self.directory.members()
            if member.state is MemberState.ALIVE
        }
        for vm, incarnation in returned.items():
            if self._alive_incarnations.get(vm) != incarnation:
                self.chooser.clear_ejection(vm)
        self._alive_incarnations = returned

    def _on_paused(self) -> None:
        """Stop proxying calls until the configuration is up to date again."""
        self.configuration.catch_up()
        self.quotas.resume()
        if self.rollouts is not None:
            self.rollouts.catch_up()
        self.call_server.reset_streams()

    async def start(self, callers_socket: socket.socket | None = None) -> None:
        """Listen on every address and start joining the fleet.

        `callers_socket` is the listening socket for callers if it is already open.
        Raise OSError if an address can't be bound.
        """
        settings = self.settings
        await self.operators.listen(*parse_address(settings.operators.address))
        await self.listener.listen(*parse_address(settings.peers.address))
        await self.callers.listen(
            *parse_address(settings.callers.address), callers_socket
        )
        for additional in self.additional_servers:
            await additional.server.listen(*parse_address(additional.address))
        if self.rollouts is not None:
            # Before the configuration, so that a new neighbour gets the orders first.
            self.rollouts.start()
        self.configuration.start()
        self.control.start()
        self.member_table.start()
        self.crash_reports.start()
        self.metrics.start()
        loop = asyncio.get_running_loop()
        self._lease_task = loop.create_task(self._check_leases())
        if self.dependencies.follow_settings is not None:
            following = self.dependencies.follow_settings(self)
            self._settings_task = loop.create_task(following)
        log.info(Event.STARTED, peer_address=self.identity.peer_address)

    async def stop(self) -> None:
        """Finish the calls in flight, refuse new calls, then close.

        A refused call is answered as not run.
        """
        await stop_daemon(self)

    def close(self) -> None:
        """Cancel the background tasks and close every connection."""
        self._lease_task.cancel()
        if self._members_timer is not None:
            self._members_timer.cancel()
        if self._settings_task is not None:
            self._settings_task.cancel()
        self.metrics.close()
        self.configuration.close()
        if self.rollouts is not None:
            self.rollouts.close()
        self.crash_reports.close()
        self.control.close()
        self.quotas.close()
        self.call_client.close()
        self.call_server.close()
        self.listener.close()
        self.runner.close()
        self.callers.close()
        self.operators.close()
        for additional in self.additional_servers:
            additional.server.close()
        self.platform.close()

    def _iter_metrics_server(self) -> Iterator[AdditionalServer]:
        address = self.settings.metrics.prometheus_address
        if address:
            server = HttpServer(self.exposition.handle, ServerLimits())
            yield AdditionalServer(server, address)

    def _record_convergence(self, customer: str, convergence_ms: int) -> None:
        self.burn.add_convergence(customer, monotonic_ms(), convergence_ms)

    def _rebuild_endpoints(self) -> None:
        self.endpoint_table = EndpointTable(
            self.directory.members(),
            self.configuration.overrides,
            self.configuration.route_table.policies,
            self.endpoint_table,
            self.exclusions.excluded(self.directory.get, precise_ms()),
        )
        if self.rollouts is not None:
            self.rollouts.update_targets()

    def record_leaving(self, endpoint: Endpoint) -> None:
        """Send no more calls to a target that states in an answer that it is leaving.

        The daemon on the target's VM refuses them too, but only until it restarts.
        """
        member = self.directory.get(endpoint.vm)
        if member is None:
            return
        if self.exclusions.add_leaving(endpoint.key, member, precise_ms()):
            self._rebuild_endpoints()

    def record_absent(self, endpoint: Endpoint, sent_ms: float) -> None:
        """Send no more calls to a target that the daemon at its address doesn't know.

        If its VM is lost and another one has its address, the VM's record is outdated
        for seconds, until the VM is considered gone. `sent_ms` is when the refused call
        was sent.
        """
        member = self.directory.get(endpoint.vm)
        if member is None:
            return
        key = endpoint.key
        if self.exclusions.add_absent(key, member, sent_ms, precise_ms()):
            report_absent(endpoint.target, member, self.decisions)
            self._rebuild_endpoints()

    def _policy_of(self, customer: str, target: Target) -> Policy:
        policies = self.configuration.route_table.policies
        if not policies.policies:
            return DEFAULT_POLICY
        labels = effective_labels(
            self.settings.vm.name, target, self.configuration.overrides
        )
        return policies.find(customer, labels)

    def publish_targets(self) -> None:
        """Announce this VM's targets to the fleet; as draining if the daemon stops."""
        self.runner.sync_with_registry()
        targets = self.registry.targets()
        if self.is_stopping:
            targets = tuple(
                replace(target, state=TargetState.DRAINING) for target in targets
            )
        own = self.directory.own()
        self.control.publish(replace(own, sequence=own.sequence + 1, targets=targets))
        self._rebuild_endpoints()

    async def _check_leases(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_CHECK_INTERVAL_S)
            self.registry.expire(monotonic_ms())
            if self.exclusions.is_due(precise_ms()):
                self._rebuild_endpoints()


def _operators_address(settings: Settings) -> str:
    return settings.operators.advertised_address or settings.operators.address


__all__ = ["Daemon"]
