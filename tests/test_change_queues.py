"""Changes of one customer are serialized, concurrently with those of others."""

from __future__ import annotations

import asyncio

from pepperstaird.configuration import change_queues
from pepperstaird.configuration.change_queues import N_WAITING_MAX, ChangeQueues


def test_burst_of_one_customer_is_processed_one_by_one():
    """A large customer's tool sends hundreds of documents at once.

    Parsed all at once, they would block the daemon's event loop for seconds and
    delay a small customer's change, or a call.
    """
    running: dict[str, int] = {"lantern": 0, "sayaw": 0}
    most = dict(running)
    refused: list[str] = []

    async def change(queues: ChangeQueues, customer: str) -> None:
        async with queues.turn(customer) as is_acquired:
            if not is_acquired:
                refused.append(customer)
                return
            running[customer] += 1
            most[customer] = max(most[customer], running[customer])
            await asyncio.sleep(0)
            running[customer] -= 1

    async def burst() -> None:
        queues = ChangeQueues()
        customers = ["lantern"] * 300 + ["sayaw"]
        await asyncio.gather(*[change(queues, customer) for customer in customers])

    asyncio.run(burst())
    assert most == {"lantern": 1, "sayaw": 1}
    assert refused == ["lantern"] * (300 - N_WAITING_MAX - 1)


def test_change_that_waits_too_long_is_refused(monkeypatch):
    """The platform answers so slowly that the last changes in the queue time out.

    The operator is notified in time that nothing was committed and when to retry.
    """
    monkeypatch.setattr(change_queues, "WAIT_MAX_MS", 20)

    async def run() -> tuple[bool, bool]:
        queues = ChangeQueues()
        async with queues.turn("lantern") as first, queues.turn("lantern") as second:
            pass
        async with queues.turn("lantern") as third:
            return first and not second, third

    assert asyncio.run(run()) == (True, True)
