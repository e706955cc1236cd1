"""Draining of targets: calls in flight complete and no new calls arrive."""

from __future__ import annotations

import asyncio
import time

from tests.process_fleet import (
    N_SLOW_CALLS,
    award_document,
    call,
    call_during,
    put_in_force,
    run_counts,
    set_target_state,
    start_daemons,
    start_target,
)

DRAIN_S = 2.0


def test_draining_target_finishes_its_calls_and_gets_no_new_ones(fleet):
    """A target starts to drain while it runs slow calls.

    A call that is aborted then is a lost booking. A call sent to the target later
    finds a closed port as soon as the target has stopped.
    """
    daemons = start_daemons(fleet, 3)
    draining_target = start_target(fleet, daemons[0], "ledger")
    other_target = start_target(fleet, daemons[1], "ledger")
    put_in_force(fleet, award_document("ledger", 8000), daemons[0])
    answers = asyncio.run(
        call_during(
            [daemon.callers for daemon in daemons],
            [draining_target, other_target],
            lambda: set_target_state(draining_target, "draining"),
        )
    )
    assert [answer.status for answer in answers] == [200] * N_SLOW_CALLS
    time.sleep(DRAIN_S)
    runs_before = run_counts(draining_target)
    later = [call(daemons[index % 3], f"later-{index}") for index in range(60)]
    assert {answer.status for answer in later} == {200}
    assert run_counts(draining_target) == runs_before
