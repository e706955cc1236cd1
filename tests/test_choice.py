"""Tests of target choice: own zone, slow start, and ejection with its limit."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from msgspec.structs import replace

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
    """Return None, as before the first load report."""


def make_chooser() -> TargetChooser:
    """Return a chooser in zone z."""
    return TargetChooser("z", Random(5))


def fail_until_ejected(chooser, item, among, now_ms=0.0):
    """Report failed calls to one target until it is ejected."""
    for _ in range(item.policy.ejection_errors):
        ejection = chooser.end(item, among, CallEnd(EndKind.ERROR, 0.0), now_ms)
    return ejection


def counts(chooser, among, load_of=no_report, now_ms=0.0, n_calls=200) -> Counter:
    """Return how often each target is chosen if calls end immediately."""
    n_chosen = Counter()
    for _ in range(n_calls):
        chosen = chooser.choose(among, load_of, now_ms)
        chooser.end(chosen, among, CallEnd(EndKind.GOOD, now_ms), now_ms)
        n_chosen[chosen.target.name] += 1
    return n_chosen


def test_own_zone_comes_first_until_its_slots_are_taken():
    among = [endpoint(1, "z", 2), endpoint(2, "y", 2), endpoint(3, "y", 2)]
    chooser = make_chooser()
    chosen = [chooser.choose(among, no_report, 0.0).target.name for _ in range(4)]
    assert chosen[:2] == ["t1", "t1"]
    assert set(chosen[2:]) <= {"t2", "t3"}


def test_target_with_a_reported_queue_gets_no_calls():
    """Other daemons fill a target to which this daemon has sent no calls."""
    among = [endpoint(1), endpoint(2)]
    load_of = lambda item: Load(12, 30) if item is among[0] else Load(1, 0)
    assert counts(make_chooser(), among, load_of) == {"t2": 200}


@pytest.mark.parametrize("state", ["serving", "cold"])
def test_new_target_gets_its_share_slowly(state):
    """Guards against sending a target that has just started its full share of calls.

    It is still loading code and data, and callers would wait for that.
    """
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    chooser.choose(among, no_report, 0.0)
    joined = [*among, endpoint(3, state=state)]
    start_ms = 1000.0
    early = [chooser.choose(joined, no_report, start_ms) for _ in range(18)]
    assert sum(item.target.name == "t3" for item in early) <= 2
    late_ms = start_ms + SLOW_START_MS
    late = [chooser.choose(joined, no_report, late_ms) for _ in range(12)]
    is_warm = state == "serving"
    assert (sum(item.target.name == "t3" for item in late) >= 4) is is_warm


def test_targets_discovered_one_by_one_after_a_restart_share_the_calls():
    """All daemons are killed and restart, and targets announce themselves again.

    If the later ones were treated as cold, they would be idle while the first one
    discovered queues nearly all calls of the fleet.
    """
    chooser = TargetChooser("z", Random(5), JOINING_MS)
    known = [endpoint(0)]
    chooser.choose(known, no_report, 0.0)
    for index in (1, 2):
        known = [*known, endpoint(index)]
        chooser.choose(known, no_report, 300.0 * index)
    held = [chooser.choose(known, no_report, 900.0) for _ in range(18)]
    for item in known:
        assert 4 <= sum(chosen is item for chosen in held) <= 8
    joined = [*known, endpoint(3)]
    late_ms = JOINING_MS + 1.0
    later = [chooser.choose(joined, no_report, late_ms) for _ in range(9)]
    assert sum(item.target.name == "t3" for item in later) <= 2


def test_hanging_target_gets_no_more_calls_before_the_first_times_out():
    """A target stops answering while its connections stay open.

    Until the first call to it times out there is no latency to measure, and each
    further call to it is lost as well.
    """
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    for _ in range(20):
        answered = chooser.choose(among, no_report, 0.0)
        chooser.end(answered, among, CallEnd(EndKind.GOOD, 0.0, 40.0), 0.0)
    stuck = chooser.choose(among, no_report, 0.0, is_urgent=True)
    chosen = [chooser.choose(among, no_report, 1000.0) for _ in range(20)]
    assert stuck not in chosen


def test_ejected_target_comes_back_by_one_probe():
    """A target answers with errors although it reports itself healthy."""
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    chooser.choose(among, no_report, 0.0)
    first = fail_until_ejected(chooser, among[0], among)
    assert counts(chooser, among) == {"t2": 200}
    probe_ms = first.period_ms + 1
    probed = [chooser.choose(among, no_report, probe_ms) for _ in range(3)]
    assert [item.target.name for item in probed] == ["t1", "t2", "t2"]
    second = chooser.end(among[0], among, CallEnd(EndKind.ERROR, 0.0), probe_ms)
    assert second.period_ms > first.period_ms
    assert first.period_ms != EJECTION_BASE_MS
    back_ms = probe_ms + second.period_ms + 1
    assert chooser.choose(among, no_report, back_ms) is among[0]
    chooser.end(among[0], among, CallEnd(EndKind.GOOD, back_ms), back_ms)
    assert counts(chooser, among, now_ms=back_ms)["t1"] > 0


@pytest.mark.parametrize("kind", [EndKind.ABANDONED, EndKind.REFUSED])
def test_probe_without_a_result_is_followed_by_another(kind):
    """Guards against an ejected target whose only probe was abandoned or refused."""
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    chooser.choose(among, no_report, 0.0)
    ejection = fail_until_ejected(chooser, among[0], among)
    probe_ms = ejection.period_ms + 1
    for _ in range(3):
        assert chooser.choose(among, no_report, probe_ms) is among[0]
        chooser.end(among[0], among, CallEnd(kind, probe_ms), probe_ms)


def test_ejection_limit_keeps_half_of_the_targets_in_use():
    """This daemon's own network is broken, so every target appears to fail.

    With all targets ejected it would refuse calls long after the network recovers.
    """
    among = [endpoint(index) for index in range(4)]
    chooser = make_chooser()
    chooser.choose(among, no_report, 0.0)
    ejections = [fail_until_ejected(chooser, item, among) for item in among]
    assert [ejection is not None for ejection in ejections] == [
        True,
        True,
        False,
        False,
    ]
    remaining = [among[0], among[2]]
    assert set(counts(chooser, [*remaining, among[1]])) == {"t0", "t2"}
    assert fail_until_ejected(make_chooser(), among[0], among[:1]) is None


def test_target_that_refuses_at_once_does_not_attract_all_calls():
    """A full target refuses each call at once and so has no calls in flight."""
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    for _ in range(2):
        chooser.choose(among, no_report, 0.0)
    chooser.end(among[0], among, CallEnd(EndKind.REFUSED, 0.0, 0.0, 300), 0.0)
    assert counts(chooser, among, now_ms=299.0) == {"t2": 200}
    assert chooser.choose(among, no_report, 0.0, {among[1].key}) is among[0]
    assert chooser.choose(among[:1], no_report, 0.0, {among[0].key}) is None


def test_statistics_over_all_targets_follow_latency_changes():
    """A quick target becomes slow while calls choose among the same endpoints."""
    among = (endpoint(1), endpoint(2))
    chooser = make_chooser()
    latencies_ms = {"t1": 20.0, "t2": 40.0}
    now_ms = 0.0
    n_chosen = Counter()
    for step in range(400):
        if step == 200:
            latencies_ms["t1"], n_chosen = 400.0, Counter()
        now_ms += 20.0
        chosen = chooser.choose(among, no_report, now_ms)
        n_chosen[chosen.target.name] += 1
        ended = CallEnd(EndKind.GOOD, now_ms, latencies_ms[chosen.target.name])
        chooser.end(chosen, among, ended, now_ms)
    assert n_chosen["t2"] > 150


def test_target_that_starts_again_under_its_name_has_no_history():
    """An ejected target restarts; its new process is kept away from calls."""
    among = [endpoint(1), endpoint(2)]
    chooser = make_chooser()
    chooser.choose(among, no_report, 0.0)
    fail_until_ejected(chooser, among[0], among)
    assert counts(chooser, among) == {"t2": 200}
    target = replace(among[0].target, labels=(("start", "2"),))
    restarted = [replace(among[0], target=target), among[1]]
    load_of = lambda item: Load(12, 30) if item is among[1] else Load(0, 0)
    assert counts(chooser, among, load_of) == {"t2": 200}
    assert counts(chooser, restarted, load_of) == {"t1": 200}
    assert chooser.limit_of(restarted[0]) is None
