"""Tests of target choice by free slots, zone, route and failures."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from pepperstair_core.calls import CallEnd, EndKind, Load, TargetChooser
from tests.call_load import endpoint

MAP_BYTES = 90_000.0


def no_report(item):
    """Return None, as before the first load report."""


def make_chooser() -> TargetChooser:
    """Return a chooser in zone z."""
    return TargetChooser("z", Random(5))


def share(chooser, among, name, load_of=no_report, n_calls=200, **more) -> float:
    """Return the share of calls that a target gets if calls end immediately."""
    n_chosen = 0
    for _ in range(n_calls):
        chosen = chooser.choose(among, load_of, 0.0, **more)
        chooser.end(chosen, among, CallEnd(EndKind.ABANDONED, 0.0), 0.0)
        n_chosen += chosen.target.name == name
    return n_chosen / n_calls


def held_share(chooser, among, name) -> float:
    """Return a target's share of the calls when half of all slots are filled."""
    chosen = [chooser.choose(among, no_report, 0.0) for _ in range(12)]
    return sum(item.target.name == name for item in chosen) / len(chosen)


def test_large_answers_stay_in_their_zone_while_others_are_full_too():
    """Guards against map packs that cross zones to wait in a queue there."""
    among = [endpoint(1, "z"), endpoint(2, "y")]
    loads = {"t1": Load(12, 8), "t2": Load(12, 2)}
    load_of = lambda item: loads[item.target.name]
    assert share(make_chooser(), among, "t2", load_of) == 0.0
    loads["t1"] = Load(12, 16)
    small = share(make_chooser(), among, "t2", load_of)
    large = share(make_chooser(), among, "t2", load_of, n_answer_bytes=MAP_BYTES)
    assert (small, large) == (1.0, 0.0)
    loads["t2"] = Load(1, 0)
    assert share(make_chooser(), among, "t2", load_of, n_answer_bytes=MAP_BYTES) == 1.0


def test_refused_call_is_retried_only_at_targets_with_free_slots():
    """One target refused a call and all others are full too.

    Each further attempt would be refused as well, so that one call would cost as much
    as several.
    """
    among = [endpoint(1), endpoint(2)]
    full = lambda item: Load(12, 3)
    refused = {among[0].key}
    chooser = make_chooser()
    assert chooser.choose(among, full, 0.0, refused, is_free_slot_required=True) is None
    free = lambda item: Load(11, 0)
    chosen = chooser.choose(among, free, 0.0, refused, is_free_slot_required=True)
    assert chosen is among[1]


def test_target_that_fails_some_of_its_calls_gets_fewer():
    """A target that reports itself healthy fails four calls in ten.

    It never fails often enough in a row to be ejected.
    """
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    rng = Random(3)
    for _ in range(200):
        chosen = chooser.choose(among, no_report, 0.0)
        is_bad = chosen is among[0] and rng.random() < 0.4
        kind = EndKind.ERROR if is_bad else EndKind.GOOD
        chooser.end(chosen, among, CallEnd(kind, 0.0, 50.0), 0.0)
    assert share(chooser, among, "t1") < 0.2


def test_failures_common_to_all_targets_do_not_shift_calls():
    """Each target fails every third call because a downstream service is down."""
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    n_calls = Counter()
    for _ in range(400):
        chosen = chooser.choose(among, no_report, 0.0)
        n_calls[chosen.target.name] += 1
        is_good = n_calls[chosen.target.name] % 3
        kind = EndKind.GOOD if is_good else EndKind.ERROR
        chooser.end(chosen, among, CallEnd(kind, 0.0, 50.0), 0.0)
    assert 0.2 < held_share(chooser, among, "t1") < 0.8


def test_target_of_long_calls_is_not_treated_as_slow():
    """One target has just served archives, the other short look-ups."""
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    for _ in range(50):
        for index, (route, latency_ms) in enumerate((("archive", 360), ("look", 20))):
            item = among[index]
            chooser.choose([item], no_report, 0.0)
            end = CallEnd(EndKind.GOOD, 0.0, latency_ms, route=route)
            chooser.end(item, among, end, 0.0)
    assert 0.3 < held_share(chooser, among, "t1") < 0.7


