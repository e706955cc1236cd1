"""Repair of what was missed: neighbours compare the versions that they hold."""

from __future__ import annotations

from ..wire import Have, HeadsDigest
from .actions import Actions, Send
from .in_force import advance, note_holder
from .pulling import want
from .state import DistributionState


def compare_due(
    state: DistributionState, has_known_floor: bool, now_ms: int
) -> Actions:
    """Send the digest to one random neighbour when its time has come."""
    if now_ms < state.anti_entropy_due_ms:
        return
    interval_ms = state.timing.anti_entropy_ms * state.rng.uniform(0.5, 1.5)
    state.anti_entropy_due_ms = now_ms + int(interval_ms)
    if state.fleet.neighbours:
        vm = state.rng.choice(sorted(state.fleet.neighbours))
        yield Send(vm, HeadsDigest(state.versions_digest(), has_known_floor))


def ask_versions(vm: str, has_known_floor: bool, number: int = 0) -> Actions:
    """Ask a neighbour for its versions, whatever they are."""
    yield Send(vm, HeadsDigest(b"", has_known_floor, number))


def on_heads_digest(
    state: DistributionState,
    sender: str,
    frame: HeadsDigest,
    has_known_floor: bool,
    now_ms: int,
) -> Actions:
    """Answer with the own versions where they differ, or take the answer in."""
    if not frame.is_answer:
        digest = state.versions_digest()
        if frame.digest == digest:
            yield from _note_equal(state, sender, now_ms)
        else:
            versions = state.held_versions()
            answer = HeadsDigest(digest, has_known_floor, frame.number, True, versions)
            yield Send(sender, answer)
        return
    theirs = dict(frame.versions)
    for name, version in theirs.items():
        customer = state.customer(name)
        note_holder(state, customer, sender, version)
        if version > customer.n_received:
            want(state, customer, version, now_ms)
        yield from advance(state, customer, now_ms)
    for name, version in state.held_versions():
        if version > theirs.get(name, 0):
            yield Send(sender, Have(name, version))


def ask_holders_due(
    state: DistributionState, has_known_floor: bool, now_ms: int
) -> Actions:
    """Ask again who holds the versions that wait to be put in force.

    A neighbour says once that it holds a version. Were that word lost with a
    stream that broke, the version would stay held and never go in force.
    """
    if now_ms < state.holders_due_ms:
        return
    waiting = {
        vm
        for customer in state.customers.values()
        for candidate in customer.candidates
        for vm in state.fleet.neighbours
        if now_ms - candidate.held_at_ms >= state.timing.ask_holders_ms
        and customer.holders.get(vm, 0) < candidate.snapshot.head.version
    }
    if waiting:
        state.holders_due_ms = now_ms + state.timing.ask_holders_ms
    for vm in sorted(waiting):
        yield from ask_versions(vm, has_known_floor)


def _note_equal(state: DistributionState, vm: str, now_ms: int) -> Actions:
    for customer in state.customers.values():
        note_holder(state, customer, vm, customer.held_version)
        yield from advance(state, customer, now_ms)


__all__ = ["ask_holders_due", "ask_versions", "compare_due", "on_heads_digest"]
