"""The faults that follow from a seed, with their times and VMs."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from tests.link import LinkFault


class FaultKind(StrEnum):
    """The kinds of faults and of planned work, grouped by what they affect."""

    # Of the daemon: SIGKILL, SIGSTOP, SIGTERM and SIGHUP to one, SIGKILL to all of
    # them, and a skewed time of day.
    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    HANGUP = "hangup"
    KILL_ALL = "herd_kill"
    CLOCK = "clock"
    # Of one link of a VM.
    PEER_LINK = "peer_link"
    STORE_LINK = "store_link"
    INSTANCE_LINK = "instance_link"
    # Of the store: answers 503, answers nothing, breaks connections after it has
    # executed the calls, answers late, and drops its history of changes.
    STORE_UNAVAILABLE = "store_away"
    STORE_SILENT = "store_silent"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_SLOW = "store_slow"
    STORE_FORGETS = "store_forgets"
    # Of an instance: crashes, departs, works slowly, and breaks the connections of a
    # share of its requests.
    INSTANCE_CRASH = "instance_crash"
    INSTANCE_LEAVES = "instance_leaves"
    INSTANCE_SLOW = "instance_slow"
    INSTANCE_GARBLES = "instance_garbles"
    # Of the whole fleet: one or many new versions, and more frequent requests.
    CONFIGURATION = "configuration"
    CONFIGURATION_STORM = "configuration_storm"
    CALLERS_BURST = "callers_burst"


PLANNED_KINDS = frozenset(
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
# One run in four has planned work only, around which the fewest requests may be lost.
_PLANNED_ONLY_SHARE = 0.25
_MEAN_INTERVAL_S = 0.7
_DURATION_MAX_S = 4.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; `amount`, from 0 to 1, is its strength if its kind has one."""

    at_s: float
    kind: FaultKind
    vm: int
    for_s: float
    link: LinkFault
    amount: float


def draw_plan(seed: int, n_vms: int, duration_s: float) -> tuple[Fault, ...]:
    """Return the faults of a seed, which are the same on each call."""
    return tuple(_iter_faults(random.Random(seed), n_vms, duration_s))


def _iter_faults(rng: random.Random, n_vms: int, duration_s: float) -> Iterator[Fault]:
    is_planned_only = rng.random() < _PLANNED_ONLY_SHARE
    kinds = sorted(PLANNED_KINDS) if is_planned_only else list(FaultKind)
    at_s = 0.5
    while at_s < duration_s:
        kind = rng.choice(kinds)
        # Faults also come in series, and one may begin before the last one ends.
        for repeat in range(rng.choice((1, 1, 1, 2, 3))):
            yield Fault(
                at_s=at_s + repeat * rng.uniform(0.05, 1.0),
                kind=kind,
                vm=rng.randrange(n_vms),
                for_s=rng.uniform(0.3, min(_DURATION_MAX_S, duration_s / 2)),
                link=rng.choice(_LINK_FAULTS),
                amount=rng.random(),
            )
        at_s += rng.expovariate(1 / _MEAN_INTERVAL_S)


__all__ = ["PLANNED_KINDS", "Fault", "FaultKind", "draw_plan"]