def test_unreachable_vm_gets_no_second_call():
    """A VM has lost power, so connections to it time out."""
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    chooser.choose(among, no_report, 0.0)
    end = CallEnd(EndKind.UNREACHABLE, 0.0, 250.0)
    assert chooser.end(among[0], among, end, 0.0) is not None
    assert share(chooser, among, "t1") == 0.0
    # Its daemon reconnects long before the ejection ends.
    chooser.clear_ejection("vm1")
    assert share(chooser, among, "t1") > 0.0


def test_call_that_hangs_counts_against_its_target():
    """A target hangs on a route whose objective allows only short waits for a slot."""
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    for item in among:
        chooser.choose([item], no_report, 0.0)
        end = CallEnd(EndKind.GOOD, 0.0, 50.0, route="r")
        chooser.end(item, among, end, 0.0)
    chooser.choose([among[0]], no_report, 0.0, route="r", objective_ms=500.0)
    chosen = [chooser.choose(among, no_report, 2000.0) for _ in range(10)]
    assert among[0] not in chosen


def simulate_failing_service(
    failure_rate: float, seed: int, n_calls: int = 2_000
) -> int:
    """Return the number of ejections if all targets fail at the same rate."""
    rng = Random(seed)
    among = [endpoint(index) for index in range(4)]
    chooser = TargetChooser("z", Random(seed))
    n_ejections = 0
    for index in range(n_calls):
        now_ms = index * 10.0
        chosen = chooser.choose(among, no_report, now_ms)
        kind = EndKind.ERROR if rng.random() < failure_rate else EndKind.GOOD
        ejection = chooser.end(chosen, among, CallEnd(kind, now_ms, 90.0), now_ms)
        n_ejections += ejection is not None
    return n_ejections


@pytest.mark.parametrize("seed", range(4))
def test_service_with_a_failing_dependency_keeps_its_targets(seed):
    """A service is down; six in ten calls to one that needs it fail at all targets.

    Each target soon has five errors in a row. If one after the other were ejected, the
    rest would have more calls than slots and refuse calls that would have succeeded.
    """
    assert simulate_failing_service(0.6, seed) <= 5


def test_target_that_fails_alone_is_ejected_after_a_few_errors():
    among = [endpoint(index) for index in range(4)]
    chooser = TargetChooser("z", Random(5))
    ejections = []
    for index in range(400):
        now_ms = index * 10.0
        chosen = chooser.choose(among, no_report, now_ms)
        is_bad = chosen is among[0]
        kind = EndKind.ERROR if is_bad else EndKind.GOOD
        end = CallEnd(kind, now_ms, 90.0)
        if (ejection := chooser.end(chosen, among, end, now_ms)) is not None:
            ejections.append(ejection)
    assert ejections
    assert ejections[0].n_errors <= 6
    assert {ejection.key for ejection in ejections} == {among[0].key}


def test_limited_target_that_runs_all_that_it_accepts_is_full():
    """Guards against a limited target that looks idle and refuses what it attracts."""
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    answered_in_100_ms = CallEnd(EndKind.GOOD, 0.0, 100.0)
    for item in among:
        chooser.choose([item], no_report, 0.0)
        chooser.end(item, [item], answered_in_100_ms, 0.0)
    chooser.record_limit(among[0], 20.0, 0.0, 0.0)
    # The limit of 20 a second and 100 ms a call amount to two calls of twelve slots.
    loads = {"t1": Load(2, 0), "t2": Load(9, 0)}
    load_of = lambda item: loads[item.target.name]
    assert share(chooser, among, "t1", load_of) == 0.0
    loads["t1"] = Load(0, 0)
    assert share(chooser, among, "t1", load_of) == 1.0
    loads["t1"] = Load(2, 0)
    chooser.record_limit(among[0], None, 1.0, 1.0)
    assert share(chooser, among, "t1", load_of) == 1.0


def test_limit_that_is_not_stated_again_does_not_count_for_long():
    """Guards against a target that gets no calls although its limit has ended."""
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    chooser.choose(among, no_report, 0.0)
    chooser.record_limit(among[0], 20.0, 0.0, 0.0)
    loads = {"t1": Load(1, 0), "t2": Load(6, 0)}
    load_of = lambda item: loads[item.target.name]
    assert chooser.choose(among, load_of, 999.0).target.name == "t2"
    assert chooser.choose(among, load_of, 1_001.0).target.name == "t1"
