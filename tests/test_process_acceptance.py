"""Acceptance of changes by real daemons under concurrent changes and failures."""

from __future__ import annotations

import asyncio

from benchmarks.fleet import status_of, wait_until
from benchmarks.intents import apply_intent
from pepperstair_core.config import parse_address
from pepperstair_http import Fetcher
from tests.process_fleet import (
    CUSTOMER,
    award_document,
    put_in_force,
    start_daemons,
    version_of,
    wait_in_force,
)


def test_operators_racing_on_one_version(fleet):
    """Several operators apply changes to the same version concurrently.

    If two of them succeeded, the change of one would be lost without an error.
    """
    daemons = start_daemons(fleet, 3)
    put_in_force(fleet, award_document("ledger"), daemons[0])

    async def race(version: int) -> list[int]:
        fetchers = [Fetcher(*parse_address(d.operators), 5000) for d in daemons * 3]
        path = f"/v1/intent/{CUSTOMER}?from_version={version}"
        documents = [
            award_document("ledger", 1000 + version * 100 + index).encode()
            for index in range(len(fetchers))
        ]
        answers = await asyncio.gather(
            *(
                fetcher.fetch("PUT", path, document)
                for fetcher, document in zip(fetchers, documents, strict=True)
            )
        )
        for fetcher in fetchers:
            fetcher.close()
        return sorted(answer.status for answer in answers)

    for version in (1, 2, 3):
        assert asyncio.run(race(version)) == [200] + [409] * 8
        wait_in_force(daemons, version + 1)


def test_accepting_daemon_dies_right_after_its_answer(fleet):
    """The daemon that accepted a change is lost with its VM immediately afterwards.

    The operator has received the answer that the change is accepted. If only that
    daemon had it, the change would be lost without an error.
    """
    daemons = start_daemons(fleet, 4)
    for round_number, accepting in enumerate(daemons[1:], start=1):
        document = award_document("ledger", 1000 + round_number)
        applied = apply_intent(accepting, CUSTOMER, document)
        accepting.kill()
        assert applied.status == 200
        live = [daemon for daemon in fleet.daemons if daemon.process.poll() is None]
        wait_in_force(live, applied.version)
        fleet.restart_daemon(accepting)
        wait_in_force(fleet.daemons, applied.version)


def test_accepting_daemon_dies_at_the_start_of_a_platform_outage(fleet):
    """The accepting daemon and the platform fail together.

    The change was accepted, so it must be in force everywhere once the platform
    is back, and its version number must not be assigned again.
    """
    daemons = start_daemons(fleet, 3)
    put_in_force(fleet, award_document("ledger"), daemons[0])
    accepted = apply_intent(daemons[1], CUSTOMER, award_document("vault"))
    daemons[1].kill()
    fleet.set_platform_faults(mode="outage")
    assert accepted.status == 200
    refused = apply_intent(daemons[0], CUSTOMER, award_document("ledger", 999))
    assert refused.status in (503, 504)
    fleet.set_platform_faults()
    wait_in_force([daemons[0], daemons[2]], accepted.version)
    again = apply_intent(
        daemons[0], CUSTOMER, award_document("ledger", 999), from_version=1
    )
    assert again.status == 409


def test_answer_lost_after_the_commit(fleet):
    """The platform commits a change, but its answer is lost.

    The operator retries with the same change id at another daemon. The change must
    not be committed a second time, and the answer must contain its version.
    """
    daemons = start_daemons(fleet, 3)
    fleet.set_platform_faults(mode="drop_answers", path_prefix="/v1/transaction")
    document = award_document("ledger")
    first = apply_intent(daemons[0], CUSTOMER, document, change_id="award-1")
    assert first.status in (200, 504), first
    fleet.set_platform_faults()
    second = apply_intent(daemons[1], CUSTOMER, document, change_id="award-1")
    assert (second.status, second.version) == (200, 1)
    wait_in_force(daemons, 1)
    third = apply_intent(daemons[2], CUSTOMER, award_document("vault"), "award-2", 1)
    assert (third.status, third.version) == (200, 2)


def test_platform_outage(fleet):
    """The platform is unavailable for some time.

    Operators must soon get the answer that nothing was accepted, the configuration
    must stay in force, and the same change must be accepted afterwards.
    """
    daemons = start_daemons(fleet, 3)
    put_in_force(fleet, award_document("ledger"), daemons[0])
    fleet.set_platform_faults(mode="outage")
    document = award_document("vault")
    refused = apply_intent(daemons[1], CUSTOMER, document, change_id="move-1")
    assert (refused.status, refused.error) == (503, "platform_unavailable")
    assert [version_of(daemon) for daemon in daemons] == [1, 1, 1]
    fleet.set_platform_faults()
    wait_until(
        lambda: apply_intent(daemons[2], CUSTOMER, document, "move-1").status == 200,
        "the change accepted once the platform is back",
    )
    wait_in_force(daemons, 2)


def test_platform_slower_than_its_timeout(fleet):
    """The platform commits, but its answer exceeds the timeout of the daemons.

    The answer "not accepted" for a change that takes effect would make the operator
    send it twice. Without any answer the operator would wait indefinitely.
    """
    daemons = start_daemons(fleet, 3)
    fleet.set_platform_faults(
        mode="slow", latency_ms=3000, path_prefix="/v1/transaction"
    )
    document = award_document("ledger")
    first = apply_intent(daemons[0], CUSTOMER, document, change_id="slow-1")
    assert first.status in (200, 504), first
    fleet.set_platform_faults()
    wait_until(
        lambda: apply_intent(daemons[1], CUSTOMER, document, "slow-1").version == 1,
        "the answer of the first change after a retry",
    )
    wait_in_force(daemons, 1)


def test_invalid_document_is_accepted_nowhere(fleet):
    """An operator misspells the service of a route.

    A proxy that applied the rest of the document would hold a version that nobody
    wrote; one that applied the route would have no service for its calls.
    """
    daemons = start_daemons(fleet, 3)
    put_in_force(fleet, award_document("ledger"), daemons[0])
    document = award_document("ledger").replace('service = "ledger"', 'service = "x"')
    assert apply_intent(daemons[1], CUSTOMER, document).status == 422
    put_in_force(fleet, award_document("vault"), daemons[1])
    assert all(status_of(daemon)["versions"] == {CUSTOMER: 2} for daemon in daemons)
