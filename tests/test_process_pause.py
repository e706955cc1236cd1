"""Daemon processes that are paused beyond their leases and resumed."""

from __future__ import annotations

import asyncio

from benchmarks.fleet import wait_until
from benchmarks.intents import apply_intent
from tests.process_fleet import (
    CUSTOMER,
    CallAnswer,
    award_document,
    call,
    call_async,
    put_in_force,
    run_counts,
    served_by,
    start_daemons,
    start_target,
    wait_in_force,
)


def test_paused_caller_side_daemon_serves_no_old_version_when_resumed(fleet):
    """A daemon is paused beyond its leases, as with its VM, and then resumes.

    In the meantime the route was moved, and calls have queued up in its sockets. If
    they were served with the old version, they would reach the old service.
    """
    daemons = start_daemons(fleet, 4)
    start_target(fleet, daemons[1], "ledger")
    start_target(fleet, daemons[2], "vault")
    put_in_force(fleet, award_document("ledger"), daemons[1])
    daemons[0].pause()
    applied = apply_intent(daemons[1], CUSTOMER, award_document("vault"))
    wait_in_force(daemons[1:], applied.version)

    async def call_paused() -> list[CallAnswer]:
        calls = [
            asyncio.create_task(call_async(daemons[0].callers, f"frozen-{index}"))
            for index in range(20)
        ]
        await asyncio.sleep(3)
        daemons[0].resume()
        return await asyncio.gather(*calls)

    answers = asyncio.run(call_paused())
    assert {served_by(answer) for answer in answers} <= {"", "vault"}
    wait_in_force(fleet.daemons, applied.version)
    wait_until(lambda: served_by(call(daemons[0], "later")) == "vault", "vault")


def test_paused_target_side_daemon_runs_no_call_past_its_deadline(fleet):
    """A target-side daemon is paused while calls are on their way to it.

    The outcome is reported to their callers as unknown, and their deadlines pass.
    When the daemon resumes, it finds the calls in its socket. Running them now would
    book a place long after the member was asked to try again.
    """
    daemons = start_daemons(fleet, 3)
    target = start_target(fleet, daemons[0], "ledger")
    put_in_force(fleet, award_document("ledger"), daemons[1])
    assert served_by(call(daemons[1], "before")) == "ledger"
    daemons[0].pause()

    async def call_through_others() -> list[CallAnswer]:
        calls = [
            call_async(
                daemons[1 + index % 2].callers, f"frozen-{index}", timeout_ms="400"
            )
            for index in range(20)
        ]
        answers = await asyncio.gather(*calls)
        await asyncio.sleep(1.5)
        return answers

    answers = asyncio.run(call_through_others())
    daemons[0].resume()
    wait_until(lambda: served_by(call(daemons[1], "after")) == "ledger", "ledger")
    assert {answer.status for answer in answers} <= {502, 503, 504}
    ran = [
        request_id
        for request_id in run_counts(target)
        if request_id.startswith("frozen-")
    ]
    assert ran == []
