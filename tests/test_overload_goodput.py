"""What a target serves in time while it gets several times its capacity."""

from __future__ import annotations

import pytest

from pepperstair_core.calls import standing_queue
from tests.shared_target import (
    FirstComeFirstServed,
    Source,
    run_shared,
    share_in_time,
)

N_SLOTS = 6
CAPACITY_MS_PER_S = 1000.0 * N_SLOTS
FROM_S, UNTIL_S, LENGTH_S = 4, 8, 13
NEVER = 1e18


def overload(load: float):
    """Return a factor that is 1 before and after an overload."""
    return lambda at_ms: load if FROM_S * 1000 <= at_ms < UNTIL_S * 1000 else 1.0


def one_kind(load: float) -> list[Source]:
    """Return calls of one kind that need the whole capacity."""
    return [Source("c", CAPACITY_MS_PER_S / 40, factor=overload(load))]


def three_kinds(load: float) -> list[Source]:
    """Return calls of 20, 40 and 200 ms that need the whole capacity together."""
    factor = overload(load)
    kinds = [("s", 0.4, 20, 178, 445), ("m", 0.3, 40, 300, 1500)]
    kinds.append(("l", 0.3, 200, 1200, 5000))
    return [
        Source(
            "c",
            share * CAPACITY_MS_PER_S / work_ms,
            work_ms,
            objective_ms,
            deadline_ms,
            route,
            factor=factor,
        )
        for route, share, work_ms, objective_ms, deadline_ms in kinds
    ]


def work_in_time(kinds, load, from_s, until_s, make=None) -> float:
    """Return the work of calls in time, per second, as a share of the capacity.

    It is the mean of three seeds, of the calls that were sent in a span of time.
    """
    more = {"make": make} if make else {}
    work_ms = sum(
        each.source.work_ms
        for seed in range(3)
        for each in run_shared(kinds(load), seed, LENGTH_S * 1000, N_SLOTS, **more)
        if each.is_in_time and from_s * 1000 <= each.sent_ms < until_s * 1000
    )
    return work_ms / (3 * (until_s - from_s) * CAPACITY_MS_PER_S)


@pytest.mark.parametrize("load", [1.5, 3, 5])
@pytest.mark.parametrize(("kinds", "kept"), [(one_kind, 0.95), (three_kinds, 0.85)])
def test_goodput_in_overload_is_about_what_it_is_at_capacity(kinds, kept, load):
    """Without a limit on the wait, every answer is late while the overload lasts."""
    at_capacity = work_in_time(kinds, 1, FROM_S, UNTIL_S)
    assert work_in_time(kinds, load, FROM_S, UNTIL_S) > kept * at_capacity


@pytest.mark.parametrize("load", [1.5, 3, 5])
@pytest.mark.parametrize("kinds", [one_kind, three_kinds])
def test_goodput_is_back_two_seconds_after_an_overload(kinds, load):
    span = (UNTIL_S + 2, LENGTH_S - 1)
    assert work_in_time(kinds, load, *span) > 0.9 * work_in_time(kinds, 1, *span)


def test_short_calls_do_not_all_wait_until_their_deadlines(monkeypatch):
    """They may wait past their wanted time, so their queue has no other limit."""
    limited = work_in_time(three_kinds, 5, FROM_S, UNTIL_S)
    monkeypatch.setattr(standing_queue, "LATE_WINDOW", NEVER)
    assert limited > 2 * work_in_time(three_kinds, 5, FROM_S, UNTIL_S)


def test_first_come_first_served_has_no_goodput_in_overload():
    assert work_in_time(one_kind, 3, FROM_S + 1, UNTIL_S, FirstComeFirstServed) < 0.05
    calls = run_shared(one_kind(3), 0, LENGTH_S * 1000, N_SLOTS)
    assert share_in_time(calls) > 0.5
