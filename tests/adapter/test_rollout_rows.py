"""Tests of the rows of rollouts, against a stand-in of the store."""

from __future__ import annotations

import json

import pytest
from structlog.testing import capture_logs

from pepperstair_adapter.rollout_rows import StoreRollouts
from pepperstair_core.errors import ErrorKind
from pepperstair_core.events import Event
from pepperstair_core.rollout import Phase, RolloutOrder, RolloutState
from pepperstair_platform import WatchedRow
from pepperstaird.rollout_rows import OrderRow
from tests.adapter.test_store import with_store

ORDER = RolloutOrder("ledger", "v2", 12_000, 5)


class Clock:
    """The Unix time, in steps that a test decides."""

    def __init__(self):
        self.now_ms = 1_700_000_000_000

    def __call__(self):
        return self.now_ms


def read_row(value, key="rollout/ledger"):
    """Return the orders in one row of the operators' table."""
    row = WatchedRow(key, value, 5)
    return list(StoreRollouts(None, Clock()).read_orders([row]))


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
    rows = StoreRollouts(store, Clock())
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
    clock = Clock()
    rows = StoreRollouts(store, clock)
    await rows.write(RolloutState(ORDER, Phase.CANARY, 2_000), 0)
    clock.now_ms += 3_000
    (stored,) = (await rows.read()).unwrap()
    assert stored.state == RolloutState(ORDER, Phase.CANARY, 5_000)
    clock.now_ms -= 60_000
    (stored,) = (await rows.read()).unwrap()
    assert stored.state.age_ms == 0


@with_store
async def test_withdrawal_has_no_answer(stand_in, store):
    rows = StoreRollouts(store, Clock())
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
    rows = StoreRollouts(store, Clock())
    await rows.write(RolloutState(ORDER, Phase.PROMOTING, 0), 0)
    (stored,) = (await rows.read()).unwrap()
    assert stored.state.phase is Phase.PROMOTING


@with_store
async def test_lost_answer_of_a_write_is_a_failure(stand_in, store):
    """Guards against a write that counts as done, or as not done, without proof."""
    stand_in.is_losing_answers = True
    rows = StoreRollouts(store, Clock())
    written = await rows.write(RolloutState(ORDER, Phase.CANARY, 0), 0)
    assert written.unwrap_err().kind is ErrorKind.CHANGE_OUTCOME_UNKNOWN
    assert stand_in.keys("members") == ["rollout/ledger"]
