"""Knowing on which members a version is in force.

Acknowledgements travel back along the way that a version, or an inquiry, came,
and are joined on the way: the collecting daemon receives a few frames, not one
for each member. Where the way back broke, an inquiry makes a new one.
"""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct, field

from ..wire import Acknowledge, Inquire
from .actions import Actions, Converged, Send
from .state import DistributionState

_N_WAYS_MAX = 512


class AcknowledgementCollection(Struct):
    """What the collecting daemon knows of one version."""

    customer: str
    version: int
    started_at_ms: int
    inquiry_due_ms: int
    n_inquiries: int = 0
    vms: set[str] = field(default_factory=set)
    convergence_ms: int | None = None


class WayBack(Struct):
    """Where acknowledgements of a customer go on their way to a collector.

    `is_answered` says that this daemon has acknowledged the version itself.
    """

    parent: str
    version: int
    is_answered: bool = False
    waiting: set[str] = field(default_factory=set)


class ConvergenceState(Struct):
    """Collections of this daemon and the ways back to other collectors."""

    collections: dict[str, AcknowledgementCollection] = field(default_factory=dict)
    ways: dict[tuple[str, str], WayBack] = field(default_factory=dict)
    inquiry_numbers: dict[tuple[str, str], int] = field(default_factory=dict)


def collect(
    convergence: ConvergenceState,
    state: DistributionState,
    customer: str,
    version: int,
    now_ms: int,
    first_inquiry_ms: int,
) -> AcknowledgementCollection:
    """Begin to collect acknowledgements of a version, newer ones included.

    What is collected for a newer version that is held answers for this one too.
    """
    known = convergence.collections.get(customer)
    held_version = state.customer(customer).held_version
    if known is not None and version <= known.version <= held_version:
        return known
    collection = AcknowledgementCollection(
        customer, version, now_ms, now_ms + first_inquiry_ms
    )
    convergence.collections[customer] = collection
    if state.customer(customer).in_force_version >= version:
        collection.vms.add(state.fleet.own_vm)
    return collection


def missing_vms(
    collection: AcknowledgementCollection, state: DistributionState
) -> Iterator[str]:
    """Yield the live members that have not acknowledged yet."""
    return (vm for vm in state.fleet.live() if vm not in collection.vms)


def note_way_back(
    convergence: ConvergenceState, collector: str, customer: str, way: WayBack
) -> None:
    """Remember where a version came from; the oldest ways are forgotten."""
    key = (collector, customer)
    convergence.ways.pop(key, None)
    convergence.ways[key] = way
    if len(convergence.ways) > _N_WAYS_MAX:
        del convergence.ways[next(iter(convergence.ways))]


def on_in_force(
    convergence: ConvergenceState, state: DistributionState, customer: str, now_ms: int
) -> Actions:
    """Acknowledge a version that this daemon has just put in force."""
    version = state.customer(customer).in_force_version
    own_vm = state.fleet.own_vm
    collection = convergence.collections.get(customer)
    if collection is not None and version >= collection.version:
        collection.vms.add(own_vm)
        yield from _check(collection, state, now_ms)
    for (_, name), way in convergence.ways.items():
        is_due = name == customer and version >= way.version
        if is_due and not way.is_answered:
            way.is_answered = True
            way.waiting.add(own_vm)


def on_acknowledge(
    convergence: ConvergenceState,
    state: DistributionState,
    frame: Acknowledge,
    now_ms: int,
) -> Actions:
    """Count acknowledgements, or keep them to be passed on together."""
    if frame.collector == state.fleet.own_vm:
        collection = convergence.collections.get(frame.customer)
        if collection is not None and frame.version >= collection.version:
            collection.vms.update(frame.vms)
            yield from _check(collection, state, now_ms)
        return
    way = convergence.ways.get((frame.collector, frame.customer))
    if way is not None and frame.version >= way.version:
        way.waiting.update(frame.vms)


def on_inquire(
    convergence: ConvergenceState, state: DistributionState, sender: str, frame: Inquire
) -> Actions:
    """Pass an inquiry on once, and answer it the way that it came."""
    key = (frame.collector, frame.customer)
    is_repeat = convergence.inquiry_numbers.get(key) == frame.number
    if frame.collector == state.fleet.own_vm or is_repeat:
        return
    if len(convergence.inquiry_numbers) >= _N_WAYS_MAX:
        del convergence.inquiry_numbers[next(iter(convergence.inquiry_numbers))]
    convergence.inquiry_numbers[key] = frame.number
    way = WayBack(sender, frame.version)
    if state.customer(frame.customer).in_force_version >= frame.version:
        way.is_answered = True
        way.waiting.add(state.fleet.own_vm)
    note_way_back(convergence, frame.collector, frame.customer, way)
    for vm in sorted(state.fleet.neighbours - {sender}):
        yield Send(vm, frame)


def report_due(
    convergence: ConvergenceState, state: DistributionState, now_ms: int
) -> Actions:
    """Send what was gathered since the last tick, and inquire where it lacks."""
    for (collector, customer), way in convergence.ways.items():
        if way.waiting and way.parent in state.fleet.neighbours:
            vms = tuple(sorted(way.waiting))
            way.waiting.clear()
            frame = Acknowledge(collector, customer, way.version, vms)
            yield Send(way.parent, frame)
    for collection in convergence.collections.values():
        yield from _check(collection, state, now_ms)
        if collection.convergence_ms is None and now_ms >= collection.inquiry_due_ms:
            yield from _inquire(collection, state, now_ms)


def _check(
    collection: AcknowledgementCollection, state: DistributionState, now_ms: int
) -> Actions:
    if collection.convergence_ms is not None:
        return
    if any(True for _ in missing_vms(collection, state)):
        return
    collection.convergence_ms = now_ms - collection.started_at_ms
    yield Converged(
        collection.customer,
        collection.version,
        collection.convergence_ms,
        len(collection.vms),
    )


def _inquire(
    collection: AcknowledgementCollection, state: DistributionState, now_ms: int
) -> Actions:
    """Ask the whole fleet, less and less often while a member stays away."""
    collection.n_inquiries += 1
    wait_ms = state.timing.inquiry_ms * min(2**collection.n_inquiries, 32)
    collection.inquiry_due_ms = now_ms + int(wait_ms * state.rng.uniform(0.5, 1.0))
    number = state.rng.getrandbits(32)
    frame = Inquire(state.fleet.own_vm, number, collection.customer, collection.version)
    for vm in sorted(state.fleet.neighbours):
        yield Send(vm, frame)


__all__ = [
    "AcknowledgementCollection",
    "ConvergenceState",
    "WayBack",
    "collect",
    "missing_vms",
    "note_way_back",
    "on_acknowledge",
    "on_in_force",
    "on_inquire",
    "report_due",
]
