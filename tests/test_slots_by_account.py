"""Tests of slots that accounts share, in place of the customers of their routes."""

from __future__ import annotations

import asyncio

import pytest

from pepperstair_core.wire import CallHead
from pepperstair_http import PRODUCT_HEADERS
from pepperstair_targets.slots import SlotQueue

SERVICE_MS = 10.0


def head(call_id: int, account: str = "", customer: str = "c") -> CallHead:
    """Return the head of a call for an account."""
    headers = ((PRODUCT_HEADERS.account, account.encode()),) if account else ()
    return CallHead(
        call_id=call_id,
        request_id="",
        customer=customer,
        target="t",
        method="GET",
        path="/",
        headers=headers,
        priority="normal",
        is_idempotent=True,
        time_left_ms=60_000,
        has_body=False,
    )


async def order_of(heads, account_header=PRODUCT_HEADERS.account):
    """Return the order in which waiting calls get the only slot."""
    clock = {"now_ms": 0.0}
    slots = SlotQueue(1, lambda: clock["now_ms"], lambda refused: None, account_header)
    first = head(0)
    await slots.acquire(first, 60_000, 100)
    served = []

    async def wait(call):
        await slots.acquire(call, 60_000, 100)
        served.append(call)

    tasks = [asyncio.ensure_future(wait(call)) for call in heads]
    await asyncio.sleep(0)
    running = first
    for n_served in range(1, len(heads) + 1):
        clock["now_ms"] += SERVICE_MS
        slots.release(running, SERVICE_MS)
        while len(served) < n_served:
            await asyncio.sleep(0)
        running = served[-1]
    await asyncio.gather(*tasks)
    return [call.call_id for call in served]


def test_account_does_not_wait_behind_all_calls_of_another():
    """Guards against slots that are shared by customer where all accounts have one."""
    flood = [head(n, "large") for n in range(1, 21)]
    order = asyncio.run(order_of([*flood, head(21, "small")]))
    assert order.index(21) <= 2


@pytest.mark.parametrize("account_header", [b"", PRODUCT_HEADERS.account])
def test_calls_without_an_account_share_by_customer(account_header):
    flood = [head(n) for n in range(1, 21)]
    order = asyncio.run(order_of([*flood, head(21, customer="d")], account_header))
    assert order.index(21) <= 2


def test_account_with_the_name_of_a_customer_does_not_count_for_it():
    flood = [head(n, customer="c") for n in range(1, 21)]
    order = asyncio.run(order_of([*flood, head(21, "c")]))
    assert order.index(21) <= 2
