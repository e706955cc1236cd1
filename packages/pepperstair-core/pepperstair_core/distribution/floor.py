"""The floor: what a daemon must have in force before it may carry calls.

A daemon keeps nothing, so after a restart it doesn't know which versions it
held. Either the platform's heads tell, or the neighbours, to whom it had told
every version before it put it in force.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from msgspec import Struct, field

from ..decisions import DecisionKind
from ..versions import Head
from ..wire import HeadsDigest
from .actions import Actions, ReadHeads, RecordDecision
from .anti_entropy import ask_versions
from .state import DistributionState

N_NEIGHBOURS_FOR_FLOOR: Final = 2
_ASK_AGAIN_MS: Final = 500
_READ_AGAIN_MS: Final = 1000
_READ_AGAIN_MAX_MS: Final = 4000
_NUMBER_MAX: Final = 2**32


class ReachedBy(StrEnum):
    """Who told the daemon its floor."""

    NOBODY = ""
    PLATFORM = "platform"
    NEIGHBOURS = "neighbours"


class FloorState(Struct):
    """What is known of the floor; `answers` are neighbours' held versions.

    Only neighbours that have known their own floor are counted: a herd of
    restarted daemons would otherwise vouch for one another with nothing in their
    hands. One that catches up after a pause is counted, as it remembers; were it
    not, it and a restarted daemon could wait for each other for ever.
    `number` marks the questions since the last start or pause: an answer from
    before a pause lies in a buffer and would make an old floor.
    """

    reached_by: ReachedBy = ReachedBy.NOBODY
    has_been_known: bool = False
    started_at_ms: int | None = None
    platform_heads: dict[str, int] | None = None
    answers: dict[str, dict[str, int]] = field(default_factory=dict)
    number: int = 0
    ask_due_ms: int = 0
    read_due_ms: int = 0
    n_reads: int = 0

    @property
    def is_known(self) -> bool:
        """Return whether the daemon has its floor in force."""
        return self.reached_by is not ReachedBy.NOBODY


def note_platform_heads(
    floor: FloorState, heads: tuple[Head, ...], number: int
) -> None:
    """Take the heads of all customers, as the platform has them, as the floor."""
    if not floor.is_known and number == floor.number:
        floor.platform_heads = {head.customer: head.version for head in heads}


def note_answer(floor: FloorState, vm: str, frame: HeadsDigest) -> None:
    """Take a neighbour's versions as part of the floor."""
    is_current = frame.is_answer and frame.number == floor.number
    if is_current and frame.has_known_floor and not floor.is_known:
        floor.answers[vm] = dict(frame.versions)


def check_due(floor: FloorState, state: DistributionState, now_ms: int) -> Actions:
    """Ask again what is still unknown, and see whether the floor is reached."""
    if floor.is_known:
        return
    if floor.started_at_ms is None:
        floor.started_at_ms = now_ms
        floor.number = state.rng.randrange(1, _NUMBER_MAX)
    if floor.platform_heads is not None and _has(state, floor.platform_heads):
        floor.reached_by = ReachedBy.PLATFORM
    elif _is_vouched_for(floor, state, now_ms):
        floor.reached_by = ReachedBy.NEIGHBOURS
    if floor.is_known:
        floor.has_been_known = True
        cause = f"floor known by {floor.reached_by}"
        yield RecordDecision(DecisionKind.CAUGHT_UP, state.fleet.own_vm, cause)
        return
    if floor.platform_heads is None and now_ms >= floor.read_due_ms:
        longest_ms = min(_READ_AGAIN_MS * 2**floor.n_reads, _READ_AGAIN_MAX_MS)
        floor.n_reads = min(floor.n_reads + 1, _READ_AGAIN_MAX_MS // _READ_AGAIN_MS)
        floor.read_due_ms = now_ms + int(longest_ms * state.rng.uniform(0.5, 1.0))
        yield ReadHeads(None, floor.number)
    if now_ms >= floor.ask_due_ms:
        floor.ask_due_ms = now_ms + _ASK_AGAIN_MS
        for vm in sorted(state.fleet.neighbours - floor.answers.keys()):
            yield from ask_versions(vm, floor.has_been_known, floor.number)


def restart(floor: FloorState, state: DistributionState, now_ms: int) -> Actions:
    """Forget the floor after a pause, so that the daemon catches up first."""
    floor.reached_by = ReachedBy.NOBODY
    floor.started_at_ms = None
    floor.platform_heads = None
    floor.answers.clear()
    floor.ask_due_ms = floor.read_due_ms = floor.n_reads = 0
    yield from check_due(floor, state, now_ms)


def _is_vouched_for(floor: FloorState, state: DistributionState, now_ms: int) -> bool:
    """Return whether enough neighbours answered and all they hold is in force.

    The whole wait passes before a part of the neighbours is enough: the two
    that answer first may be the two that lag.
    """
    n_others = sum(1 for _ in state.fleet.live()) - 1
    n_needed = min(N_NEIGHBOURS_FOR_FLOOR, max(1, n_others))
    if len(floor.answers) < n_needed:
        return False
    is_waited = now_ms - floor.started_at_ms >= state.timing.floor_wait_ms
    if not is_waited:
        return False
    return all(_has(state, versions) for versions in floor.answers.values())


def _has(state: DistributionState, versions: dict[str, int]) -> bool:
    return all(
        state.customer(name).in_force_version >= version
        for name, version in versions.items()
    )


__all__ = [
    "N_NEIGHBOURS_FOR_FLOOR",
    "FloorState",
    "ReachedBy",
    "check_due",
    "note_answer",
    "note_platform_heads",
    "restart",
]
