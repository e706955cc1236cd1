"""Provides the proxy with the state and functions of its daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from msgspec.structs import replace

from pepperstair_callers import ProxyContext
from pepperstair_core.calls import JOINING_MS, CallOutcome, Load
from pepperstair_core.routing import CompiledRoute, Endpoint
from pepperstair_core.wire import CallHead
from pepperstair_http import BodyBuffer, StreamedResponse

from .clock import monotonic_ms, precise_ms

if TYPE_CHECKING:
    from .daemon import Daemon

log = structlog.get_logger(__name__)


def make_proxy_context(daemon: Daemon) -> ProxyContext:
    """Return the state and functions of a daemon that its proxy uses.

    Calls to targets of this VM go through the daemon's runner, calls to all other
    targets through data streams to the daemons of their VMs.
    """
    vm = daemon.settings.vm.name

    def endpoints(compiled: CompiledRoute) -> tuple[Endpoint, ...]:
        table = daemon.endpoint_table
        return table.endpoints(
            compiled.target_selector, compiled.customer, compiled.target_keys
        )

    def load_of(endpoint: Endpoint) -> Load | None:
        # The load of a local target is exact; that of a remote target is the last value
        # reported by its daemon.
        if endpoint.vm == vm:
            return daemon.runner.load_of(endpoint.target.name)
        return daemon.call_client.load_of(endpoint.peer_address, endpoint.target.name)

    async def send_attempt(
        endpoint: Endpoint, head: CallHead, body: BodyBuffer
    ) -> StreamedResponse:
        if endpoint.vm == vm:
            return await daemon.runner.run(head, body)
        return await daemon.call_client.run(endpoint.peer_address, head, body)

    def record_outcome(outcome: CallOutcome) -> None:
        daemon.burn.add(outcome, monotonic_ms())
        daemon.metrics.add(outcome)
        daemon.exposition.add(outcome)

    context = ProxyContext(
        vm=vm,
        route_table=lambda: daemon.configuration.route_table,
        endpoints=endpoints,
        chooser=daemon.chooser,
        load_of=load_of,
        send_attempt=send_attempt,
        is_ready=daemon.is_ready,
        is_starting=lambda: precise_ms() - daemon.started_ms < JOINING_MS,
        on_outcome=record_outcome,
        is_draining=lambda: daemon.runner.is_draining,
        time_to_stop_ms=lambda: daemon.stop_deadline_ms - precise_ms(),
        decisions=daemon.decisions,
        budget_of=daemon.dependencies.make_budget_lookup(daemon),
        retry_budget_percent=daemon.settings.calls.retry_budget_percent,
        now_ms=precise_ms,
        rng=daemon.rng,
        quarantine=daemon.quarantine,
        body_max_bytes=lambda: daemon.body_max_bytes,
        header_names=daemon.dependencies.target_options.names,
        service=daemon.dependencies.service,
        on_leaving=daemon.record_leaving,
        on_absent=daemon.record_absent,
        accounts=lambda: daemon.configuration.accounts,
        version_basis=lambda: daemon.configuration.basis(),
        proof_age_ms=lambda: daemon.configuration.proof_age_ms(),
        account_limits=lambda: daemon.settings.accounts,
        n_running=lambda: daemon.runner.n_in_flight,
        take_quota=daemon.quotas.take,
        refund_quota=daemon.quotas.refund,
        on_inner_call_refused=lambda: daemon.runner.run_limits.record_refused_call(
            precise_ms()
        ),
    )
    if daemon.rollouts is None:
        return context
    return replace(
        context,
        pick_version=daemon.rollouts.routing.pick_version,
        pick_other_version=daemon.rollouts.routing.pick_other_version,
    )


__all__ = ["make_proxy_context"]
