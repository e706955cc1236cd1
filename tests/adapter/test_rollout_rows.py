"""Tests of the rows of rollouts, against a stand-in of the store."""

from __future__ import annotations

import asyncio
import json
import time

import pytest
from structlog.testing import capture_logs

from pepperstair_adapter.rollout_rows import StoreRollouts
from pepperstair_core.errors import ErrorKind
from pepperstair_core.events import Event
from pepperstair_core.rollout import (
    OrderEnd,
    Phase,
    RolloutOrder,
    RolloutState,
    VersionRecord,
)
from pepperstair_core.rollout.version_records import (
    N_RECORDS_MAX,
    N_TEXT_BYTES_MAX,
    VersionRecords,
)
from pepperstair_platform import WatchedRow
from pepperstaird.rollout_rows import OrderRow
from tests.adapter.test_store import with_store

ORDER = RolloutOrder("ledger", "v2", 12_000, 5)
# Size of the largest value that the store takes, in base64.
ROW_BYTES = 65_536


def read_row(value, key="rollout/ledger"):
    """Return the orders in one row of the operators' table."""
    row = WatchedRow(key, value, 5)
    return list(StoreRollouts(None).read_orders([row]))


async def read_age_ms(rows):
    """Return the age of the only agreed order, None if there is none."""
    stored = (await rows.read()).unwrap()
    return stored[0].state.age_ms if stored else None


def test_order_is_read_with_the_position_of_its_row():
    value = b'{"service": "ledger", "target": "v2", "duration_s": 12}'
    assert read_row(value) == [OrderRow("ledger", ORDER, 5)]


def test_removed_row_withdraws_the_order():
    assert read_row(None) == [OrderRow("ledger", None, 5)]


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{",
        b"\xff",
        b"[]",
        b"7",
        b"[" * 60_000,
        b"{}",
        b'{"service": "ledger", "target": "v2"}',
        b'{"service": "vault", "target": "v2", "duration_s": 12}',
        b'{"service": "ledger", "target": "", "duration_s": 12}',
        b'{"service": "ledger", "target": 2, "duration_s": 12}',
        b'{"service": "ledger", "target": "v2", "duration_s": "12"}',
        b'{"service": "ledger", "target": "v2", "duration_s": true}',
        b'{"service": "ledger", "target": "v2", "duration_s": 0}',
        b'{"service": "ledger", "target": "v2", "duration_s": -1}',
        b'{"service": "ledger", "target": "v2", "duration_s": NaN}',
        b'{"service": "ledger", "target": "v2", "duration_s": 1e400}',
    ],
)
def test_order_that_cannot_be_read_is_ignored_and_logged(value):
    """Guards against a row that ends the task which reads the configuration."""
    with capture_logs() as lines:
        assert read_row(value) == []
    assert [line["event"] for line in lines] == [Event.ROW_IGNORED]


def test_rows_of_other_kinds_are_not_orders():
    assert read_row(b"{}", key="other") == []


@with_store
async def test_state_and_answer_are_written_together_on_the_expected_row(
    stand_in, store
):
    """Guards against an answer to the operator that differs from the agreed state."""
    rows = StoreRollouts(store)
    await rows.read()
    assert (await rows.write(RolloutState(ORDER, Phase.CANARY, 0), 0)).unwrap() is True
    answer, _ = stand_in.rows["status", "rollout/ledger"]
    expected = {"service": "ledger", "target": "v2", "state": "in_service"}
    assert json.loads(answer) == expected
    completed = RolloutState(ORDER, Phase.COMPLETED, 0)
    assert (await rows.write(completed, 0)).unwrap() is False
    assert json.loads(stand_in.rows["status", "rollout/ledger"][0]) == expected
    (stored,) = (await rows.read()).unwrap()
    assert (await rows.write(completed, stored.row_version)).unwrap() is True
    answer, _ = stand_in.rows["status", "rollout/ledger"]
    assert json.loads(answer)["state"] == "completed"


@with_store
async def test_age_of_an_order_grows_while_no_daemon_runs(stand_in, store):
    """Guards against an order whose clock restarts when all daemons are killed."""
    rows = StoreRollouts(store)
    await read_age_ms(rows)
    await rows.write(RolloutState(ORDER, Phase.CANARY, 2_000), 0)
    stand_in.advance_ms += 3_000
    assert 5_000 <= await read_age_ms(rows) < 15_000
    stand_in.advance_ms -= 60_000
    assert await read_age_ms(rows) == 0


@pytest.mark.parametrize("step_s", [-5, 5])
@pytest.mark.parametrize("is_writer", [True, False])
def test_age_of_an_order_ignores_steps_of_wall_clocks(step_s, is_writer, monkeypatch):
    """Guards against a promotion or rollback some seconds too early or late."""
    wall_ns = time.time_ns

    def step():
        monkeypatch.setattr(time, "time_ns", lambda: wall_ns() + step_s * 10**9)

    @with_store
    async def write_and_read(stand_in, store):
        rows = StoreRollouts(store)
        await read_age_ms(rows)
        if is_writer:
            step()
        await rows.write(RolloutState(ORDER, Phase.CANARY, 6_000), 0)
        step()
        if is_writer:
            monkeypatch.setattr(time, "time_ns", wall_ns)
        assert 6_000 <= await read_age_ms(rows) < 11_000

    write_and_read()


