"""Stop of daemons: calls in flight complete, later calls are sent elsewhere."""

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
    run_counts,
    served_by,
    start_daemons,
    start_target,
)


@pytest.mark.parametrize("leaving_index", [0, 2], ids=["target side", "caller side"])
def test_stopped_daemon_finishes_its_calls(fleet, leaving_index):
    """A daemon gets SIGTERM while it proxies or runs calls.

    These must get their whole answers, later calls must be refused as not run or be
    sent elsewhere, and the daemon must exit by itself.
    """
    daemons = start_daemons(fleet, 3)
    target = start_target(fleet, daemons[0], "ledger")
    put_in_force(fleet, award_document("ledger", 8000), daemons[0])
    stopping_daemon = daemons[leaving_index]

    async def send_stop_signal() -> None:
        stopping_daemon.process.send_signal(signal.SIGTERM)

    callers = [daemons[2 if leaving_index else 1].callers]
    answers = asyncio.run(call_during(callers, [target], send_stop_signal))
    assert [answer.status for answer in answers] == [200] * N_SLOW_CALLS
    wait_until(lambda: stopping_daemon.process.poll() is not None, "the daemon ended")
    assert stopping_daemon.process.returncode == 0
    assert max(run_counts(target).values()) == 1


def test_calls_to_a_stopped_daemon_are_sent_elsewhere(fleet):
    """One of two daemons with targets is stopped while calls continue.

    Callers of the other daemons must not notice: refused calls did not run and are
    sent to the other target.
    """
    daemons = start_daemons(fleet, 3)
    start_target(fleet, daemons[0], "ledger")
    start_target(fleet, daemons[1], "ledger")
    put_in_force(fleet, award_document("ledger"), daemons[0])
    answers = [call(daemons[2], f"before-{index}") for index in range(20)]
    daemons[0].process.send_signal(signal.SIGTERM)
    answers.extend(call(daemons[2], f"during-{index}") for index in range(60))
    assert {served_by(answer) for answer in answers} == {"ledger"}
    wait_until(lambda: daemons[0].process.poll() is not None, "the daemon ended")
