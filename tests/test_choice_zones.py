"""Bytes between availability zones, with a choice that knows zones and without."""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random

import pytest

from pepperstair_core.calls import CallEnd, CrossZoneCause, EndKind, Load, TargetChooser
from tests.call_load import endpoint

ZONES = ("a", "b", "c")
N_SLOTS = 10
N_TARGETS_OF_ZONE = 2
DOWNLOAD_BYTES = 90_000.0
MEAN_SERVICE_MS = 140.0
UNTIL_MS = 60_000.0


def share_between_zones(load: float, own_zone_of, seed: int) -> float:
    """Return the share of downloads that cross zones at a share of all slots.

    One daemon in each zone chooses among the targets of all; loads are those that
    came with the last answer, as they are between daemons.
    """
    rng = Random(seed)
    places = [zone for zone in ZONES for _ in range(N_TARGETS_OF_ZONE)]
    targets = tuple(endpoint(i, zone, N_SLOTS) for i, zone in enumerate(places))
    choosers = {zone: TargetChooser(own_zone_of(zone), rng) for zone in ZONES}
    told = {zone: {} for zone in ZONES}
    running = Counter()
    n_per_ms = load * N_SLOTS * len(targets) / MEAN_SERVICE_MS
    ends, counts, now_ms = [], Counter(), 0.0
    while now_ms < UNTIL_MS:
        now_ms += rng.expovariate(n_per_ms)
        while ends and ends[0][0] <= now_ms:
            end_ms, _, zone, chosen, start_ms = heapq.heappop(ends)
            running[chosen.key] -= 1
            told[zone][chosen.key] = Load(running[chosen.key], 0)
            end = CallEnd(EndKind.GOOD, start_ms, end_ms - start_ms)
            choosers[zone].end(chosen, targets, end, end_ms)
        zone = rng.choice(ZONES)
        chosen = choosers[zone].choose(
            targets,
            lambda item, zone=zone: told[zone].get(item.key),
            now_ms,
            n_answer_bytes=DOWNLOAD_BYTES,
        )
        running[chosen.key] += 1
        counts[chosen.availability_zone != zone] += 1
        service_ms = rng.expovariate(1 / MEAN_SERVICE_MS)
        heapq.heappush(
            ends, (now_ms + service_ms, counts.total(), zone, chosen, now_ms)
        )
    return counts[True] / counts.total()


@pytest.mark.parametrize("load", [0.3, 0.6])
def test_downloads_cross_zones_a_quarter_as_often_as_without_zones(load):
    """Map packs of 90 KB are fetched in three zones that have the same targets.

    Bytes between zones are paid for, and come later. A choice that does not know
    zones fetches two in three from elsewhere.
    """
    blind = sum(share_between_zones(load, lambda zone: "", s) for s in range(3)) / 3
    aware = sum(share_between_zones(load, lambda zone: zone, s) for s in range(3)) / 3
    assert 0.6 < blind < 0.73
    assert aware < blind / 4


def test_calls_that_leave_their_zone_are_counted_by_reason():
    """Bytes between zones rise, and an operator wants to know why calls cross."""
    choosing = TargetChooser("a", Random(1))
    near, far = endpoint(1, "a", 2), endpoint(2, "b", 20)
    for _ in range(4):
        choosing.choose([near, far], lambda item: None, 0.0)
    assert choosing.n_cross_zone[CrossZoneCause.FULL] == 2
    choosing.choose([far], lambda item: None, 0.0)
    assert choosing.n_cross_zone[CrossZoneCause.NO_TARGET] == 1
    choosing.choose([near, far], lambda item: None, 0.0, {near.key})
    assert choosing.n_cross_zone[CrossZoneCause.EXCLUDED] == 1
    slow = TargetChooser("a", Random(1))
    for item, latency_ms in ((near, 900.0), (far, 90.0)):
        slow.choose([item], lambda item: None, 0.0, route="r")
        end = CallEnd(EndKind.GOOD, 0.0, latency_ms, route="r")
        slow.end(item, [near, far], end, 0.0)
    slow.choose([near, far], lambda item: None, 0.0, route="r", objective_ms=300)
    assert slow.n_cross_zone[CrossZoneCause.SLOW] == 1


