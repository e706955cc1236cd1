"""Calls that wait for the slots of a target, on the event loop."""

from __future__ import annotations

import asyncio
import time

from pepperstair_core.wire import CallHead
from pepperstair_targets.slots import SlotQueue

SHORT_MS, LONG_MS = 30.0, 400.0


def now_ms() -> float:
    return time.monotonic() * 1000


def head(route: str) -> CallHead:
    return CallHead(
        call_id=1,
        request_id="x",
        customer="c",
        target="t",
        method="GET",
        path="/",
        headers=(),
        priority="normal",
        is_idempotent=True,
        time_left_ms=10_000,
        has_body=False,
        route=route,
        wanted_left_ms=5_000,
        fingerprint=b"",
    )


async def acquire(slots: SlotQueue, route: str) -> None:
    await slots.acquire(head(route), now_ms() + 10_000, 16)


async def make_slots() -> SlotQueue:
    """Return two free slots whose daemon has learnt the service times."""
    slots = SlotQueue(2, now_ms, lambda refused: None)
    slots.share(True)
    for _ in range(60):
        for route, service_ms in (("short", SHORT_MS), ("long", LONG_MS)):
            await acquire(slots, route)
            slots.release(head(route), service_ms)
    return slots


def test_slot_kept_for_short_calls_is_given_back_without_another_event():
    """No call arrives or ends meanwhile; only the timer can start the waiting call."""

    async def scenario():
        slots = await make_slots()
        await acquire(slots, "long")
        await acquire(slots, "short")
        slots.release(head("short"), SHORT_MS)
        waiting = asyncio.create_task(acquire(slots, "long"))
        await asyncio.sleep(0)
        assert slots.admission.n_queued == 1
        await asyncio.wait_for(waiting, 5)
        assert (slots.admission.n_in_flight, slots.admission.n_queued) == (2, 0)

    asyncio.run(scenario())


def test_short_call_takes_the_kept_slot_before_the_waiting_long_call():
    async def scenario():
        slots = await make_slots()
        await acquire(slots, "long")
        await acquire(slots, "short")
        slots.release(head("short"), SHORT_MS)
        waiting = asyncio.create_task(acquire(slots, "long"))
        await asyncio.sleep(0)
        await asyncio.wait_for(acquire(slots, "short"), 5)
        assert not waiting.done()
        slots.release(head("short"), SHORT_MS)
        await asyncio.wait_for(waiting, 5)

    asyncio.run(scenario())


def test_withdrawn_call_frees_the_slot_of_its_route():
    """A route that seems to run for ever would make every queue look slow."""

    async def scenario():
        slots = await make_slots()
        await acquire(slots, "long")
        await acquire(slots, "short")
        waiting = asyncio.create_task(acquire(slots, "short"))
        await asyncio.sleep(0)
        slots.release(head("short"), SHORT_MS)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        slots.release(head("long"), LONG_MS)
        assert slots.admission.n_in_flight == 0
        assert slots.admission._running.first_end_ms() == 0.0

    asyncio.run(scenario())
