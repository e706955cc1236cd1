"""Choice of a target: own zone, slow start, ejection and its floor."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from pepperstair_core.calls import (
    JOINING_MS,
    CallEnd,
    EndKind,
    Load,
    TargetChooser,
)
from pepperstair_core.calls.target_health import EJECTION_BASE_MS, SLOW_START_MS
from tests.call_load import endpoint


def no_report(item):
    """Return no load, as before the first heartbeat."""


def chooser() -> TargetChooser:
    """Return a chooser in zone z."""
    return TargetChooser("z", Random(5))


def fail_until_ejected(choosing, item, among, now_ms=0.0):
    """Let calls to one target fail until it is ejected."""
    for _ in range(item.policy.ejection_errors):
        ejection = choosing.end(item, among, CallEnd(EndKind.ERROR, 0.0), now_ms)
    return ejection


def counts(choosing, among, load_of=no_report, now_ms=0.0, n_calls=200) -> Counter:
    """Return how often each target is chosen, each call ending at once."""
    found = Counter()
    for _ in range(n_calls):
        chosen = choosing.choose(among, load_of, now_ms)
        choosing.end(chosen, among, CallEnd(EndKind.GOOD, now_ms), now_ms)
        found[chosen.target.name] += 1
    return found


def test_own_zone_comes_first_until_its_slots_are_taken():
    among = [endpoint(1, "z", 2), endpoint(2, "y", 2), endpoint(3, "y", 2)]
    choosing = chooser()
    chosen = [choosing.choose(among, no_report, 0.0).target.name for _ in range(4)]
    assert chosen[:2] == ["t1", "t1"]
    assert set(chosen[2:]) <= {"t2", "t3"}


def test_reported_queue_keeps_calls_away():
    """Other daemons fill a target that this one has sent nothing to."""
    among = [endpoint(1), endpoint(2)]
    load_of = lambda item: Load(12, 30) if item is among[0] else Load(1, 0)
    assert counts(chooser(), among, load_of) == {"t2": 200}


@pytest.mark.parametrize("state", ["serving", "cold"])
def test_new_target_gets_its_share_slowly(state):
    """A target that just started gets its whole share of calls at once.

    It is still loading its code and data, and callers wait behind that.
    """
    among = [endpoint(1), endpoint(2)]
    choosing = chooser()
    choosing.choose(among, no_report, 0.0)
    joined = [*among, endpoint(3, state=state)]
    start_ms = 1000.0
    early = [choosing.choose(joined, no_report, start_ms) for _ in range(18)]
    assert sum(item.target.name == "t3" for item in early) <= 2
    late_ms = start_ms + SLOW_START_MS
    late = [choosing.choose(joined, no_report, late_ms) for _ in range(12)]
    is_warm = state == "serving"
    assert (sum(item.target.name == "t3" for item in late) >= 4) is is_warm


def test_targets_discovered_one_by_one_after_a_restart_share_the_calls():
    """All daemons were killed and come back, and targets announce themselves anew.

    Taken for cold, all but the first to be known would stand idle while it queues
    nearly all calls of the fleet.
    """
    choosing = TargetChooser("z", Random(5), JOINING_MS)
    known = [endpoint(0)]
    choosing.choose(known, no_report, 0.0)
    for index in (1, 2):
        known = [*known, endpoint(index)]
        choosing.choose(known, no_report, 300.0 * index)
    held = [choosing.choose(known, no_report, 900.0) for _ in range(18)]
    for item in known:
        assert 4 <= sum(chosen is item for chosen in held) <= 8
    joined = [*known, endpoint(3)]
    late_ms = JOINING_MS + 1.0
    later = [choosing.choose(joined, no_report, late_ms) for _ in range(9)]
    assert sum(item.target.name == "t3" for item in later) <= 2


def test_hanging_target_gets_no_more_calls_before_the_first_times_out():
    """A target stops answering; its connections stay open.

    Until the first call to it times out there is no answer to measure, and
    each further call sent there is lost as well.
    """
    among = [endpoint(1), endpoint(2)]
    choosing = chooser()
    for _ in range(20):
        answered = choosing.choose(among, no_report, 0.0)
        choosing.end(answered, among, CallEnd(EndKind.GOOD, 0.0, 40.0), 0.0)
    stuck = choosing.choose(among, no_report, 0.0, is_urgent=True)
    chosen = [choosing.choose(among, no_report, 1000.0) for _ in range(20)]
    assert stuck not in chosen


def test_ejected_target_comes_back_by_one_probe():
    """A target answers with errors, though it says that it is healthy."""
    among = [endpoint(1), endpoint(2)]
    choosing = chooser()
    choosing.choose(among, no_report, 0.0)
    first = fail_until_ejected(choosing, among[0], among)
    assert counts(choosing, among) == {"t2": 200}
    probe_ms = first.period_ms + 1
    probed = [choosing.choose(among, no_report, probe_ms) for _ in range(3)]
    assert [item.target.name for item in probed] == ["t1", "t2", "t2"]
    second = choosing.end(among[0], among, CallEnd(EndKind.ERROR, 0.0), probe_ms)
    assert second.period_ms > first.period_ms
    assert first.period_ms != EJECTION_BASE_MS
    back_ms = probe_ms + second.period_ms + 1
    assert choosing.choose(among, no_report, back_ms) is among[0]
    choosing.end(among[0], among, CallEnd(EndKind.GOOD, back_ms), back_ms)
    assert counts(choosing, among, now_ms=back_ms)["t1"] > 0


def test_floor_keeps_half_of_the_targets_in_use():
    """This daemon's own network is broken, so that every target seems to fail.

    With all ejected it would refuse calls long after the network is back.
    """
    among = [endpoint(index) for index in range(4)]
    choosing = chooser()
    choosing.choose(among, no_report, 0.0)
    ejections = [fail_until_ejected(choosing, item, among) for item in among]
    assert [ejection is not None for ejection in ejections] == [
        True,
        True,
        False,
        False,
    ]
    remaining = [among[0], among[2]]
    assert set(counts(choosing, [*remaining, among[1]])) == {"t0", "t2"}
    assert fail_until_ejected(chooser(), among[0], among[:1]) is None


def test_target_that_refuses_at_once_does_not_draw_all_calls():
    """A full target refuses each call at once and so has nothing in flight."""
    among = [endpoint(1), endpoint(2)]
    choosing = chooser()
    for _ in range(2):
        choosing.choose(among, no_report, 0.0)
    choosing.end(among[0], among, CallEnd(EndKind.REFUSED, 0.0, 0.0, 300), 0.0)
    assert counts(choosing, among, now_ms=299.0) == {"t2": 200}
    assert choosing.choose(among, no_report, 0.0, {among[1].key}) is among[0]
    assert choosing.choose(among[:1], no_report, 0.0, {among[0].key}) is None


def test_figures_over_all_targets_follow_what_is_seen():
    """A quick target turns slow while calls go on choosing among the same ones."""
    among = (endpoint(1), endpoint(2))
    choosing = chooser()
    latencies_ms = {"t1": 20.0, "t2": 40.0}
    now_ms = 0.0
    found = Counter()
    for step in range(400):
        if step == 200:
            latencies_ms["t1"], found = 400.0, Counter()
        now_ms += 20.0
        chosen = choosing.choose(among, no_report, now_ms)
        found[chosen.target.name] += 1
        ended = CallEnd(EndKind.GOOD, now_ms, latencies_ms[chosen.target.name])
        choosing.end(chosen, among, ended, now_ms)
    assert found["t2"] > 150
