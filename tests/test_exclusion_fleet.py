"""Drawn lapses, delays and lost publications leave no target excluded for good."""

from __future__ import annotations

import pytest

from pepperstair_targets import TargetOptions
from tests.exclusion_fleet import NAMED_TARGETS, ExclusionFleet, play
from tests.exclusion_vm import HEARTBEAT_MS

SEEDS = range(12)
# Time for the next heartbeat, its publication and the next call.
RETURN_MS = 2 * HEARTBEAT_MS
# Whether requests name the target that they are for.
OPTIONS = {"named": NAMED_TARGETS, "unnamed": TargetOptions()}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_exclusion_stays_after_the_faults_have_ended(seed):
    """Guards against a target that is excluded until a record changes by chance."""
    fleet = play(seed)
    assert fleet.missing() == {}
    n_refused = fleet.n_refused
    fleet.run(5_000)
    assert fleet.n_refused == n_refused


@pytest.mark.parametrize("options", OPTIONS.values(), ids=OPTIONS)
@pytest.mark.parametrize("seed", SEEDS)
def test_late_heartbeats_exclude_nothing_for_longer_than_a_heartbeat(seed, options):
    """Guards against a lapse or a return that is not published."""
    assert play(seed, ("late",), RETURN_MS, options).missing() == {}


def test_late_heartbeats_refuse_no_call_while_the_targets_answer():
    """Guards against refused calls for targets that have just answered others."""
    fleet = ExclusionFleet(1, 5)
    fleet.run(10_000)
    for _ in range(10):
        fleet.inject("late")
        fleet.run(5_000)
    assert fleet.n_refused == 0
