"""Daemons that are stopped: nothing in flight is cut, later calls go elsewhere."""

from __future__ import annotations

import asyncio
import signal

import pytest

from benchmarks.fleet import wait_until
from tests.process_fleet import (
    N_SLOW_CALLS,
    award_document,
    call,
    call_during,
    put_in_force,
    runs_of,
    served_by,
    start_daemons,
    start_target,
)


@pytest.mark.parametrize("leaving_index", [0, 2], ids=["target side", "caller side"])
def test_daemon_that_is_stopped_finishes_its_calls(fleet, leaving_index):
    """A daemon gets SIGTERM while calls run through it.

    They must get their whole answers, calls that come later must be refused as not
    run or go elsewhere, and the daemon must end by itself.
    """
    daemons = start_daemons(fleet, 3)
    target = start_target(fleet, daemons[0], "ledger")
    put_in_force(fleet, award_document("ledger", 8000), daemons[0])
    leaving = daemons[leaving_index]

    async def leave() -> None:
        leaving.process.send_signal(signal.SIGTERM)

    callers = [daemons[2 if leaving_index else 1].callers]
    told = asyncio.run(call_during(callers, [target], leave))
    assert [answer.status for answer in told] == [200] * N_SLOW_CALLS
    wait_until(lambda: leaving.process.poll() is not None, "the daemon ended")
    assert leaving.process.returncode == 0
    assert max(runs_of(target).values()) == 1


def test_calls_to_a_stopped_daemon_go_elsewhere(fleet):
    """One of two daemons beside targets is stopped under steady calls.

    Nobody who calls through the others should notice: what was refused did not run
    and is sent to the other target.
    """
    daemons = start_daemons(fleet, 3)
    start_target(fleet, daemons[0], "ledger")
    start_target(fleet, daemons[1], "ledger")
    put_in_force(fleet, award_document("ledger"), daemons[0])
    told = [call(daemons[2], f"before-{index}") for index in range(20)]
    daemons[0].process.send_signal(signal.SIGTERM)
    told.extend(call(daemons[2], f"during-{index}") for index in range(60))
    assert {served_by(answer) for answer in told} == {"ledger"}
    wait_until(lambda: daemons[0].process.poll() is not None, "the daemon ended")
