"""Choice of a target by room, zone, route and failures."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from pepperstair_core.calls import CallEnd, EndKind, Load, TargetChooser
from tests.call_load import endpoint

MAP_BYTES = 90_000.0


def no_report(item):
    """Return no load, as before the first report."""


def chooser() -> TargetChooser:
    """Return a chooser in zone z."""
    return TargetChooser("z", Random(5))


def share(choosing, among, name, load_of=no_report, n_calls=200, **more) -> float:
    """Return the share of calls that a target gets, each ending at once."""
    n_found = 0
    for _ in range(n_calls):
        chosen = choosing.choose(among, load_of, 0.0, **more)
        choosing.end(chosen, among, CallEnd(EndKind.ABANDONED, 0.0), 0.0)
        n_found += chosen.target.name == name
    return n_found / n_calls


def held_share(choosing, among, name) -> float:
    """Return the share that a target gets of calls that fill half of all slots."""
    chosen = [choosing.choose(among, no_report, 0.0) for _ in range(12)]
    return sum(item.target.name == name for item in chosen) / len(chosen)


def test_large_answers_stay_in_their_zone_while_others_are_full_too():
    """Guards against map packs that cross for a queue instead of a free slot."""
    among = [endpoint(1, "z"), endpoint(2, "y")]
    loads = {"t1": Load(12, 8), "t2": Load(12, 2)}
    load_of = lambda item: loads[item.target.name]
    assert share(chooser(), among, "t2", load_of) == 0.0
    loads["t1"] = Load(12, 16)
    small = share(chooser(), among, "t2", load_of)
    large = share(chooser(), among, "t2", load_of, n_answer_bytes=MAP_BYTES)
    assert (small, large) == (1.0, 0.0)
    loads["t2"] = Load(1, 0)
    assert share(chooser(), among, "t2", load_of, n_answer_bytes=MAP_BYTES) == 1.0


def test_refused_call_goes_only_where_there_is_room():
    """One target refused a call; all others are full too.

    Asked in turn they would all refuse it, and each call would cost as much as
    several.
    """
    among = [endpoint(1), endpoint(2)]
    full = lambda item: Load(12, 3)
    refused = {among[0].key}
    choosing = chooser()
    assert (
        choosing.choose(among, full, 0.0, refused, is_free_slot_required=True) is None
    )
    free = lambda item: Load(11, 0)
    chosen = choosing.choose(among, free, 0.0, refused, is_free_slot_required=True)
    assert chosen is among[1]


def test_target_that_fails_some_of_its_calls_gets_fewer():
    """A target fails four calls in ten, and says that it is healthy.

    It never fails often enough in a row to be ejected.
    """
    among = [endpoint(1), endpoint(2)]
    choosing = chooser()
    rng = Random(3)
    for _ in range(200):
        chosen = choosing.choose(among, no_report, 0.0)
        is_bad = chosen is among[0] and rng.random() < 0.4
        kind = EndKind.ERROR if is_bad else EndKind.GOOD
        choosing.end(chosen, among, CallEnd(kind, 0.0, 50.0), 0.0)
    assert share(choosing, among, "t1") < 0.2


def test_failures_everywhere_single_out_nobody():
    """Each target fails every third of its calls, as a service behind is away."""
    among = [endpoint(1), endpoint(2)]
    choosing = chooser()
    n_calls = Counter()
    for _ in range(400):
        chosen = choosing.choose(among, no_report, 0.0)
        n_calls[chosen.target.name] += 1
        is_good = n_calls[chosen.target.name] % 3
        kind = EndKind.GOOD if is_good else EndKind.ERROR
        choosing.end(chosen, among, CallEnd(kind, 0.0, 50.0), 0.0)
    assert 0.2 < held_share(choosing, among, "t1") < 0.8


def test_target_of_long_calls_is_no_slow_target():
    """One target has just served archives, the other one short look-ups."""
    among = [endpoint(1), endpoint(2)]
    choosing = chooser()
    for _ in range(50):
        for index, (route, latency_ms) in enumerate((("archive", 360), ("look", 20))):
            item = among[index]
            choosing.choose([item], no_report, 0.0)
            end = CallEnd(EndKind.GOOD, 0.0, latency_ms, route=route)
            choosing.end(item, among, end, 0.0)
    assert 0.3 < held_share(choosing, among, "t1") < 0.7


def test_vm_that_can_not_be_reached_gets_no_second_call():
    """A VM lost power; each call to it waits for a connection in vain."""
    among = [endpoint(1), endpoint(2)]
    choosing = chooser()
    choosing.choose(among, no_report, 0.0)
    end = CallEnd(EndKind.UNREACHABLE, 0.0, 250.0)
    assert choosing.end(among[0], among, end, 0.0) is not None
    assert share(choosing, among, "t1") == 0.0
    # Its daemon is back and says so, long before the ejection ends.
    choosing.clear_ejection("vm1")
    assert share(choosing, among, "t1") > 0.0


def test_call_that_hangs_counts_against_its_target():
    """A target stops answering; waits for a slot are short on this route."""
    among = [endpoint(1), endpoint(2)]
    choosing = chooser()
    for item in among:
        choosing.choose([item], no_report, 0.0)
        end = CallEnd(EndKind.GOOD, 0.0, 50.0, route="r")
        choosing.end(item, among, end, 0.0)
    choosing.choose([among[0]], no_report, 0.0, route="r", objective_ms=500.0)
    chosen = [choosing.choose(among, no_report, 2000.0) for _ in range(10)]
    assert among[0] not in chosen


def play_failing_service(failure_rate: float, seed: int, n_calls: int = 2_000) -> int:
    """Return how many ejections follow from targets that all fail alike."""
    rng = Random(seed)
    among = [endpoint(index) for index in range(4)]
    choosing = TargetChooser("z", Random(seed))
    n_ejections = 0
    for index in range(n_calls):
        now_ms = index * 10.0
        chosen = choosing.choose(among, no_report, now_ms)
        kind = EndKind.ERROR if rng.random() < failure_rate else EndKind.GOOD
        ejection = choosing.end(chosen, among, CallEnd(kind, now_ms, 90.0), now_ms)
        n_ejections += ejection is not None
    return n_ejections


@pytest.mark.parametrize("seed", range(4))
def test_service_whose_calls_fail_further_down_keeps_its_targets(seed):
    """A service is away, and six in ten calls of one that needs it fail everywhere.

    Each target soon has five errors in a row. With one after the other ejected, the
    rest has more calls than slots and refuses those that would have been answered.
    """
    assert play_failing_service(0.6, seed) <= 5


def test_target_that_fails_alone_is_ejected_after_a_few_errors():
    among = [endpoint(index) for index in range(4)]
    choosing = TargetChooser("z", Random(5))
    ejections = []
    for index in range(400):
        now_ms = index * 10.0
        chosen = choosing.choose(among, no_report, now_ms)
        is_bad = chosen is among[0]
        kind = EndKind.ERROR if is_bad else EndKind.GOOD
        end = CallEnd(kind, now_ms, 90.0)
        if (ejection := choosing.end(chosen, among, end, now_ms)) is not None:
            ejections.append(ejection)
    assert ejections
    assert ejections[0].n_errors <= 6
    assert {ejection.key for ejection in ejections} == {among[0].key}
