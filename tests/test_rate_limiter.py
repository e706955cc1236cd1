"""The rate limiter bounds rate and queue length and is fair between customers."""

from __future__ import annotations

import asyncio

from pepperstair_platform.rate_limiter import N_WAITING_MAX, FairRateLimiter


class ManualClock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.ms = 0

    def __call__(self) -> int:
        """Return the time."""
        return self.ms


def test_bulk_of_one_customer_does_not_starve_another():
    """A large customer sends hundreds of changes at once through one daemon.

    In a FIFO queue a small customer's single change would time out behind them.
    """

    async def order() -> tuple[list[str], int]:
        # With the system clock, a pause of the machine before the small customer's
        # request would correctly admit more changes of the large customer.
        clock = ManualClock()
        limiter = FairRateLimiter(200, clock)
        granted: list[str] = []

        async def acquire(customer: str) -> None:
            if await limiter.acquire(customer, 0, 60_000):
                granted.append(customer)

        large = [asyncio.create_task(acquire("lantern")) for _ in range(260)]
        await asyncio.sleep(0)
        n_before = len(granted)
        tasks = [*large, asyncio.create_task(acquire("sayaw"))]
        await asyncio.sleep(0)
        while not all(task.done() for task in tasks):
            clock.ms += 5
            await asyncio.sleep(0.001)
        return granted, n_before

    granted, n_before = asyncio.run(order())
    assert len(granted) == 261
    assert n_before == 200
    assert granted.index("sayaw") <= n_before + 2


def test_waiting_requests_are_bounded():
    """The platform is slow while changes keep arriving.

    Without a bound they would accumulate in memory. Beyond the bound they are refused
    immediately as not sent.
    """

    async def run() -> bool:
        limiter = FairRateLimiter(1, ManualClock())
        waiting = [
            asyncio.create_task(limiter.acquire("lantern", 0, 60_000))
            for _ in range(N_WAITING_MAX + 1)
        ]
        await asyncio.sleep(0)
        async with asyncio.timeout(10):
            is_granted = await limiter.acquire("lantern", 0, 60_000)
        limiter.close()
        for task in waiting:
            task.cancel()
        return is_granted

    assert asyncio.run(run()) is False
