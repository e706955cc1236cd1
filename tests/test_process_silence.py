"""Connections between daemons that lose all traffic while new connections work."""

from __future__ import annotations

import asyncio

from benchmarks.fleet import DaemonProcess, Fleet, free_port, wait_until
from tests.link import Link, LinkFault
from tests.process_fleet import (
    FAST_MEMBERS,
    award_document,
    call_async,
    is_ready,
    knows_target,
    put_in_force,
    run_counts,
    wait_for_runs,
)

N_CALLS = 40


def start_behind_relay(fleet: Fleet) -> tuple[DaemonProcess, DaemonProcess, Link]:
    """Start two daemons; the second one is reached through a relay."""
    caller_side = fleet.start_daemon("vm-0", "pos-a", "{}", FAST_MEMBERS)
    address = f"127.0.0.1:{free_port()}"
    relay = Link(address, free_port())
    target_side = fleet.start_daemon(
        "vm-1", "pos-b", "{}", FAST_MEMBERS, address, relay.address
    )
    return caller_side, target_side, relay


def test_silent_stream_loses_no_call(fleet):
    """A network device between two daemons drops the state of their connection.

    New connections work. The old one is not closed, so calls on it would hang until
    they time out, and a blind retry would repeat a booking whose answer was lost.
    """

    async def run() -> None:
        caller_side, target_side, relay = start_behind_relay(fleet)
        await relay.listen()
        # The relay uses plain streams, so the event loop of the other thread shares
        # no buffer with it.
        await asyncio.to_thread(prepare, caller_side, target_side)
        first = await call_async(caller_side.callers, "first")
        assert first.status == 200
        slow = [
            asyncio.create_task(
                call_async(
                    caller_side.callers,
                    f"slow-{index}",
                    work_ms="500",
                    timeout_ms="9000",
                )
            )
            for index in range(8)
        ]
        await wait_for_runs(targets, 9)
        relay.fail(LinkFault.SILENCE)
        later = [
            asyncio.create_task(
                call_async(caller_side.callers, f"later-{index}", timeout_ms="9000")
            )
            for index in range(N_CALLS)
        ]
        answers = await asyncio.gather(*slow, *later)
        relay.close()
        assert {answer.status for answer in answers} == {200}

    targets: list[str] = []

    def prepare(caller_side: DaemonProcess, target_side: DaemonProcess) -> None:
        wait_until(lambda: all(map(is_ready, fleet.daemons)), "both ready")
        targets.append(fleet.start_target(target_side, "ledger", "--name", "ledger-1"))
        wait_until(lambda: knows_target(caller_side, "ledger-1"), "ledger-1 known")
        put_in_force(fleet, award_document("ledger", 10_000), target_side)

    asyncio.run(run())
    assert set(run_counts(targets[0]).values()) == {1}
