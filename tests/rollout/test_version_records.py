"""What ended orders have decided on the versions of services."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

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
    record_end,
    record_superseded,
)

STATE = RolloutState(RolloutOrder("s", "v2", 12_000, 5), Phase.CANARY, 0)

records_of_orders = st.lists(
    st.builds(
        VersionRecord,
        st.sampled_from([f"v{i}" for i in range(40)]),
        st.integers(0, 60),
        st.sampled_from(OrderEnd),
    ),
    max_size=80,
)


def merged(*batches):
    """Return the records after the batches were merged in their order."""
    records = VersionRecords()
    for batch in batches:
        records.merge("s", batch)
    return records.all("s")


@given(records_of_orders, records_of_orders)
def test_daemons_know_the_same_whatever_the_order_of_messages(first, second):
    """Guards against daemons that differ forever on which versions are held."""
    assert merged(first, second) == merged(second, first) == merged(first + second)


@given(records_of_orders)
def test_records_that_are_known_are_not_new(batch):
    """Guards against records that circulate in the fleet forever."""
    records = VersionRecords()
    records.merge("s", batch)
    assert not records.merge("s", batch)
    assert not records.merge("s", records.all("s"))


def test_records_of_a_service_are_bounded_and_the_latest_are_kept():
    """Guards against a row that grows with each order until it can't be written."""
    records = VersionRecords()
    for number in range(3 * N_RECORDS_MAX):
        record = VersionRecord(f"v{number}", number, OrderEnd.ROLLED_BACK)
        assert records.merge("s", [record])
    kept = [record.number for record in records.all("s")]
    assert kept == list(range(3 * N_RECORDS_MAX - 1, 2 * N_RECORDS_MAX - 1, -1))
    long = "x" * (N_TEXT_BYTES_MAX - 2)
    records.merge("s", [VersionRecord(long, 1000, OrderEnd.ROLLED_BACK)])
    n_bytes = sum(len(record.version) for record in records.all("s"))
    assert long in records.ends("s") and n_bytes <= N_TEXT_BYTES_MAX


@pytest.mark.parametrize("later", [OrderEnd.ROLLED_BACK, OrderEnd.COMPLETED])
def test_agreed_end_replaces_an_unknown_one_of_the_same_order(later):
    """Guards against a version that is barred as its end was heard of too late."""
    for ends in ((OrderEnd.REPLACED, later), (later, OrderEnd.REPLACED)):
        (record,) = merged([VersionRecord("v2", 5, end) for end in ends])
        assert record.end is later


def test_completed_order_takes_the_place_of_an_earlier_completed_one():
    """Guards against two versions in use after the targets of one were overlooked."""
    records = VersionRecords()
    records.merge(
        "s",
        [
            VersionRecord("v2", 5, OrderEnd.COMPLETED),
            VersionRecord("v3", 9, OrderEnd.COMPLETED),
        ],
    )
    assert records.ends("s") == {
        "v2": OrderEnd.SUPERSEDED,
        "v3": OrderEnd.COMPLETED,
    }


@pytest.mark.parametrize(
    ("phase", "end"),
    [
        (Phase.CANARY, OrderEnd.REPLACED),
        (Phase.PROMOTING, OrderEnd.REPLACED),
        (Phase.COMPLETED, OrderEnd.COMPLETED),
        (Phase.ROLLED_BACK, OrderEnd.ROLLED_BACK),
    ],
)
def test_end_of_an_order_follows_from_its_last_phase(phase, end):
    state = RolloutState(STATE.order, phase, 0)
    assert record_end(state) == VersionRecord("v2", 5, end)


def test_completed_order_supersedes_all_versions_but_its_own():
    superseded = list(record_superseded(STATE, ["v1", "v2"]))
    assert superseded == [VersionRecord("v1", 5, OrderEnd.SUPERSEDED)]
