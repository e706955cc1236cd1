"""Bytes between availability zones, with a choice that knows zones and without."""

from __future__ import annotations

import heapq
from collections import Counter
from random import Random

import pytest

from pepperstair_core.calls import CallEnd, EndKind, Load, TargetChooser
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
