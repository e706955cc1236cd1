"""Anti-entropy: neighbours compare their held versions to repair missed updates."""

from __future__ import annotations

from ..wire import Have, HeadsDigest
from .actions import Actions, Send
from .in_force import advance, record_holder
from .pulling import schedule_pull
from .state import DistributionState


def send_digest_if_due(
    state: DistributionState, has_known_floor: bool, now_ms: int
) -> Actions:
    """Send the digest to one random neighbour if the interval has elapsed."""
    if now_ms < state.anti_entropy_due_ms:
        return
    interval_ms = state.timing.anti_entropy_ms * state.rng.uniform(0.5, 1.5)
    state.anti_entropy_due_ms = now_ms + int(interval_ms)
    if state.fleet.neighbours:
        vm = state.rng.choice(sorted(state.fleet.neighbours))
        yield Send(vm, HeadsDigest(state.versions_digest(), has_known_floor))


def request_versions(vm: str, has_known_floor: bool, number: int = 0) -> Actions:
    """Request a neighbour's versions, even if they equal those of this daemon."""
    yield Send(vm, HeadsDigest(b"", has_known_floor, number))


def on_heads_digest(
    state: DistributionState,
    sender: str,
    frame: HeadsDigest,
    has_known_floor: bool,
    now_ms: int,
) -> Actions:
    """Answer a differing digest with the held versions, or process an answer.

    To process an answer, pull the versions that are newer at the sender, and announce
    the versions that are newer on this daemon.
    """
    if not frame.is_answer:
        digest = state.versions_digest()
        if frame.digest == digest:
            yield from _record_equal_versions(state, sender, now_ms)
        else:
            versions = state.held_versions()
            answer = HeadsDigest(digest, has_known_floor, frame.number, True, versions)
            yield Send(sender, answer)
        return
    theirs = dict(frame.versions)
    for name, version in theirs.items():
        customer = state.customer(name)
        record_holder(state, customer, sender, version)
        if version > customer.received_version:
            schedule_pull(state, customer, version, now_ms)
        yield from advance(state, customer, now_ms)
    for name, version in state.held_versions():
        if version > theirs.get(name, 0):
            yield Send(sender, Have(name, version))


def query_holders_if_due(
    state: DistributionState, has_known_floor: bool, now_ms: int
) -> Actions:
    """Request the versions of neighbours that are not known to hold a candidate.

    A neighbour announces only once that it holds a version. If its announcement is lost
    with a broken stream, this daemon would hold the version but, without this request,
    never put it in force.
    """
    if now_ms < state.holder_query_due_ms:
        return
    lagging_vms = {
        vm
        for customer in state.customers.values()
        for candidate in customer.candidates
        for vm in state.fleet.neighbours
        if now_ms - candidate.held_at_ms >= state.timing.holder_query_interval_ms
        and customer.holders.get(vm, 0) < candidate.snapshot.head.version
    }
    if lagging_vms:
        state.holder_query_due_ms = now_ms + state.timing.holder_query_interval_ms
    for vm in sorted(lagging_vms):
        yield from request_versions(vm, has_known_floor)


def _record_equal_versions(state: DistributionState, vm: str, now_ms: int) -> Actions:
    for customer in state.customers.values():
        record_holder(state, customer, vm, customer.held_version)
        yield from advance(state, customer, now_ms)


__all__ = [
    "query_holders_if_due",
    "request_versions",
    "send_digest_if_due",
    "on_heads_digest",
]
