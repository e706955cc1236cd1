"""Tests of the client of the platform's store, against a stand-in with faults."""

from __future__ import annotations

import asyncio
import functools
import inspect

import pytest

from pepperstair_adapter.store import (
    MEMBERS_TABLE,
    Store,
    StoreTable,
    TableRows,
    row_name,
    upsert_of,
)
from pepperstair_core.config import PlatformSettings
from pepperstair_core.errors import ErrorKind
from pepperstair_platform import Row
from tests.adapter.store_stand_in import StoreStandIn


def with_store(test):
    """Run a test with a stand-in of the store and a client for it."""

    @functools.wraps(test)
    def run(*arguments, **named):
        async def scenario():
            stand_in = StoreStandIn()
            settings = PlatformSettings(await stand_in.listen(), timeout_ms=300)
            store = Store(settings)
            try:
                async with asyncio.timeout(10):
                    await test(stand_in, store, *arguments, **named)
            finally:
                store.close()
                stand_in.close()

        asyncio.run(scenario())

    # The first two parameters are passed here; pytest must not look for fixtures.
    signature = inspect.signature(test)
    own = list(signature.parameters.values())[2:]
    run.__signature__ = signature.replace(parameters=own)
    return run


@with_store
async def test_table_is_read_page_by_page(stand_in, store):
    stand_in.n_page_rows = 2
    for index in range(5):
        stand_in.put("t", f"k{index}", b"%d" % index)
    read = (await store.read("t")).unwrap()
    assert [row.value for row in read.rows] == [b"0", b"1", b"2", b"3", b"4"]
    assert read.position == 5


@with_store
async def test_change_of_a_page_that_was_read_is_seen_by_the_watch(stand_in, store):
    """Guards against a change that is missed while later pages are read."""
    stand_in.n_page_rows = 2
    for index in range(5):
        stand_in.put("t", f"k{index}", b"old")
    stand_in.on_page = lambda: stand_in.put("t", "k0", b"new")
    read = (await store.read("t")).unwrap()
    assert read.rows[0].value == b"old"
    changed = (await store.wait("t", read.position, 10)).unwrap()
    assert ("k0", b"new") in [(row.key, row.value) for row in changed.rows]


@with_store
async def test_watch_returns_the_changed_rows(stand_in, store):
    table = StoreTable(store, "op")
    position = (await table.read()).unwrap().position
    watch_task = asyncio.create_task(table.wait(position, 5000))
    await asyncio.sleep(0.05)
    stand_in.put("op", "config", b"new")
    changed = (await watch_task).unwrap()
    assert [(row.key, row.value) for row in changed.rows] == [("config", b"new")]
    assert (await table.wait(changed.position, 10)).unwrap().rows == ()


@with_store
async def test_watch_before_the_kept_history_fails_as_expired(stand_in, store):
    """The store drops its history of changes while a daemon is disconnected.

    If the daemon continued from its last position, it would never receive the changes
    that it missed.
    """
    stand_in.put("op", "config", b"new")
    stand_in.forget_history()
    failure = (await store.wait("op", 0, 1000)).unwrap_err()
    assert failure.kind is ErrorKind.WATCH_EXPIRED


@pytest.mark.parametrize("status", [403, 429, 500, 503, 507])
@with_store
async def test_refused_call_is_a_failure_and_not_an_empty_table(
    stand_in, store, status
):
    """The store refuses the calls of this VM.

    If such an answer were read as an empty table, every other daemon would be removed
    from the fleet.
    """
    stand_in.put("t", "k", b"1")
    stand_in.status = status
    assert (await store.read("t")).unwrap_err().kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert (await store.transact([], [])).is_err()


@with_store
async def test_call_to_a_silent_store_times_out(stand_in, store):
    """The store accepts the connection and never answers; the row may be written."""
    stand_in.is_silent = True
    failure = (await store.transact([], [])).unwrap_err()
    assert failure.kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN


@with_store
async def test_malformed_rows_are_skipped(stand_in, store):
    stand_in.put("members", "member/a", b"{}")
    stand_in.extra_rows = [
        {"key": "member/b", "value": "no base64!"},
        {"key": "member/c"},
        {"value": "AAAA"},
        7,
    ]
    rows = (await TableRows(store, MEMBERS_TABLE).read_rows("member/")).unwrap()
    assert rows == (Row("member/a", "{}"),)


@with_store
async def test_member_row_is_written_and_deleted(stand_in, store):
    members = TableRows(store, MEMBERS_TABLE)
    assert (await members.commit((), (Row("member/a", "here"),))).is_ok()
    assert stand_in.keys("members") == ["member/a"]
    assert (await members.delete_row("member/a")).is_ok()
    assert stand_in.keys("members") == []


@with_store
async def test_deeply_nested_answer_is_a_failure(stand_in, store):
    """Guards against an answer that ends the reading task by an exception."""
    stand_in.fixed_answer = b"[" * 60_000
    read = await store.read("t")
    assert read.unwrap_err().kind is ErrorKind.PLATFORM_UNAVAILABLE


@with_store
async def test_transaction_with_an_outdated_row_version_writes_nothing(stand_in, store):
    """Guards against two daemons that both write a different state of a rollout."""
    stand_in.put("members", "rollout/ledger", b"1")
    (row,) = (await store.read("members", "rollout/")).unwrap().rows
    stand_in.put("members", "rollout/ledger", b"2")
    expected = {
        **row_name("members", "rollout/ledger"),
        "resource_version": row.version,
    }
    upsert = upsert_of("members", Row("rollout/ledger", "3"))
    assert (await store.transact([upsert], [], [expected])).unwrap() is False
    expected["resource_version"] = stand_in.version
    assert (await store.transact([upsert], [], [expected])).unwrap() is True
    assert stand_in.rows["members", "rollout/ledger"][0] == b"3"


@with_store
async def test_transaction_that_expects_no_row_fails_if_there_is_one(stand_in, store):
    """Guards against a state that overwrites the one of an earlier writer."""
    expected = {**row_name("members", "rollout/ledger"), "resource_version": 0}
    upsert = upsert_of("members", Row("rollout/ledger", "3"))
    assert (await store.transact([upsert], [], [expected])).unwrap() is True
    assert (await store.transact([upsert], [], [expected])).unwrap() is False
