"""Repair of what was missed: neighbours compare the versions that they hold."""

from __future__ import annotations

from ..wire import Have, HeadsDigest
from .actions import Actions, Send
from .in_force import advance, note_holder
from .pulling import want
from .state import DistributionState


def compare_due(state: DistributionState, is_floor_known: bool, now_ms: int) -> Actions:
    """Send the digest to one random neighbour when its time has come."""
    if now_ms < state.anti_entropy_due_ms:
        return
    interval_ms = state.timing.anti_entropy_ms * state.rng.uniform(0.5, 1.5)
    state.anti_entropy_due_ms = now_ms + int(interval_ms)
    if state.fleet.neighbours:
        vm = state.rng.choice(sorted(state.fleet.neighbours))
        yield Send(vm, HeadsDigest(state.versions_digest(), is_floor_known))


def ask_versions(vm: str, is_floor_known: bool) -> Actions:
    """Ask a neighbour for its versions, whatever they are."""
    yield Send(vm, HeadsDigest(b"", is_floor_known))


def on_heads_digest(
    state: DistributionState,
    sender: str,
    frame: HeadsDigest,
    is_floor_known: bool,
    now_ms: int,
) -> Actions:
    """Answer with the own versions where they differ, or take the answer in."""
    if not frame.is_answer:
        digest = state.versions_digest()
        if frame.digest != digest:
            versions = state.held_versions()
            yield Send(sender, HeadsDigest(digest, is_floor_known, True, versions))
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


__all__ = ["ask_versions", "compare_due", "on_heads_digest"]
