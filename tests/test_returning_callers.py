"""When callers come back whose calls were turned away by targets with free slots."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from random import Random

import pytest

from pepperstair_core.calls import AcceptanceRates
from pepperstair_http import Response

from .call_mesh import Mesh, retry_after_ms, status_and_run
from .test_last_hop import ID, OPTIONS

WORK_MS = 250.0
WANTED_MS = 600.0
DEADLINE_MS = 4_000.0
N_RETRIES = 2


def play(
    accepted_share: float, return_ms_of: Callable[[AcceptanceRates], float]
) -> float:
    """Return the share of callers whose answer came in time.

    Targets take calls in with the same probability at any time, and every caller
    comes back up to twice, when it is told to, at most after a third of its time.
    """
    rng, acceptance = Random(5), AcceptanceRates()
    events = [(index * 10.0, index, 0, index * 10.0) for index in range(1_500)]
    n_in_time = 0
    while events:
        now_ms, caller, n_returns, first_ms = heapq.heappop(events)
        is_accepted = rng.random() < accepted_share
        acceptance.record("s", is_accepted)
        if is_accepted:
            n_in_time += now_ms + WORK_MS - first_ms <= WANTED_MS
        elif n_returns < N_RETRIES:
            left_ms = first_ms + DEADLINE_MS - now_ms
            delay_ms = min(return_ms_of(acceptance), left_ms / 3)
            heapq.heappush(events, (now_ms + delay_ms, caller, n_returns + 1, first_ms))
    return n_in_time / 1_500


@pytest.mark.parametrize("accepted_share", [0.3, 0.45, 0.8])
def test_callers_turned_away_by_rule_get_answers_in_time(accepted_share):
    """The instances of a service turn away about half of what comes for some seconds.

    Callers told to come back in a second get their answers late, though the next try
    would often have been taken at once.
    """
    soon = play(accepted_share, lambda acceptance: acceptance.retry_after_ms("s"))
    in_a_second = play(accepted_share, lambda acceptance: 1_000.0)
    assert in_a_second < 1.1 * accepted_share
    assert soon > 0.9 * (1 - (1 - accepted_share) ** (1 + N_RETRIES))


def test_callers_of_targets_that_take_nothing_are_sent_away_for_longer():
    acceptance = AcceptanceRates()
    for _ in range(300):
        acceptance.record("s", False)
    assert acceptance.retry_after_ms("s") == 1_000
    assert acceptance.retry_after_ms("other") == 50


def test_call_that_the_target_turned_away_says_to_come_back_soon():
    """The only target of a service sheds a booking though its slots are free."""
    refusal = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"

    async def shed(target, writer, head) -> None:
        writer.write(refusal)

    async def run() -> Response:
        async with Mesh(options=OPTIONS) as mesh:
            await mesh.add("t1", shed)
            return await mesh.call(headers=(ID,))

    response = asyncio.run(run())
    assert status_and_run(response) == (503, "no")
    assert 0 < retry_after_ms(response) < 100
