"""Polling of the platform by a few members of each zone.

The live members with the highest rendezvous hash poll for their zone. There is no
election and no lease: overlapping pollers cost a few extra reads, and a paused poller
is replaced once failure detection marks it as suspect. A poller sends small beacons
(`PollerSign`) within its zone; a daemon that receives none reads the heads itself.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from ..rendezvous import highest
from ..versions import Head
from ..wire import PollerSign
from .actions import Actions, ReadBucketTokens, ReadHeads, Send
from .pulling import schedule_pull
from .state import DistributionState

N_POLLERS: Final = 2
_N_SINGLE_BUCKET_READS_MAX: Final = 4
_N_BEACONS_KEPT: Final = 8
_BACKOFF_DOUBLINGS_MAX: Final = 2
_READ_TIMEOUT_MS: Final = 5000


class PollingState(Struct):
    """Read timers, seen bucket tokens, and the beacons of other pollers."""

    poll_due_ms: int = 0
    beacon_due_ms: int = 0
    fallback_read_due_ms: int = 0
    n_failures: int = 0
    is_reachable: bool = True
    tokens: dict[int, str] = field(default_factory=dict)
    pending_tokens: dict[int, str] = field(default_factory=dict)
    seen_beacons: dict[str, tuple[int, ...]] = field(default_factory=dict)


def pollers(state: DistributionState) -> list[str]:
    """Return the members that poll for this daemon's zone."""
    zone = state.fleet.own_zone
    own_vm = state.fleet.own_vm
    same_zone = [
        vm for vm in state.fleet.live() if vm == own_vm or _is_in_own_zone(state, vm)
    ]
    return highest(f"poller/{zone}", same_zone, N_POLLERS)


def poll_if_due(
    polling: PollingState, state: DistributionState, now_ms: int
) -> Actions:
    """Read the bucket tokens as a poller, or all heads if no beacon arrived in time."""
    if state.fleet.own_vm in pollers(state):
        if now_ms >= polling.poll_due_ms:
            polling.poll_due_ms = now_ms + _READ_TIMEOUT_MS
            yield ReadBucketTokens()
        return
    polling.tokens.clear()
    if polling.fallback_read_due_ms == 0:
        _defer_fallback_read(polling, state, now_ms)
    if now_ms >= polling.fallback_read_due_ms:
        _defer_fallback_read(polling, state, now_ms)
        yield ReadHeads(None)


def on_bucket_tokens(
    polling: PollingState,
    state: DistributionState,
    tokens: dict[int, str] | None,
    now_ms: int,
) -> Actions:
    """Read the heads of every bucket whose bucket token changed.

    `tokens` is None if the platform did not answer.
    """
    _record_poll_result(polling, state, tokens is not None, now_ms)
    yield from _send_beacon_if_due(polling, state, now_ms)
    if tokens is None:
        return
    changed = {
        bucket: token
        for bucket, token in tokens.items()
        if polling.tokens.get(bucket) != token
    }
    if not changed:
        return
    polling.pending_tokens = changed
    if len(changed) > _N_SINGLE_BUCKET_READS_MAX:
        yield ReadHeads(None)
        return
    for bucket in changed:
        yield ReadHeads(bucket)


def on_heads(
    polling: PollingState,
    state: DistributionState,
    bucket: int | None,
    heads: tuple[Head, ...],
    now_ms: int,
) -> Actions:
    """Schedule pulls of the versions that are newer than the received ones.

    The pulls try the neighbours first. A bucket token is stored only here, after the
    heads of its bucket were read: if the token were stored when the bucket tokens are
    read, a failed read of the heads would hide the change until the bucket changes
    again.
    """
    for changed_bucket, token in polling.pending_tokens.items():
        if bucket in (None, changed_bucket):
            polling.tokens[changed_bucket] = token
    for head in heads:
        customer = state.customer(head.customer)
        if head.version > customer.received_version:
            schedule_pull(state, customer, head.version, now_ms, head=head)
    yield from ()


def on_poller_beacon(
    polling: PollingState,
    state: DistributionState,
    sender: str,
    frame: PollerSign,
    now_ms: int,
) -> Actions:
    """Defer the fallback read, and forward the beacon once within the zone."""
    seen_numbers = polling.seen_beacons.get(frame.vm, ())
    if frame.number in seen_numbers or frame.vm == state.fleet.own_vm:
        return
    polling.seen_beacons[frame.vm] = (*seen_numbers, frame.number)[-_N_BEACONS_KEPT:]
    polling.is_reachable = frame.is_platform_reachable
    _defer_fallback_read(polling, state, now_ms)
    for vm in _zone_neighbours(state):
        if vm != sender:
            yield Send(vm, frame)


def _record_poll_result(
    polling: PollingState, state: DistributionState, is_answered: bool, now_ms: int
) -> None:
    """Record the result and schedule the next poll, with backoff and jitter."""
    polling.is_reachable = is_answered
    polling.n_failures = 0 if is_answered else polling.n_failures + 1
    doublings = min(polling.n_failures, _BACKOFF_DOUBLINGS_MAX)
    interval_ms = state.timing.poll_interval_ms * 2**doublings
    polling.poll_due_ms = now_ms + int(interval_ms * state.rng.uniform(0.8, 1.2))


def _send_beacon_if_due(
    polling: PollingState, state: DistributionState, now_ms: int
) -> Actions:
    if now_ms < polling.beacon_due_ms:
        return
    polling.beacon_due_ms = now_ms + state.timing.beacon_interval_ms
    beacon = PollerSign(
        state.fleet.own_vm, state.rng.getrandbits(32), polling.is_reachable
    )
    for vm in _zone_neighbours(state):
        yield Send(vm, beacon)


def _defer_fallback_read(
    polling: PollingState, state: DistributionState, now_ms: int
) -> None:
    """Restart the beacon timeout, which is longer while pollers report an outage.

    With the usual timeout, all daemons would read at the same time throughout a
    platform outage, and their reads would overload the platform while it recovers.
    """
    timing = state.timing
    timeout_ms = timing.poller_timeout_ms
    if not polling.is_reachable:
        timeout_ms = timing.outage_poller_timeout_ms
    polling.fallback_read_due_ms = now_ms + int(
        timeout_ms * state.rng.uniform(1.0, 1.5)
    )


def _zone_neighbours(state: DistributionState) -> list[str]:
    return [vm for vm in sorted(state.fleet.neighbours) if _is_in_own_zone(state, vm)]


def _is_in_own_zone(state: DistributionState, vm: str) -> bool:
    return state.fleet.zone_of(vm) == state.fleet.own_zone


__all__ = [
    "N_POLLERS",
    "PollingState",
    "on_bucket_tokens",
    "on_heads",
    "on_poller_beacon",
    "poll_if_due",
    "pollers",
]
