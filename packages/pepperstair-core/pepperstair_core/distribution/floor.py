"""The floor: the minimum versions a daemon must have in force to serve calls.

A daemon has no persistent state, so after a restart it doesn't know which versions
it held. The floor comes either from the platform's heads or from the neighbours: a
daemon announces every version to its neighbours before it puts it in force.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from msgspec import Struct, field

from ..decisions import DecisionKind
from ..versions import Head
from ..wire import HeadsDigest
from .actions import Actions, ReadHeads, RecordDecision
from .anti_entropy import request_versions
from .state import DistributionState

N_NEIGHBOURS_FOR_FLOOR: Final = 2
_NEIGHBOUR_RETRY_MS: Final = 500
_PLATFORM_RETRY_MS: Final = 1000
_PLATFORM_RETRY_MAX_MS: Final = 4000
_REQUEST_NUMBER_MAX: Final = 2**32


class FloorSource(StrEnum):
    """The source from which the daemon determined its floor."""

    NONE = ""
    PLATFORM = "platform"
    NEIGHBOURS = "neighbours"


class FloorState(Struct):
    """Progress in determining the floor; `answers` are neighbours' held versions.

    An answer is used only if the neighbour has determined its own floor at least once:
    otherwise daemons that restarted together, all without any version, would confirm
    one another. The answer of a neighbour that catches up after a pause is used too,
    because the neighbour's state survived the pause; if the answer were ignored, the
    neighbour and a restarted daemon could wait for each other forever.

    `number` identifies the requests sent since the last start or pause. Answers with
    another number are ignored, because an answer that was buffered during a pause would
    give an outdated floor.
    """

    reached_by: FloorSource = FloorSource.NONE
    has_been_known: bool = False
    started_at_ms: int | None = None
    platform_heads: dict[str, int] | None = None
    answers: dict[str, dict[str, int]] = field(default_factory=dict)
    number: int = 0
    query_due_ms: int = 0
    read_due_ms: int = 0
    n_reads: int = 0

    @property
    def is_known(self) -> bool:
        """Return whether the floor is known and in force on this daemon."""
        return self.reached_by is not FloorSource.NONE


def record_platform_heads(
    floor: FloorState, heads: tuple[Head, ...], number: int
) -> None:
    """Record the platform's heads of all customers as the floor."""
    if not floor.is_known and number == floor.number:
        floor.platform_heads = {head.customer: head.version for head in heads}


def record_answer(floor: FloorState, vm: str, frame: HeadsDigest) -> None:
    """Record a neighbour's held versions as part of the floor."""
    is_current = frame.is_answer and frame.number == floor.number
    if is_current and frame.has_known_floor and not floor.is_known:
        floor.answers[vm] = dict(frame.versions)


def check(floor: FloorState, state: DistributionState, now_ms: int) -> Actions:
    """Check whether the floor is reached; if not, send the requests that are due."""
    if floor.is_known:
        return
    if floor.started_at_ms is None:
        floor.started_at_ms = now_ms
        floor.number = state.rng.randrange(1, _REQUEST_NUMBER_MAX)
    if floor.platform_heads is not None and _has_in_force(state, floor.platform_heads):
        floor.reached_by = FloorSource.PLATFORM
    elif _is_confirmed_by_neighbours(floor, state, now_ms):
        floor.reached_by = FloorSource.NEIGHBOURS
    if floor.is_known:
        floor.has_been_known = True
        cause = f"floor known by {floor.reached_by}"
        yield RecordDecision(DecisionKind.CAUGHT_UP, state.fleet.own_vm, cause)
        return
    if floor.platform_heads is None and now_ms >= floor.read_due_ms:
        backoff_max_ms = min(
            _PLATFORM_RETRY_MS * 2**floor.n_reads, _PLATFORM_RETRY_MAX_MS
        )
        floor.n_reads = min(
            floor.n_reads + 1, _PLATFORM_RETRY_MAX_MS // _PLATFORM_RETRY_MS
        )
        floor.read_due_ms = now_ms + int(backoff_max_ms * state.rng.uniform(0.5, 1.0))
        yield ReadHeads(None, floor.number)
    if now_ms >= floor.query_due_ms:
        floor.query_due_ms = now_ms + _NEIGHBOUR_RETRY_MS
        for vm in sorted(state.fleet.neighbours - floor.answers.keys()):
            yield from request_versions(vm, floor.has_been_known, floor.number)


def reset(floor: FloorState, state: DistributionState, now_ms: int) -> Actions:
    """Discard the floor after a pause: the daemon must catch up before it serves."""
    floor.reached_by = FloorSource.NONE
    floor.started_at_ms = None
    floor.platform_heads = None
    floor.answers.clear()
    floor.query_due_ms = floor.read_due_ms = floor.n_reads = 0
    yield from check(floor, state, now_ms)


def _is_confirmed_by_neighbours(
    floor: FloorState, state: DistributionState, now_ms: int
) -> bool:
    """Return whether enough neighbours answered and all their versions are in force.

    Two answers, or one in a fleet of two daemons, are enough, but only after the full
    `floor_wait_ms`, so that more neighbours can answer: the two neighbours that answer
    first may be the two whose versions are out of date.
    """
    n_others = sum(1 for _ in state.fleet.live()) - 1
    n_needed = min(N_NEIGHBOURS_FOR_FLOOR, max(1, n_others))
    if len(floor.answers) < n_needed:
        return False
    has_waited = now_ms - floor.started_at_ms >= state.timing.floor_wait_ms
    if not has_waited:
        return False
    return all(_has_in_force(state, versions) for versions in floor.answers.values())


def _has_in_force(state: DistributionState, versions: dict[str, int]) -> bool:
    return all(
        state.customer(name).in_force_version >= version
        for name, version in versions.items()
    )


__all__ = [
    "N_NEIGHBOURS_FOR_FLOOR",
    "FloorState",
    "FloorSource",
    "check",
    "record_answer",
    "record_platform_heads",
    "reset",
]
