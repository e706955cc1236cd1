"""Targets and daemons that leave: nothing in flight is cut, nothing new comes."""

from __future__ import annotations

import asyncio
import time

from tests.process_fleet import (
    N_SLOW_CALLS,
    award_document,
    call,
    call_during,
    put_in_force,
    runs_of,
    set_target_state,
    start_daemons,
    start_target,
)

DRAIN_S = 2.0


def test_target_that_drains_finishes_its_work_and_gets_no_more(fleet):
    """A target says that it is leaving while it works on slow calls.

    A call cut then is a lost booking; a call sent to it later meets a closed port
    as soon as the target is gone.
    """
    daemons = start_daemons(fleet, 3)
    leaving = start_target(fleet, daemons[0], "ledger")
    staying = start_target(fleet, daemons[1], "ledger")
    put_in_force(fleet, award_document("ledger", 8000), daemons[0])
    told = asyncio.run(
        call_during(
            [daemon.callers for daemon in daemons],
            [leaving, staying],
            lambda: set_target_state(leaving, "draining"),
        )
    )
    assert [answer.status for answer in told] == [200] * N_SLOW_CALLS
    time.sleep(DRAIN_S)
    before = runs_of(leaving)
    later = [call(daemons[index % 3], f"later-{index}") for index in range(60)]
    assert {answer.status for answer in later} == {200}
    assert runs_of(leaving) == before
