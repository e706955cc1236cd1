"""Changes of one customer pass one by one, beside those of the others."""

from __future__ import annotations

import asyncio

from pepperstaird.configuration import change_lines
from pepperstaird.configuration.change_lines import N_WAITING_MAX, ChangeLines


def test_burst_of_one_customer_is_read_one_by_one():
    """A large customer's tool sends hundreds of documents at once.

    Read all at once they would hold the daemon's event loop for seconds, and
    a small customer's change, or a call, would wait for all of them.
    """
    running: dict[str, int] = {"lantern": 0, "sayaw": 0}
    most = dict(running)
    refused: list[str] = []

    async def change(lines: ChangeLines, customer: str) -> None:
        async with lines.turn(customer) as is_turn:
            if not is_turn:
                refused.append(customer)
                return
            running[customer] += 1
            most[customer] = max(most[customer], running[customer])
            await asyncio.sleep(0)
            running[customer] -= 1

    async def burst() -> None:
        lines = ChangeLines()
        customers = ["lantern"] * 300 + ["sayaw"]
        await asyncio.gather(*[change(lines, customer) for customer in customers])

    asyncio.run(burst())
    assert most == {"lantern": 1, "sayaw": 1}
    assert refused == ["lantern"] * (300 - N_WAITING_MAX - 1)


def test_change_that_waits_too_long_is_told_so(monkeypatch):
    """The platform answers slowly and the line moves too slowly for its tail.

    The operator hears in time that nothing was sent, and when to come back.
    """
    monkeypatch.setattr(change_lines, "WAIT_MAX_MS", 20)

    async def run() -> tuple[bool, bool]:
        lines = ChangeLines()
        async with lines.turn("lantern") as first, lines.turn("lantern") as second:
            pass
        async with lines.turn("lantern") as third:
            return first and not second, third

    assert asyncio.run(run()) == (True, True)