def chosen_where_all_are_full(n_near_waiting: int, n_far_waiting: int) -> str:
    """Return the zone chosen where no target has a free slot."""
    near, far = endpoint(1, "a", N_SLOTS), endpoint(2, "b", N_SLOTS)
    waiting = {near.key: n_near_waiting, far.key: n_far_waiting}
    chosen = TargetChooser("a", Random(1)).choose(
        [near, far], lambda item: Load(N_SLOTS, waiting[item.key]), 0.0
    )
    return chosen.availability_zone


def test_calls_stay_in_their_zone_where_others_have_no_free_slot_either():
    """Guards against an overload in which calls are swapped between full zones."""
    assert chosen_where_all_are_full(N_SLOTS // 2, 0) == "a"


def test_zone_that_has_lost_targets_uses_fuller_ones_elsewhere():
    """Guards against one overfull zone that refuses what others could queue."""
    assert chosen_where_all_are_full(2 * N_SLOTS, N_SLOTS // 2) == "b"


def play_unequal_speeds(objective_ms: float, seed: int) -> tuple[float, float]:
    """Return the shares that cross zones and that are answered in time.

    Each zone has one target, and their speeds differ by more than a factor of two.
    Every zone sends the same load, which fits with a third of the slots to spare.
    """
    rng = Random(seed)
    speeds = {"a": 0.7, "b": 0.7, "c": 1.6}
    targets = tuple(endpoint(i, zone, N_SLOTS) for i, zone in enumerate(ZONES))
    choosers = {zone: TargetChooser(zone, rng) for zone in ZONES}
    told = {zone: {} for zone in ZONES}
    free_ms = {item.key: [0.0] * N_SLOTS for item in targets}
    ends, n_calls, n_crossed, n_in_time, now_ms = [], 0, 0, 0, 0.0
    while now_ms < UNTIL_MS / 3:
        now_ms += rng.expovariate(0.65 * N_SLOTS * len(targets) / MEAN_SERVICE_MS)
        while ends and ends[0][0] <= now_ms:
            end_ms, _, zone, chosen, start_ms, running = heapq.heappop(ends)
            running[0] -= 1
            told[zone][chosen.key] = Load(running[0], 0)
            end = CallEnd(EndKind.GOOD, start_ms, end_ms - start_ms, route="r")
            choosers[zone].end(chosen, targets, end, end_ms)
        zone = rng.choice(ZONES)
        chosen = choosers[zone].choose(
            targets,
            lambda item, zone=zone: told[zone].get(item.key),
            now_ms,
            route="r",
            objective_ms=objective_ms,
        )
        n_calls += 1
        n_crossed += chosen.availability_zone != zone
        slots = free_ms[chosen.key]
        start_ms = max(now_ms, heapq.heappop(slots))
        work_ms = rng.lognormvariate(4.8, 0.5) / speeds[chosen.availability_zone]
        heapq.heappush(slots, start_ms + work_ms)
        n_in_time += start_ms + work_ms - now_ms <= 450.0
        running = told.setdefault("running", {}).setdefault(chosen.key, [0])
        running[0] += 1
        heapq.heappush(
            ends, (start_ms + work_ms, n_calls, zone, chosen, now_ms, running)
        )
    return n_crossed / n_calls, n_in_time / n_calls


@pytest.mark.parametrize("seed", range(3))
def test_slower_target_of_the_own_zone_serves_calls_that_it_answers_in_time(seed):
    """Instances differ in speed; the only one of a zone is a slow one.

    Left at a third of its slots, it would stand idle while every second call
    crosses zones and the quick instance fills up.
    """
    crossed, in_time = play_unequal_speeds(450.0, seed)
    crossed_without, in_time_without = play_unequal_speeds(0.0, seed)
    assert crossed < 0.7 * crossed_without
    assert in_time > in_time_without - 0.01
