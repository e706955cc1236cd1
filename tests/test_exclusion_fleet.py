"""Drawn lapses, delays and lost publications leave no target left out for good."""

from __future__ import annotations

import pytest

from pepperstair_targets import TargetOptions
from tests.exclusion_fleet import HEARTBEAT_MS, PINNED, ExclusionFleet, play

SEEDS = range(12)
# Time for the next heartbeat, its publication and the next call.
RETURN_MS = 2 * HEARTBEAT_MS
OPTIONS = {"pinned": PINNED, "unpinned": TargetOptions()}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_exclusion_stays_after_the_faults_have_ended(seed):
    """Guards against a target that is left out until a record changes by chance."""
    assert play(seed) == {}


@pytest.mark.parametrize("options", OPTIONS.values(), ids=OPTIONS)
@pytest.mark.parametrize("seed", SEEDS)
def test_late_heartbeats_alone_leave_nothing_out_for_longer_than_a_heartbeat(
    seed, options
):
    """Guards against a lapse or a return that is not published."""
    assert play(seed, ("late",), RETURN_MS, options) == {}


def test_late_heartbeats_refuse_no_call_while_the_targets_answer():
    """Guards against refused calls for targets that have just answered others."""
    fleet = ExclusionFleet(1, 5)
    fleet.run(10_000)
    for _ in range(10):
        fleet.inject("late")
        fleet.run(5_000)
    assert [vm.n_refused for vm in fleet.vms.values()] == [0] * 5