@with_store
async def test_states_are_not_read_or_written_without_the_time_of_the_store(
    stand_in, store
):
    """Guards against an order's age that is made up."""
    stand_in.advance_ms = None
    rows = StoreRollouts(store)
    assert (await rows.read()).is_err()
    assert (await rows.write(RolloutState(ORDER, Phase.CANARY, 0), 0)).is_err()
    assert stand_in.keys("members") == []


@with_store
async def test_start_of_a_daemon_reads_its_table_once(stand_in, store):
    """Guards against a second billed read for each start of a daemon."""
    rows = StoreRollouts(store)
    await rows.read()
    await rows.write(RolloutState(ORDER, Phase.PROMOTING, 0), 0)
    stand_in.put("members", "member/a", b"{}")
    stand_in.n_reads = 0
    members, states = await asyncio.gather(
        store.daemon_rows.read_rows("member/"), rows.read_at_start()
    )
    assert stand_in.n_reads == 1
    assert [row.key for row in members.unwrap()] == ["member/a"]
    (stored,) = states.unwrap()
    assert stored.state.phase is Phase.PROMOTING
    written = await rows.write(
        RolloutState(ORDER, Phase.COMPLETED, 0), stored.row_version
    )
    assert written.unwrap() is True


@with_store
async def test_withdrawal_has_no_answer(stand_in, store):
    rows = StoreRollouts(store)
    await rows.read()
    withdrawn = RolloutState(ORDER, Phase.ROLLED_BACK, 0)
    assert (await rows.write(withdrawn, 0, is_withdrawn=True)).unwrap() is True
    assert stand_in.keys("status") == []
    assert stand_in.keys("members") == ["rollout/ledger"]


@with_store
async def test_stored_states_that_cannot_be_read_are_skipped(stand_in, store):
    """Guards against a start that fails on a row of another release."""
    values = (b"{", b"[]", b'{"target": "v2"}', b'{"target":"v2","phase":9}')
    for index, value in enumerate(values):
        stand_in.put("members", f"rollout/s{index}", value)
    rows = StoreRollouts(store)
    await rows.read()
    await rows.write(RolloutState(ORDER, Phase.PROMOTING, 0), 0)
    (stored,) = (await rows.read()).unwrap()
    assert stored.state.phase is Phase.PROMOTING


@with_store
async def test_lost_answer_of_a_write_is_a_failure(stand_in, store):
    """Guards against a write that counts as done, or as not done, without proof."""
    rows = StoreRollouts(store)
    await rows.read()
    stand_in.is_losing_answers = True
    written = await rows.write(RolloutState(ORDER, Phase.CANARY, 0), 0)
    assert written.unwrap_err().kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN
    assert stand_in.keys("members") == ["rollout/ledger"]


@with_store
async def test_ends_of_earlier_orders_are_kept_in_the_row_of_the_next(stand_in, store):
    """Guards against a rolled-back version that no row names after the next order."""
    rows = StoreRollouts(store)
    await rows.read()
    records = (
        VersionRecord("v3", 4, OrderEnd.ROLLED_BACK),
        VersionRecord("v1", 2, OrderEnd.SUPERSEDED),
    )
    await rows.write(RolloutState(ORDER, Phase.CANARY, 0, records), 0)
    (stored,) = (await rows.read()).unwrap()
    assert stored.state.records == records


@with_store
async def test_largest_row_of_a_rollout_fits_the_store(stand_in, store):
    """Guards against an order that can't end as its row is refused for its size."""
    text = "é" * (N_TEXT_BYTES_MAX // N_RECORDS_MAX // 2)
    names = (f"{index:02d}{text[1:]}" for index in range(2 * N_RECORDS_MAX))
    records = VersionRecords()
    ends = [VersionRecord(name, 2**53, OrderEnd.ROLLED_BACK) for name in names]
    records.merge("ledger", ends)
    assert len(records.all("ledger")) == N_RECORDS_MAX
    rows = StoreRollouts(store)
    await rows.read()
    state = RolloutState(ORDER, Phase.CANARY, 0, records.all("ledger"))
    assert (await rows.write(state, 0)).unwrap() is True
    value, _ = stand_in.rows["members", "rollout/ledger"]
    assert len(value) <= ROW_BYTES / 2
    (stored,) = (await rows.read()).unwrap()
    assert stored.state.records == state.records


@with_store
async def test_row_of_an_older_release_has_no_records(stand_in, store):
    """Guards against a start that forgets an order after an update of the daemons."""
    rows = StoreRollouts(store)
    await rows.read()
    await rows.write(RolloutState(ORDER, Phase.PROMOTING, 0), 0)
    value, _ = stand_in.rows["members", "rollout/ledger"]
    content = json.loads(value)
    del content["records"]
    stand_in.put("members", "rollout/ledger", json.dumps(content).encode())
    (stored,) = (await rows.read()).unwrap()
    assert stored.state.phase is Phase.PROMOTING
    assert stored.state.records == ()
