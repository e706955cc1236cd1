"""Distributes accepted versions to this daemon and puts them in force."""

from __future__ import annotations

import asyncio
import math
import random
import secrets
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, Final

import structlog
from msgspec.structs import asdict, replace
from result import Result

from pepperstair_core.accounts import AccountTable, compile_accounts
from pepperstair_core.config import PlatformSettings
from pepperstair_core.decisions import DecisionKind, DecisionLog
from pepperstair_core.distribution import (
    AcknowledgementCollection,
    Action,
    ApplyNext,
    ChangeAccepted,
    Converged,
    Distribution,
    DistributionEvent,
    FrameReceived,
    MembersChanged,
    NeighbourDown,
    NeighbourUp,
    Outbox,
    Paused,
    PutInForce,
    RecordDecision,
    Reject,
    Send,
    Tick,
    Timing,
    collect,
)
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.events import Event
from pepperstair_core.freshness import VersionBasis
from pepperstair_core.labels import Labels
from pepperstair_core.membership import MemberDirectory
from pepperstair_core.routing import (
    RouteTable,
    apply_override,
    compile_routes,
    label_overrides_by_workload,
)
from pepperstair_core.versions import Snapshot
from pepperstair_peers import ControlPlane
from pepperstair_platform import (
    Accepted,
    ChangeRequest,
    Platform,
    accept_change,
    result_of_repeated_change,
)

from ..clock import monotonic_ms, wall_ms
from .records import VersionRecord, VersionRecords
from .source import ConfigurationSource

log = structlog.get_logger(__name__)

_TICK_S: Final = 0.05
_N_UNKNOWN_OUTCOMES_MAX: Final = 1000


