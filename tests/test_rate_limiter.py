"""Turns at the platform: bounded in rate and number, fair between customers."""

from __future__ import annotations

import asyncio

from pepperstair_platform.rate_limiter import N_WAITING_MAX, FairRateLimiter


class SetClock:
    """A clock that moves only when it is told to."""

    def __init__(self) -> None:
        self.ms = 0

    def __call__(self) -> int:
        """Return the time."""
        return self.ms


def test_bulk_of_one_customer_leaves_the_other_its_turn():
    """A large customer sends hundreds of changes at once through one daemon.

    In one line a small customer's single change would time out behind them.
    """

    async def order() -> tuple[list[str], int]:
        # With the machine's own clock a pause of it before the small customer
        # asks would let more of the large one's changes pass, and rightly so.
        clock = SetClock()
        turns = FairRateLimiter(200, clock)
        taken: list[str] = []

        async def take(customer: str) -> None:
            if await turns.take(customer, 0, 60_000):
                taken.append(customer)

        large = [asyncio.create_task(take("lantern")) for _ in range(260)]
        await asyncio.sleep(0)
        n_before = len(taken)
        tasks = [*large, asyncio.create_task(take("sayaw"))]
        await asyncio.sleep(0)
        while not all(task.done() for task in tasks):
            clock.ms += 5
            await asyncio.sleep(0.001)
        return taken, n_before

    taken, n_before = asyncio.run(order())
    assert len(taken) == 261
    assert n_before == 200
    assert taken.index("sayaw") <= n_before + 2


def test_waiting_requests_are_bounded():
    """The platform is slow and changes keep coming.

    Without a bound each would wait in memory; past it they are refused at once
    as not sent.
    """

    async def run() -> bool:
        turns = FairRateLimiter(1, SetClock())
        waiting = [
            asyncio.create_task(turns.take("lantern", 0, 60_000))
            for _ in range(N_WAITING_MAX + 1)
        ]
        await asyncio.sleep(0)
        async with asyncio.timeout(10):
            is_granted = await turns.take("lantern", 0, 60_000)
        turns.close()
        for task in waiting:
            task.cancel()
        return is_granted

    assert asyncio.run(run()) is False
