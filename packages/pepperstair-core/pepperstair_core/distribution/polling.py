"""Finding out at the platform: a few pollers in each zone, not every daemon.

The live members with the highest rendezvous hash poll for their zone. Nobody is
elected and no lease is held: two pollers that overlap cost a few reads, and one
that froze is passed over once membership notices. A poller tells its zone that
it lives with a small sign; whoever hears none reads the heads itself.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from ..rendezvous import highest
from ..versions import Head
from ..wire import PollerSign
from .actions import Actions, ReadBucketTokens, ReadHeads, Send
from .pulling import want
from .state import DistributionState

N_POLLERS: Final = 2
_N_BUCKETS_SINGLY_MAX: Final = 4
_N_SIGNS_KEPT: Final = 8
_BACKOFF_DOUBLINGS_MAX: Final = 2
_ANSWER_WAIT_MS: Final = 5000


class PollingState(Struct):
    """When to read what, and what was heard of other pollers."""

    poll_due_ms: int = 0
    sign_due_ms: int = 0
    silence_due_ms: int = 0
    n_failures: int = 0
    is_reachable: bool = True
    tokens: dict[int, str] = field(default_factory=dict)
    rung: dict[int, str] = field(default_factory=dict)
    heard_signs: dict[str, tuple[int, ...]] = field(default_factory=dict)


def pollers(state: DistributionState) -> list[str]:
    """Return the members that poll for this daemon's zone."""
    zone = state.fleet.own_zone
    own_vm = state.fleet.own_vm
    near = [vm for vm in state.fleet.live() if vm == own_vm or _is_near(state, vm)]
    return highest(f"poller/{zone}", near, N_POLLERS)


def poll_due(polling: PollingState, state: DistributionState, now_ms: int) -> Actions:
    """Read the bells as a poller, or all heads after silence of the pollers."""
    if state.fleet.own_vm in pollers(state):
        if now_ms >= polling.poll_due_ms:
            polling.poll_due_ms = now_ms + _ANSWER_WAIT_MS
            yield ReadBucketTokens()
        return
    polling.tokens.clear()
    if polling.silence_due_ms == 0:
        _restart_silence(polling, state, now_ms)
    if now_ms >= polling.silence_due_ms:
        _restart_silence(polling, state, now_ms)
        yield ReadHeads(None)


def on_bells(
    polling: PollingState,
    state: DistributionState,
    tokens: dict[int, str] | None,
    now_ms: int,
) -> Actions:
    """Read the heads of every bucket whose token changed; None for no answer."""
    _note_answer(polling, state, tokens is not None, now_ms)
    yield from _sign_due(polling, state, now_ms)
    if tokens is None:
        return
    changed = {
        bucket: token
        for bucket, token in tokens.items()
        if polling.tokens.get(bucket) != token
    }
    if not changed:
        return
    polling.rung = changed
    if len(changed) > _N_BUCKETS_SINGLY_MAX:
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
    """Pull what is newer than the held versions, neighbours first.

    The token of a bucket counts as seen only now, after its heads were read:
    were it kept at the bell, a failed read would hide the change until the
    next one.
    """
    for rung, token in polling.rung.items():
        if bucket in (None, rung):
            polling.tokens[rung] = token
    for head in heads:
        customer = state.customer(head.customer)
        if head.version > customer.n_received:
            want(state, customer, head.version, now_ms, head=head)
    yield from ()


def on_poller_sign(
    polling: PollingState,
    state: DistributionState,
    sender: str,
    frame: PollerSign,
    now_ms: int,
) -> Actions:
    """Note that a poller lives, and pass its sign on once within the zone."""
    heard = polling.heard_signs.get(frame.vm, ())
    if frame.number in heard or frame.vm == state.fleet.own_vm:
        return
    polling.heard_signs[frame.vm] = (*heard, frame.number)[-_N_SIGNS_KEPT:]
    polling.is_reachable = frame.is_platform_reachable
    _restart_silence(polling, state, now_ms)
    for vm in _zone_neighbours(state):
        if vm != sender:
            yield Send(vm, frame)


def _note_answer(
    polling: PollingState, state: DistributionState, is_answered: bool, now_ms: int
) -> None:
    """Poll less often while the platform is out, never in step with others."""
    polling.is_reachable = is_answered
    polling.n_failures = 0 if is_answered else polling.n_failures + 1
    doublings = min(polling.n_failures, _BACKOFF_DOUBLINGS_MAX)
    interval_ms = state.timing.poll_interval_ms * 2**doublings
    polling.poll_due_ms = now_ms + int(interval_ms * state.rng.uniform(0.8, 1.2))


def _sign_due(polling: PollingState, state: DistributionState, now_ms: int) -> Actions:
    if now_ms < polling.sign_due_ms:
        return
    polling.sign_due_ms = now_ms + state.timing.sign_interval_ms
    sign = PollerSign(
        state.fleet.own_vm, state.rng.getrandbits(32), polling.is_reachable
    )
    for vm in _zone_neighbours(state):
        yield Send(vm, sign)


def _restart_silence(
    polling: PollingState, state: DistributionState, now_ms: int
) -> None:
    """Wait for the next sign; longer where the pollers found the platform out.

    With the platform out all daemons would otherwise read at once for as long
    as it lasts, and the platform would come back into a storm of reads.
    """
    timing = state.timing
    silence_ms = timing.poller_silence_ms
    if not polling.is_reachable:
        silence_ms = timing.outage_silence_ms
    polling.silence_due_ms = now_ms + int(silence_ms * state.rng.uniform(1.0, 1.5))


def _zone_neighbours(state: DistributionState) -> list[str]:
    return [vm for vm in sorted(state.fleet.neighbours) if _is_near(state, vm)]


def _is_near(state: DistributionState, vm: str) -> bool:
    return state.fleet.zone_of(vm) == state.fleet.own_zone


__all__ = [
    "N_POLLERS",
    "PollingState",
    "on_bells",
    "on_heads",
    "on_poller_sign",
    "poll_due",
    "pollers",
]