class ConfigurationAgent:
    """Holds the versions in force and executes the actions of the distribution.

    `distribution` is the state machine without input or output: it receives
    events, and the agent executes the actions that it returns.
    """

    def __init__(
        self,
        platform: Platform,
        settings: PlatformSettings,
        control: ControlPlane,
        directory: MemberDirectory,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        own = directory.own()
        self._control = control
        self._directory = directory
        self._decisions = decisions
        self._own_vm = own.vm
        self._proxy_labels: Labels = dict(own.labels)
        self._in_force: dict[str, Snapshot] = {}
        self._platform = platform
        self._unknown_outcome_ids: deque[str] = deque(maxlen=_N_UNKNOWN_OUTCOMES_MAX)
        self._outbox = Outbox()
        self._source = ConfigurationSource(platform, self._handle)
        self._tasks: list[asyncio.Task[None]] = []
        self._has_inbox_items = asyncio.Event()
        timing = Timing(poll_interval_ms=settings.poll_interval_ms)
        self.distribution = Distribution(own.vm, own.availability_zone, rng, timing)
        self.records = VersionRecords()
        self.route_table = RouteTable()
        self.accounts = AccountTable(secret=secrets.token_bytes())
        self.overrides: Mapping[str, Labels] = {}
        self.on_changed: Callable[[Snapshot], None] = lambda snapshot: None
        self.on_converged: Callable[[str, int], None] = lambda customer, ms: None

    @property
    def is_floor_known(self) -> bool:
        """Return whether this daemon has its floor in force.

        The floor consists of the versions that it may have held before its last start
        or pause.
        """
        return self.distribution.floor.is_known

    @property
    def reached_by(self) -> str:
        """Return the source of the floor: platform, neighbours or none yet."""
        return self.distribution.floor.reached_by.value

    def start(self) -> None:
        """Register callbacks with the control plane and start the tasks."""
        control = self._control
        control.neighbour_up_callbacks.append(lambda vm: self._handle(NeighbourUp(vm)))
        control.neighbour_down_callbacks.append(self._on_neighbour_down)
        control.on_configuration_frame = lambda vm, frame: self._handle(
            FrameReceived(vm, frame)
        )
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._tick_forever()),
            loop.create_task(self._apply_inbox_forever()),
        ]

    def close(self) -> None:
        """Cancel every task and every read."""
        for task in self._tasks:
            task.cancel()
        self._source.close()

    def members_changed(self) -> None:
        """Pass the current members of the directory to the distribution."""
        self._handle(MembersChanged(self._directory.members()))

    def catch_up(self) -> None:
        """Determine the floor again after a pause, before calls are served."""
        self._handle(Paused())

    async def accept(self, change: ChangeRequest) -> Result[Accepted, Failure]:
        """Commit a change on the platform and distribute it, or return the failure.

        A change that is already in force on this daemon is answered without a call to
        the platform, so a caller that lost the answer can retry successfully even
        during an outage of the platform.
        """
        repeated = self._find_accepted(change)
        if repeated is not None:
            return repeated
        if change.change_id in self._unknown_outcome_ids:
            change = replace(change, is_asked_again=True)
        accepted = await accept_change(self._platform, change)
        if accepted.is_ok():
            self._handle(ChangeAccepted(accepted.unwrap().snapshot))
        elif accepted.unwrap_err().kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN:
            self._unknown_outcome_ids.append(change.change_id)
        return accepted

    def _find_accepted(self, change: ChangeRequest) -> Result[Accepted, Failure] | None:
        customer = change.intent.customer
        record = self.records.find_change(customer, change.change_id)
        if record is None:
            return None
        return result_of_repeated_change(record.head, change)

    def versions(self) -> dict[str, int]:
        """Return the version in force of each customer."""
        return {
            customer: snapshot.head.version
            for customer, snapshot in sorted(self._in_force.items())
        }

    def get(self, customer: str) -> Snapshot | None:
        """Return the snapshot in force of a customer."""
        return self._in_force.get(customer)

    def collect(self, customer: str, version: int) -> AcknowledgementCollection:
        """Start collecting acknowledgements from the VMs that have a version in force.

        The first inquiry to the fleet is sent without delay.
        """
        distribution = self.distribution
        return collect(
            distribution.convergence,
            distribution.state,
            customer,
            version,
            monotonic_ms(),
            0,
        )

    def proxy_labels(self) -> Labels:
        """Return the labels of this proxy with the operators' overrides applied."""
        labels = dict(self._proxy_labels)
        apply_override(labels, self.overrides.get(self._own_vm, {}))
        return labels

    def age_ms(self) -> int:
        """Return -1 (unknown).

        The heads of all customers are polled together, so no time is known at which the
        version of one customer was confirmed as the newest.
        """
        return -1

    def basis(self) -> VersionBasis | None:
        """Return None: a request without a route belongs to no single customer."""
        return None

    def proof_age_ms(self) -> float:
        """Return infinity, as no proof is known for the reason given at `age_ms`."""
        return math.inf

    def counters(self) -> dict[str, int]:
        """Return the counts that `status` and the metrics show."""
        return asdict(self.distribution.state.counters)

    def rejected(self) -> dict[str, Any]:
        """Return the rejected version of each customer, and the cause.

        No part of a rejected version is applied. Customers that hold the same or
        a newer version by now are omitted.
        """
        return {
            name: {"version": state.rejected.version, "cause": state.rejected_cause}
            for name, state in sorted(self.distribution.state.customers.items())
            if state.rejected is not None
            and state.rejected.version > state.held_version
        }

    def _handle(self, event: DistributionEvent) -> None:
        was_floor_known = self.is_floor_known
        for action in self.distribution.handle(event, monotonic_ms()):
            self._execute(action)
        if self.is_floor_known and not was_floor_known:
            log.info(Event.READY, reached_by=self.reached_by)
        self._flush_outbox()
        if self.distribution.state.inbox:
            self._has_inbox_items.set()

    def _execute(self, action: Action) -> None:
        match action:
            case Send(vm, frame, ""):
                self._control.send(vm, frame)
            case Send(vm, frame, customer):
                self._outbox.put(vm, customer, frame)
            case PutInForce(snapshot, learnt_from):
                self._put_in_force(snapshot, learnt_from)
            case Reject():
                self._report_rejected(action)
            case RecordDecision(kind, subject, cause, figures):
                self._record_decision(kind, subject, cause, figures)
            case Converged():
                self._report_converged(action)
            case _:
                self._source.start(action)

    def _flush_outbox(self) -> None:
        """Send queued frames while the stream to each neighbour is writable."""
        for vm in list(self._outbox.pending_vms()):
            while self._control.is_writable(vm):
                frame = self._outbox.take(vm)
                if frame is None:
                    break
                self._control.send(vm, frame)

    def _put_in_force(self, snapshot: Snapshot, learnt_from: str) -> None:
        head = snapshot.head
        self._in_force[head.customer] = snapshot
        self.overrides = label_overrides_by_workload(self._in_force.values())
        self.route_table = compile_routes(self._in_force.values(), self.proxy_labels())
        self.accounts = compile_accounts(self._in_force.values(), self.accounts)
        self.records.add(VersionRecord(head, learnt_from, wall_ms()))
        log.info(
            Event.VERSION_IN_FORCE,
            customer=head.customer,
            version=head.version,
            learnt_from=learnt_from,
        )
        self.on_changed(snapshot)

    def _report_rejected(self, action: Reject) -> None:
        head = action.head
        log.error(
            Event.VERSION_REJECTED,
            customer=head.customer,
            version=head.version,
            learnt_from=action.learnt_from,
            cause=action.cause,
        )
        cause = f"version {head.version}: {action.cause}"
        self._record_decision(DecisionKind.REJECTED, head.customer, cause, ())

    def _report_converged(self, action: Converged) -> None:
        self.records.record_convergence(
            action.customer, action.version, action.convergence_ms
        )
        record = self.records.find(action.customer, action.version)
        if record is not None and record.head.accepted_by == self._own_vm:
            self.on_converged(action.customer, action.convergence_ms)
        log.info(
            Event.CHANGE_CONVERGED,
            customer=action.customer,
            version=action.version,
            convergence_ms=action.convergence_ms,
            n_vms=action.n_vms,
        )

    def _record_decision(
        self,
        kind: DecisionKind,
        subject: str,
        cause: str,
        figures: tuple[tuple[str, float], ...],
    ) -> None:
        self._decisions.record(kind, subject, cause, figures)

    def _on_neighbour_down(self, vm: str) -> None:
        self._outbox.drop(vm)
        self._handle(NeighbourDown(vm))

    async def _tick_forever(self) -> None:
        self.members_changed()
        while True:
            self._handle(Tick())
            await asyncio.sleep(_TICK_S)

    async def _apply_inbox_forever(self) -> None:
        """Apply received versions, one item per iteration of the event loop.

        A burst of large versions that is applied at once would block the event
        loop and delay the calls on this VM.
        """
        while True:
            await self._has_inbox_items.wait()
            self._has_inbox_items.clear()
            while self.distribution.state.inbox:
                self._handle(ApplyNext())
                await asyncio.sleep(0)


__all__ = ["ConfigurationAgent"]
