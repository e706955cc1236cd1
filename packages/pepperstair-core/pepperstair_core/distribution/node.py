"""The distribution of one daemon: events in, actions out."""

from __future__ import annotations

from functools import singledispatchmethod
from random import Random

from ..versions import Head
from ..wire import (
    Acknowledge,
    Busy,
    DeltaPush,
    Have,
    HeadsDigest,
    Inquire,
    PollerSign,
    Prune,
    Pull,
    SnapshotPart,
)
from . import (
    anti_entropy,
    applying,
    convergence,
    events,
    floor,
    in_force,
    polling,
    pulling,
    serving,
    spreading,
)
from .actions import Actions, PutInForce
from .state import PLATFORM, DistributionState, Fleet, Timing


class Distribution:
    """A sans-I/O state machine that stores, applies, announces and pulls versions.

    It uses no sockets and no clock: the caller passes the time with every event and
    executes the yielded actions in order.
    """

    def __init__(
        self, own_vm: str, own_zone: str, rng: Random, timing: Timing | None = None
    ) -> None:
        self.state = DistributionState(Fleet(own_vm, own_zone), rng, timing or Timing())
        self.polling = polling.PollingState()
        self.floor = floor.FloorState()
        self.convergence = convergence.ConvergenceState()

    def handle(self, event: events.DistributionEvent, now_ms: int) -> Actions:
        """Process one event, and acknowledge each version that it puts in force."""
        for action in self._decide(event, now_ms):
            yield action
            if isinstance(action, PutInForce):
                customer = action.snapshot.head.customer
                yield from convergence.on_in_force(
                    self.convergence, self.state, customer, now_ms
                )
        if not self.floor.is_known:
            yield from floor.check(self.floor, self.state, now_ms)

    @singledispatchmethod
    def _decide(self, event: events.DistributionEvent, now_ms: int) -> Actions:
        raise TypeError(f"unknown distribution event: {event!r}")

    @_decide.register
    def _(self, event: events.Tick, now_ms: int) -> Actions:
        yield from polling.poll_if_due(self.polling, self.state, now_ms)
        yield from pulling.pull_if_due(self.state, now_ms)
        yield from anti_entropy.send_digest_if_due(
            self.state, self.floor.has_been_known, now_ms
        )
        yield from anti_entropy.query_holders_if_due(
            self.state, self.floor.has_been_known, now_ms
        )
        for customer in self.state.customers.values():
            if customer.candidates:
                yield from in_force.advance(self.state, customer, now_ms)
        yield from convergence.report_if_due(self.convergence, self.state, now_ms)

    @_decide.register
    def _(self, event: events.ApplyNext, now_ms: int) -> Actions:
        return applying.apply_next(self.state, now_ms)

    @_decide.register
    def _(self, event: events.NeighbourUp, now_ms: int) -> Actions:
        self.state.fleet.neighbours.add(event.vm)
        for customer in self.state.customers.values():
            customer.pruned.discard(event.vm)
        return anti_entropy.request_versions(
            event.vm, self.floor.has_been_known, self.floor.number
        )

    @_decide.register
    def _(self, event: events.NeighbourDown, now_ms: int) -> Actions:
        """Discard the neighbour's held versions, because it may restart without any."""
        self.state.fleet.neighbours.discard(event.vm)
        self.floor.answers.pop(event.vm, None)
        for customer in self.state.customers.values():
            customer.holders.pop(event.vm, None)
            customer.pruned.discard(event.vm)
            serving.release_pull(self.state, event.vm, customer.customer)
        yield from ()

    @_decide.register
    def _(self, event: events.MembersChanged, now_ms: int) -> Actions:
        self.state.fleet.update(event.members)
        yield from ()

    @_decide.register
    def _(self, event: events.ChangeAccepted, now_ms: int) -> Actions:
        head = event.snapshot.head
        convergence.collect(
            self.convergence,
            self.state,
            head.customer,
            head.version,
            now_ms,
            self.state.timing.inquiry_ms,
        )
        return applying.hold_version(
            self.state, event.snapshot, self.state.fleet.own_vm, now_ms
        )

    @_decide.register
    def _(self, event: events.BucketTokensRead, now_ms: int) -> Actions:
        return polling.on_bucket_tokens(self.polling, self.state, event.tokens, now_ms)

    @_decide.register
    def _(self, event: events.HeadsRead, now_ms: int) -> Actions:
        if event.heads is None:
            return
        if event.bucket is None:
            floor.record_platform_heads(self.floor, event.heads, event.number)
        yield from polling.on_heads(
            self.polling, self.state, event.bucket, event.heads, now_ms
        )

    @_decide.register
    def _(self, event: events.HeadRead, now_ms: int) -> Actions:
        if event.head is None:
            pulling.on_fetch_failed(self.state, event.customer, now_ms)
            return
        customer = self.state.customer(event.customer)
        version = event.head.version
        pulling.schedule_pull(
            self.state, customer, version, now_ms, head=event.head, is_urgent=True
        )
        if customer.pull is not None:
            customer.pull.due_ms = now_ms
        yield from ()

    @_decide.register
    def _(self, event: events.ObjectFetched, now_ms: int) -> Actions:
        customer = self.state.customer(event.head.customer)
        if event.body is None:
            pulling.on_fetch_failed(self.state, customer.customer, now_ms)
        else:
            pulling.queue_body(self.state, customer, PLATFORM, event.head, event.body)
        yield from ()

    @_decide.register
    def _(self, event: events.Paused, now_ms: int) -> Actions:
        return floor.reset(self.floor, self.state, now_ms)

    @_decide.register
    def _(self, event: events.FrameReceived, now_ms: int) -> Actions:
        return self._on_frame(event.frame, event.sender, now_ms)

    def _on_frame(self, frame: object, sender: str, now_ms: int) -> Actions:
        state = self.state
        match frame:
            case Have():
                yield from spreading.on_have(state, sender, frame, now_ms)
            case DeltaPush():
                self._record_return_path(sender, frame.delta.head)
                yield from spreading.on_delta_push(state, sender, frame, now_ms)
            case Prune():
                spreading.on_prune(state, sender, frame)
            case Pull():
                yield from serving.on_pull(state, sender, frame, now_ms)
            case SnapshotPart():
                self._record_return_path(sender, frame.head)
                yield from pulling.on_snapshot_part(state, sender, frame, now_ms)
            case Busy():
                pulling.on_busy(state, sender, frame, now_ms)
            case HeadsDigest():
                yield from self._on_heads_digest(sender, frame, now_ms)
            case PollerSign():
                yield from polling.on_poller_beacon(
                    self.polling, state, sender, frame, now_ms
                )
            case Acknowledge():
                yield from convergence.on_acknowledge(
                    self.convergence, state, frame, now_ms
                )
            case Inquire():
                yield from convergence.on_inquire(
                    self.convergence, state, sender, frame
                )

    def _on_heads_digest(self, sender: str, frame: HeadsDigest, now_ms: int) -> Actions:
        floor.record_answer(self.floor, sender, frame)
        yield from anti_entropy.on_heads_digest(
            self.state, sender, frame, self.floor.has_been_known, now_ms
        )

    def _record_return_path(self, sender: str, head: Head) -> None:
        is_new = head.version > self.state.customer(head.customer).received_version
        if is_new and head.accepted_by != self.state.fleet.own_vm:
            return_path = convergence.ReturnPath(sender, head.version)
            convergence.record_return_path(
                self.convergence, head.accepted_by, head.customer, return_path
            )


__all__ = ["Distribution"]
