"""Tracking of the members on which a version is in force.

Acknowledgements travel back along the path on which a version, or an inquiry,
arrived. They are aggregated at each hop, so the collecting daemon receives a few
frames instead of one for each member. If a return path breaks, an inquiry establishes a
new one.
"""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct, field

from ..wire import Acknowledge, Inquire
from .actions import Actions, Converged, Send
from .state import DistributionState

_N_RETURN_PATHS_MAX = 512


class AcknowledgementCollection(Struct):
    """Acknowledgements of one version that the collecting daemon has received."""

    customer: str
    version: int
    started_at_ms: int
    inquiry_due_ms: int
    n_inquiries: int = 0
    vms: set[str] = field(default_factory=set)
    convergence_ms: int | None = None


class ReturnPath(Struct):
    """The next hop for acknowledgements of one customer's versions to a collector.

    `is_acknowledged` is true once this daemon has acknowledged the version itself;
    `unreported_vms` are the VMs whose acknowledgements are not yet forwarded to
    `parent`.
    """

    parent: str
    version: int
    is_acknowledged: bool = False
    unreported_vms: set[str] = field(default_factory=set)


class ConvergenceState(Struct):
    """Collections of this daemon and the return paths to other collectors."""

    collections: dict[str, AcknowledgementCollection] = field(default_factory=dict)
    return_paths: dict[tuple[str, str], ReturnPath] = field(default_factory=dict)
    inquiry_numbers: dict[tuple[str, str], int] = field(default_factory=dict)


def collect(
    convergence: ConvergenceState,
    state: DistributionState,
    customer: str,
    version: int,
    now_ms: int,
    first_inquiry_ms: int,
) -> AcknowledgementCollection:
    """Start collecting acknowledgements of a version or of any newer version.

    If a collection already exists for the same version or for a newer one that this
    daemon holds, return the existing collection, which also covers this version.
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
    """Yield the live members that have not acknowledged the version."""
    return (vm for vm in state.fleet.live() if vm not in collection.vms)


def record_return_path(
    convergence: ConvergenceState,
    collector: str,
    customer: str,
    return_path: ReturnPath,
) -> None:
    """Record the return path of a version; the oldest paths are evicted."""
    key = (collector, customer)
    convergence.return_paths.pop(key, None)
    convergence.return_paths[key] = return_path
    if len(convergence.return_paths) > _N_RETURN_PATHS_MAX:
        del convergence.return_paths[next(iter(convergence.return_paths))]


def on_in_force(
    convergence: ConvergenceState, state: DistributionState, customer: str, now_ms: int
) -> Actions:
    """Acknowledge a version that this daemon has just put in force."""
    version = state.customer(customer).in_force_version
    own_vm = state.fleet.own_vm
    collection = convergence.collections.get(customer)
    if collection is not None and version >= collection.version:
        collection.vms.add(own_vm)
        yield from _check_converged(collection, state, now_ms)
    for (_, name), return_path in convergence.return_paths.items():
        is_due = name == customer and version >= return_path.version
        if is_due and not return_path.is_acknowledged:
            return_path.is_acknowledged = True
            return_path.unreported_vms.add(own_vm)


def on_acknowledge(
    convergence: ConvergenceState,
    state: DistributionState,
    frame: Acknowledge,
    now_ms: int,
) -> Actions:
    """Count acknowledgements for this daemon; store those for other collectors.

    The stored acknowledgements are forwarded together.
    """
    if frame.collector == state.fleet.own_vm:
        collection = convergence.collections.get(frame.customer)
        if collection is not None and frame.version >= collection.version:
            collection.vms.update(frame.vms)
            yield from _check_converged(collection, state, now_ms)
        return
    return_path = convergence.return_paths.get((frame.collector, frame.customer))
    if return_path is not None and frame.version >= return_path.version:
        return_path.unreported_vms.update(frame.vms)


def on_inquire(
    convergence: ConvergenceState, state: DistributionState, sender: str, frame: Inquire
) -> Actions:
    """Forward an inquiry once, and record its return path for the answer."""
    key = (frame.collector, frame.customer)
    is_repeat = convergence.inquiry_numbers.get(key) == frame.number
    if frame.collector == state.fleet.own_vm or is_repeat:
        return
    if len(convergence.inquiry_numbers) >= _N_RETURN_PATHS_MAX:
        del convergence.inquiry_numbers[next(iter(convergence.inquiry_numbers))]
    convergence.inquiry_numbers[key] = frame.number
    return_path = ReturnPath(sender, frame.version)
    if state.customer(frame.customer).in_force_version >= frame.version:
        return_path.is_acknowledged = True
        return_path.unreported_vms.add(state.fleet.own_vm)
    record_return_path(convergence, frame.collector, frame.customer, return_path)
    for vm in sorted(state.fleet.neighbours - {sender}):
        yield Send(vm, frame)


def report_if_due(
    convergence: ConvergenceState, state: DistributionState, now_ms: int
) -> Actions:
    """Send acknowledgements stored since the last tick, and inquiries that are due."""
    for (collector, customer), return_path in convergence.return_paths.items():
        if return_path.unreported_vms and return_path.parent in state.fleet.neighbours:
            vms = tuple(sorted(return_path.unreported_vms))
            return_path.unreported_vms.clear()
            frame = Acknowledge(collector, customer, return_path.version, vms)
            yield Send(return_path.parent, frame)
    for collection in convergence.collections.values():
        yield from _check_converged(collection, state, now_ms)
        is_due = now_ms >= collection.inquiry_due_ms
        if is_due and _needs_inquiry(collection, state):
            yield from _inquire(collection, state, now_ms)


def _check_converged(
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


def _needs_inquiry(
    collection: AcknowledgementCollection, state: DistributionState
) -> bool:
    """Return whether to ask the fleet for acknowledgements.

    A daemon that has not met its fleet yet counts itself as all of it. Without an
    inquiry after that, the others would be reported as missing for good.
    """
    if collection.convergence_ms is None:
        return True
    is_counted_alone = collection.vms == {state.fleet.own_vm}
    return is_counted_alone and any(True for _ in missing_vms(collection, state))


def _inquire(
    collection: AcknowledgementCollection, state: DistributionState, now_ms: int
) -> Actions:
    """Send an inquiry to the whole fleet, and schedule the next one.

    Inquiries are repeated with exponential backoff and jitter for as long as a member
    has not acknowledged the version.
    """
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
    "ReturnPath",
    "collect",
    "missing_vms",
    "record_return_path",
    "on_acknowledge",
    "on_in_force",
    "on_inquire",
    "report_if_due",
]
