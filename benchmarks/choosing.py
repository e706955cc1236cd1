"""Measure the cost of choosing a target, by the number of candidate targets.

`python -m benchmarks.choosing` prints the processor time of choosing a target and
recording the end of the call, and that of finding a service's endpoints in a rebuilt
table and after a change of one member.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

from msgspec.structs import replace

from pepperstair_core.calls import CallEnd, EndKind, Load, TargetChooser
from pepperstair_core.labels import parse_selector
from pepperstair_core.members import Member, MemberState, Target, TargetState
from pepperstair_core.routing import EndpointTable

_N_ZONES = 3
_CALL_INTERVAL_MS = 50.0
_N_CHOICE_REPEATS = 2_000
_N_TABLE_REPEATS = 200


def main() -> None:
    """Print one line for each number of targets."""
    for n_targets in (7, 54, 300):
        _measure(n_targets)


def _measure(n_targets: int) -> None:
    """Measure one of two services with `n_targets` targets each."""
    members = [_member(i, ("ledger", "vault")[i % 2]) for i in range(2 * n_targets)]
    selector = parse_selector("service=ledger").unwrap()
    tables = [EndpointTable(members)]
    endpoints = tables[0].endpoints(selector)
    chooser = TargetChooser("zone-0", Random(1))
    times_ms = count(0.0, _CALL_INTERVAL_MS)

    def choose() -> None:
        now_ms = next(times_ms)
        chosen = chooser.choose(endpoints, lambda item: Load(2, 0), now_ms, route="r")
        end = CallEnd(EndKind.GOOD, now_ms, 100.0, route="r")
        chooser.end(chosen, endpoints, end, now_ms)

    def update() -> None:
        members[0] = replace(members[0], sequence=members[0].sequence + 1)
        tables[0] = EndpointTable(members, previous=tables[0])
        tables[0].endpoints(selector)

    choice_us = _time_us(choose, _N_CHOICE_REPEATS)
    rebuild_us = _time_us(
        lambda: EndpointTable(members).endpoints(selector), _N_TABLE_REPEATS
    )
    update_us = _time_us(update, _N_TABLE_REPEATS)
    print(
        f"{n_targets} targets: choice {choice_us:.0f} us;"
        f" endpoints rebuilt {rebuild_us:.0f} us, after one change {update_us:.0f} us"
    )


def _member(index: int, service: str) -> Member:
    labels = (("service", service),)
    address = f"10.0.0.{index}:80"
    target = Target(f"i-{index}", address, labels, 9, 500, TargetState.SERVING)
    return Member(
        f"vm-{index}",
        1,
        0,
        MemberState.ALIVE,
        f"zone-{index % _N_ZONES}",
        f"10.0.0.{index}:7600",
        (),
        (target,),
    )


def _time_us(work: Callable[[], Any], n_repeats: int) -> float:
    """Return the mean processor time of one call of `work`, in microseconds."""
    before_s = time.process_time()
    for _ in range(n_repeats):
        work()
    return 1e6 * (time.process_time() - before_s) / n_repeats


if __name__ == "__main__":
    main()
