"""Ids of crashes and the times that they state."""

from __future__ import annotations

import pytest

from pepperstair_core.calls.crash_ids import (
    crash_time_ms,
    is_crash_seen_by,
    make_crash_id,
)


def test_time_of_a_crash_is_read_from_its_id():
    crash_id = make_crash_id("vm-1", 1_767_225_600_000, 4, 2_500)
    assert crash_time_ms(crash_id) == 1_767_225_602_500


def test_crash_is_seen_by_one_process_of_one_daemon():
    crash_id = make_crash_id("vm-1", 70, 1, 5)
    assert is_crash_seen_by(crash_id, "vm-1", 70)
    assert not is_crash_seen_by(crash_id, "vm-1", 7)
    assert not is_crash_seen_by(crash_id, "vm-11", 70)


@pytest.mark.parametrize(
    "crash_id", ["", "vm-2/1/1", "vm-3/1/x/y", "vm-5/1/1/" + "9" * 5_000, "a/-1/1/1"]
)
def test_id_without_a_valid_time_has_none(crash_id):
    """Guards against records of another release that end the task which reads them."""
    assert crash_time_ms(crash_id) is None
