"""Daemon processes at both ends of a call, paused beyond their leases and resumed."""

from __future__ import annotations

import asyncio

from benchmarks.fleet import wait_until
from tests.process_fleet import (
    award_document,
    call,
    call_async,
    put_in_force,
    run_counts,
    served_by,
    start_daemons,
    start_target,
)


def test_pause_of_both_daemons_runs_no_call_past_its_deadline(fleet):
    """The daemons at both ends of a call are paused, and one resumes far too late.

    The caller-side daemon can't cancel the calls, as it is paused too, so the
    target-side daemon has to detect on its own that they have been waiting.
    """
    daemons = start_daemons(fleet, 4)
    target = start_target(fleet, daemons[0], "ledger")
    put_in_force(fleet, award_document("ledger"), daemons[1])
    assert served_by(call(daemons[1], "before")) == "ledger"
    daemons[0].pause()

    async def call_and_pause() -> None:
        calls = [
            asyncio.create_task(
                call_async(
                    daemons[1].callers,
                    f"frozen-{index}",
                    timeout_ms="500",
                    give_up_ms=2000,
                )
            )
            for index in range(20)
        ]
        await asyncio.sleep(0.2)
        daemons[1].pause()
        await asyncio.gather(*calls)

    asyncio.run(call_and_pause())
    daemons[0].resume()
    wait_until(lambda: served_by(call(daemons[2], "after")) == "ledger", "ledger")
    daemons[1].resume()
    wait_until(lambda: served_by(call(daemons[1], "again")) == "ledger", "ledger")
    ran = [
        request_id
        for request_id in run_counts(target)
        if request_id.startswith("frozen-")
    ]
    assert ran == []
