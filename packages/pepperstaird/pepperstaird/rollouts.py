"""Moves the requests of services to other versions of their targets, on order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

import structlog
from msgspec.structs import replace

from pepperstair_core.decisions import DecisionLog
from pepperstair_core.errors import ErrorKind
from pepperstair_core.members import VERSION_LABEL, MemberState, Target, TargetState
from pepperstair_core.membership import MemberDirectory
from pepperstair_core.rendezvous import highest
from pepperstair_core.rollout import (
    Evidence,
    ExposureBudget,
    Phase,
    Portion,
    Rollout,
    RolloutOrder,
    RolloutState,
    RolloutTerms,
    VersionRecord,
    exposure_offset,
)
from pepperstair_core.rollout.version_records import (
    merge_records,
    record_end,
    record_superseded,
)
from pepperstair_peers import ControlPlane, Identity
from pepperstair_platform import WatchedRow

from .rollout_exchange import RolloutExchange
from .rollout_reports import (
    log_order,
    report_phase,
    report_portion,
    report_verdict,
)
from .rollout_rows import OrderRow, RolloutRows
from .rollout_targets import ServiceTargets
from .rollout_writer import RolloutWriter
from .version_routing import ActiveRollout, VersionRouting

log = structlog.get_logger(__name__)

_TICK_S: Final = 0.25
# Number of daemons that write that an order was seen. The other daemons do not hear
# whether that was written, and each would have to read the rows to find out.
_N_FIRST_WRITERS: Final = 8


class Rollouts:
    """Follows the orders, and agrees with the other daemons on their phases.

    `confirmed_ms` returns the moment at which all orders were last known here, and
    `n_unfinished` the number of calls that run on some targets of this VM or wait for
    them; the former uses the clock `now_ms`. Until the agreed states have been read,
    the rows of orders wait: the age of an order that was given before the start of this
    process is not known before.
    """

    def __init__(
        self,
        identity: Identity,
        control: ControlPlane,
        directory: MemberDirectory,
        rows: RolloutRows,
        terms: RolloutTerms,
        decisions: DecisionLog,
        n_unfinished: Callable[[Callable[[Target], bool]], int],
        confirmed_ms: Callable[[], float],
        now_ms: Callable[[], float],
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._rows = rows
        self._terms = terms
        self._decisions = decisions
        self._n_unfinished = n_unfinished
        self._confirmed_ms = confirmed_ms
        self._now_ms = now_ms
        self._active: dict[str, ActiveRollout] = {}
        self._targets = ServiceTargets(rows.service_of)
        self.routing = VersionRouting(self._targets, terms)
        self._waiting_rows: list[tuple[tuple[WatchedRow, ...], int | None]] = []
        # Orders that wait, by service and number.
        self._waiting_orders: dict[tuple[str, int], RolloutOrder] = {}
        self._exchange = RolloutExchange(
            control,
            self._merge_state,
            self._merge_evidence,
            self._iter_states,
            self._iter_evidence,
        )
        self._writer = RolloutWriter(
            rows,
            self._rank,
            self._adopt,
            self._add_records,
            self._promote_unwritten,
            now_ms,
        )
        self._timer: asyncio.TimerHandle | None = None
        self._started_ms = now_ms()
        self._n_members_max = 1
        # This daemon's rank among the writers by service, for the members as they are.
        self._ranks: dict[str, int] = {}
        self.n_bad = 0
        self.n_completed = 0
        self.n_rolled_back = 0

    def start(self) -> None:
        """Start exchanging rollouts, and read the agreed states."""
        self._exchange.start()
        self._writer.start(self._on_restored, self._rows.read_at_start)
        self._tick()

    def catch_up(self) -> None:
        """Read the agreed states again after a pause of this process.

        Until then, a version under trial gets no requests, as after a start.
        """
        self.routing.is_restored = False
        self._update_routing()
        self._writer.start(self._on_restored, self._rows.read)

    def close(self) -> None:
        """Stop exchanging, reading and writing."""
        if self._timer is not None:
            self._timer.cancel()
        self._exchange.close()
        self._writer.close()

    def update_targets(self) -> None:
        """Apply a change of the members."""
        self._ranks.clear()
        self._targets.update(self._directory.members())
        self._n_members_max = max(self._n_members_max, self._targets.n_members)
        self._update_routing()

    def refusal(self, target: Target) -> ErrorKind | None:
        """Return why a target of this VM takes no calls, or None if it takes them."""
        return self.routing.refusal(self._rows.service_of(target), target)

    def record(
        self, target: Target, route: str, is_bad: bool, service_ms: float
    ) -> None:
        """Count the outcome of a call on a target of this VM as evidence."""
        active = self._active.get(self._rows.service_of(target))
        if active is None or active.rollout.phase.is_final:
            return
        is_new = target.label(VERSION_LABEL) == active.rollout.order.target_version
        self.n_bad += is_new and is_bad
        is_cold = target.state is TargetState.COLD
        active.rollout.record(route, is_new, is_bad, service_ms, is_cold)

    def read_rows(self, rows: tuple[WatchedRow, ...], position: int | None) -> None:
        """Apply rows of the operators' table.

        `position` is the position at which the rows were read if they are the whole
        table, else None.
        """
        orders = list(self._rows.read_orders(rows))
        if not self.routing.is_restored:
            self._waiting_rows.append((rows, position))
            # Other daemons rely on this daemon's confirmation that it knows all orders.
            for row in orders:
                if row.order is not None:
                    self._offer_waiting(RolloutState(row.order, Phase.CANARY, -1))
            return
        for row in orders:
            if row.order is None:
                self._withdraw(row)
            elif self._merge_state(RolloutState(row.order, Phase.CANARY, 0)):
                self._publish(row.service)
        if position is not None:
            self._withdraw_missing({row.service for row in orders}, position)
        self._update_routing()

    def explain(self) -> list[dict[str, Any]]:
        """Return the state of each rollout and the counts that led to it."""
        now_ms = self._now_ms()
        return [
            {**active.rollout.explain(now_ms), "held": self.routing.held(service)}
            for service, active in self._active.items()
        ]

    @property
    def n_active(self) -> int:
        """Return the number of rollouts that have not ended."""
        return sum(not item.rollout.phase.is_final for item in self._active.values())

    @property
    def n_suspended(self) -> int:
        """Return the number of ordered versions that get no requests from here."""
        return sum(item.is_suspended for item in self._active.values())

    def _on_restored(self) -> None:
        self.routing.is_restored = True
        waiting, self._waiting_rows = self._waiting_rows, []
        for rows, position in waiting:
            self.read_rows(rows, position)
        for order in self._waiting_orders.values():
            if self._merge_state(RolloutState(order, Phase.CANARY, 0)):
                self._publish(order.service)
        self._waiting_orders.clear()
        self._update_routing()

    def _withdraw(self, row: OrderRow) -> None:
        active = self._active.get(row.service)
        if active is None or active.rollout.phase.is_final:
            return
        if row.number >= active.rollout.order.number:
            active.is_withdrawn = True

    def _withdraw_missing(self, found: set[str], position: int) -> None:
        """Withdraw the orders that a read of the whole table did not find."""
        for service in self._active.keys() - found:
            self._withdraw(OrderRow(service, None, position))

    def _adopt(self, state: RolloutState) -> None:
        """Apply an agreed state that was read from its row or written to it."""
        service = state.order.service
        if self._merge_state(state):
            self._publish(service)
        active = self._active[service]
        active.is_stored |= active.rollout.order.number == state.order.number

    def _promote_unwritten(self, state: RolloutState) -> None:
        """Promote while the platform does not answer, if most members are reachable.

        An end that was agreed on replaces the promotion wherever the two meet. A
        minority stays in its phase, because the others may have ended the rollout.
        """
        has_majority = 2 * self._targets.n_members > self._n_members_max
        if state.phase is not Phase.PROMOTING or not has_majority:
            return
        active = self._active[state.order.service]
        is_outdated = active.rollout.order.number != state.order.number
        if is_outdated or active.is_suspended or not self._exchange.has_neighbours:
            return
        if self._merge_state(state):
            self._publish(state.order.service)

    def _offer_waiting(self, state: RolloutState) -> None:
        if self._merge_state(state):
            self._exchange.publish_states((state,))

    def _merge_state(self, state: RolloutState) -> bool:
        """Apply a state and return whether any of it was new.

        A negative age states that the sender does not know the age of an order. A
        daemon that has read the agreed states and does not know the order takes it as
        just given; any other daemon lets it wait.
        """
        if state.age_ms < 0 and not self.routing.is_restored:
            return self._add_waiting(state.order)
        active = self._active.get(state.order.service)
        number = active.rollout.order.number if active is not None else -1
        is_changed = self._merge_records(state, state.records)
        if state.order.number < number:
            is_changed |= self._merge_records(state, (record_end(state),))
        else:
            if state.order.number > number:
                is_changed = True
                active = self._begin(state)
            if active.rollout.merge_phase(state.phase):
                is_changed = True
                self._apply_phase(active.rollout)
        if is_changed:
            self._update_routing()
        return is_changed

    def _merge_records(
        self, state: RolloutState, records: Iterable[VersionRecord]
    ) -> bool:
        return self.routing.holds.records.merge(state.order.service, records)

    def _add_records(self, state: RolloutState) -> RolloutState:
        """Return a state with what is known of the service's versions, to be written.

        A completed order supersedes all other versions. Only its writer records them:
        a daemon that hears of the end later may know still later versions. The records
        take effect when the state was written, as another end may be written first.
        """
        records = self._records(state.order.service)
        if state.phase is Phase.COMPLETED:
            versions = self._targets.versions(state.order.service)
            records = merge_records(records, record_superseded(state, versions))
        return replace(state, records=records)

    def _records(self, service: str) -> tuple[VersionRecord, ...]:
        return self.routing.holds.records.all(service)

    def _add_waiting(self, order: RolloutOrder) -> bool:
        active = self._active.get(order.service)
        if active is not None and order.number <= active.rollout.order.number:
            return False
        key = (order.service, order.number)
        if key in self._waiting_orders:
            return False
        self._waiting_orders[key] = order
        return True

    def _begin(self, state: RolloutState) -> ActiveRollout:
        order, age_ms = state.order, max(0, state.age_ms)
        replaced = self._active.get(order.service)
        if replaced is not None:
            ended = replaced.rollout.state(self._now_ms())
            end = record_end(ended, is_suspended=replaced.is_suspended)
            self._merge_records(ended, (end,))
        vm, start_id = self._identity.vm, self._identity.start_id
        now_ms = self._now_ms()
        offset = exposure_offset(order, vm, start_id)
        has_extra = now_ms - age_ms >= self._started_ms
        active = ActiveRollout(
            Rollout(order, age_ms, now_ms, self._terms, vm, start_id),
            ExposureBudget(self._terms, offset, has_extra=has_extra),
        )
        self._active[order.service] = active
        log_order(active.rollout, age_ms)
        if not has_extra and not state.phase.is_final:
            active.rollout.state_start()
            self._exchange.queue_evidence(active.rollout.own_evidence())
        return active

    def _apply_phase(self, rollout: Rollout) -> None:
        now_ms = self._now_ms()
        report_phase(rollout, self._decisions, now_ms)
        self.n_rolled_back += rollout.phase is Phase.ROLLED_BACK
        self.n_completed += rollout.phase is Phase.COMPLETED
        if rollout.phase.is_final:
            state = rollout.state(now_ms)
            self._merge_records(state, (record_end(state),))

    def _publish(self, service: str) -> None:
        self._exchange.publish_states((self._state(self._active[service]),))

    def _state(self, active: ActiveRollout) -> RolloutState:
        state = active.rollout.state(self._now_ms())
        return replace(state, records=self._records(state.order.service))

    def _merge_evidence(self, evidence: Evidence) -> bool:
        active = self._active.get(evidence.service)
        return active is not None and active.rollout.merge(evidence)

    def _iter_states(self) -> Iterator[RolloutState]:
        for active in self._active.values():
            yield self._state(active)
        for order in self._waiting_orders.values():
            yield RolloutState(order, Phase.CANARY, -1)

    def _iter_evidence(self) -> Iterator[Evidence]:
        for active in self._active.values():
            if not active.rollout.phase.is_final:
                yield from active.rollout.all_evidence()

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_TICK_S, self._tick)
        for active in list(self._active.values()):
            self._propose(active)
        if not self.routing.is_settled:
            # A version may be released by now, or considered bad.
            self._update_routing()
        for active in self._active.values():
            self._send_evidence(active)

    def _propose(self, active: ActiveRollout) -> None:
        rollout, now_ms = active.rollout, self._now_ms()
        if rollout.phase.is_final:
            return
        order = rollout.order
        fleet = self._targets.fleet(order.service, order.target_version)
        phase = rollout.proposal(now_ms, fleet)
        if rollout.is_suspended and not active.is_verdict_logged:
            active.is_verdict_logged = True
            report_verdict(rollout, self._decisions, now_ms)
        self._report_portion(active)
        if not self.routing.is_restored:
            return
        if active.is_withdrawn:
            phase = Phase.ROLLED_BACK
        elif phase is None and not active.is_stored:
            is_writer = self._rank(order.service) < _N_FIRST_WRITERS
            phase = rollout.phase if is_writer else None
        if phase is not None:
            state = RolloutState(order, phase, rollout.state(now_ms).age_ms)
            self._writer.propose(state, is_withdrawn=active.is_withdrawn)

    def _report_portion(self, active: ActiveRollout) -> None:
        portion = active.rollout.portion
        is_promoting = portion in (Portion.STEP, Portion.ALL)
        if is_promoting and portion is not active.logged_portion:
            active.logged_portion = portion
            report_portion(active.rollout, self._decisions, self._now_ms())

    def _send_evidence(self, active: ActiveRollout) -> None:
        rollout, order = active.rollout, active.rollout.order
        if rollout.phase.is_final:
            return
        vm, version = self._identity.vm, order.target_version
        if vm in self._targets.fleet(order.service, version).vms_with_old:
            rollout.set_old_running(self._count_old_running(active))
        evidence = rollout.own_evidence()
        if evidence is not None:
            self._exchange.queue_evidence(evidence)

    def _count_old_running(self, active: ActiveRollout) -> int | None:
        """Return the calls at old targets of this VM, None while these accept calls."""
        is_replacing = active.rollout.portion is Portion.ALL
        if not is_replacing or active.is_suspended:
            return None
        order = active.rollout.order

        def is_old(target: Target) -> bool:
            is_of_service = self._rows.service_of(target) == order.service
            return is_of_service and target.label(VERSION_LABEL) != order.target_version

        return self._n_unfinished(is_old)

    def _rank(self, service: str) -> int:
        """Return this daemon's place in the order of writers for a service."""
        if service not in self._ranks:
            self._ranks[service] = self._compute_rank(service)
        return self._ranks[service]

    def _compute_rank(self, service: str) -> int:
        vms = [
            member.vm
            for member in self._directory.members()
            if member.state is MemberState.ALIVE
        ]
        order = highest(f"rollout/{service}", vms, len(vms))
        own = self._identity.vm
        return order.index(own) if own in order else len(order)

    def _update_routing(self) -> None:
        self.routing.update(self._active, self._confirmed_ms(), self._now_ms())


__all__ = ["Rollouts"]
