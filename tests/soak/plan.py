"""Which faults a seed brings, when and where."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from tests.link import LinkFault


class FaultKind(StrEnum):
    """What may go wrong, by who suffers it."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    HANGUP = "hangup"
    HERD_KILL = "herd_kill"
    CLOCK = "clock"
    PEER_LINK = "peer_link"
    STORE_LINK = "store_link"
    INSTANCE_LINK = "instance_link"
    STORE_AWAY = "store_away"
    STORE_SILENT = "store_silent"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_SLOW = "store_slow"
    STORE_FORGETS = "store_forgets"
    INSTANCE_CRASH = "instance_crash"
    INSTANCE_LEAVES = "instance_leaves"
    INSTANCE_SLOW = "instance_slow"
    INSTANCE_GARBLES = "instance_garbles"
    CONFIGURATION = "configuration"
    CONFIGURATION_STORM = "configuration_storm"
    CALLERS_BURST = "callers_burst"


PLANNED = frozenset(
    {
        FaultKind.STOP,
        FaultKind.HANGUP,
        FaultKind.CONFIGURATION,
        FaultKind.CONFIGURATION_STORM,
        FaultKind.INSTANCE_LEAVES,
        FaultKind.CALLERS_BURST,
    }
)
_LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)
# One run in four has planned work only: what may be cut around it is least.
_PLANNED_ONLY_SHARE = 0.25
_GAP_MEAN_S = 0.7
_LONGEST_S = 4.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: `amount` is its strength where it has one, from 0 to 1."""

    at_s: float
    kind: FaultKind
    vm: int
    for_s: float
    link: LinkFault
    amount: float


def draw_plan(seed: int, n_vms: int, duration_s: float) -> tuple[Fault, ...]:
    """Return the faults of a seed; the same ones each time."""
    return tuple(_iter_faults(random.Random(seed), n_vms, duration_s))


def _iter_faults(rng: random.Random, n_vms: int, duration_s: float) -> Iterator[Fault]:
    is_planned_only = rng.random() < _PLANNED_ONLY_SHARE
    kinds = sorted(PLANNED) if is_planned_only else list(FaultKind)
    at_s = 0.5
    while at_s < duration_s:
        kind = rng.choice(kinds)
        # Signals come in series too: the same VM once more before it is back.
        for repeat in range(rng.choice((1, 1, 1, 2, 3))):
            yield Fault(
                at_s=at_s + repeat * rng.uniform(0.05, 1.0),
                kind=kind,
                vm=rng.randrange(n_vms),
                for_s=rng.uniform(0.3, min(_LONGEST_S, duration_s / 2)),
                link=rng.choice(_LINK_FAULTS),
                amount=rng.random(),
            )
        at_s += rng.expovariate(1 / _GAP_MEAN_S)


__all__ = ["PLANNED", "Fault", "FaultKind", "draw_plan"]
