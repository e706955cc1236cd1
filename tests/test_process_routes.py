"""Routes and services change atomically on real daemons while calls are running."""

from __future__ import annotations

import asyncio
import itertools

from benchmarks.fleet import DaemonProcess
from benchmarks.intents import apply_intent_async
from tests.process_fleet import (
    CUSTOMER,
    CallAnswer,
    award_document,
    call_async,
    put_in_force,
    served_by,
    start_daemons,
    start_target,
    wait_in_force,
)

N_CHANGES = 12


def test_route_never_lacks_its_service(fleet):
    """The service of a route is replaced repeatedly.

    Each version contains one service only. A proxy that applied routes and services
    separately would briefly route to a service that it no longer has, and refuse
    calls that every version can serve.
    """
    daemons = start_daemons(fleet, 3)
    start_target(fleet, daemons[0], "ledger")
    start_target(fleet, daemons[1], "vault")
    put_in_force(fleet, award_document("ledger"), daemons[0])
    is_over = asyncio.Event()

    async def call_on(daemon: DaemonProcess) -> list[CallAnswer]:
        answers = []
        for number in itertools.count():
            request_id = f"{daemon.vm}-{number}"
            answers.append(await call_async(daemon.callers, request_id))
            if is_over.is_set():
                return answers

    async def change_under_calls() -> list[CallAnswer]:
        calls = [asyncio.create_task(call_on(daemon)) for daemon in daemons]
        for change, service in zip(
            range(N_CHANGES), itertools.cycle(("vault", "ledger")), strict=False
        ):
            at = daemons[change % 3]
            document = award_document(service)
            applied = await apply_intent_async(at, CUSTOMER, document)
            assert applied.version == change + 2
        is_over.set()
        return list(itertools.chain(*await asyncio.gather(*calls)))

    answers = asyncio.run(change_under_calls())
    assert {served_by(answer) for answer in answers} == {"ledger", "vault"}
    wait_in_force(daemons, N_CHANGES + 1)
