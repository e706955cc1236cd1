"""Counts of outcomes and their merging."""

from __future__ import annotations

import math

from msgspec.structs import replace

from pepperstair_core.rollout.evidence import EvidenceStore, Tally

from .records import ORDER, counts, evidence


def make_store(vm="vm-0"):
    return EvidenceStore(ORDER, vm, start_id=1)


def test_own_evidence_is_taken_once_per_change():
    store = make_store()
    assert store.take_own() is None
    store.record("read", True, True, 8.0)
    first = store.take_own()
    assert first.sequence == 1
    (of_route,) = first.counts
    assert (of_route.n_run, of_route.n_bad, of_route.n_timed) == (1, 1, 1)
    assert math.isclose(of_route.sum_log_ms, math.log(8.0))
    assert store.take_own() is None
    store.set_old_running(3)
    assert store.take_own().n_old_running == 3


def test_evidence_shown_to_a_new_neighbour_is_still_sent_to_the_others():
    """Guards against a change that only a new neighbour hears of."""
    store = make_store()
    store.record("read", True, False, 8.0)
    shown = store.all()
    assert store.take_own() == shown[0]


def test_evidence_of_an_earlier_sequence_is_ignored():
    store = make_store()
    assert store.merge(evidence("vm-1", counts(5), sequence=2))
    assert not store.merge(evidence("vm-1", counts(4), sequence=1))
    assert not store.merge(evidence("vm-1", counts(5), sequence=2))
    assert store.totals() == {("read", False): Tally(5)}


def test_processes_of_one_vm_add_up():
    """Guards against a restart that hides what the earlier process counted."""
    store = make_store()
    store.merge(evidence("vm-1", counts(5, 2), start_id=1, sequence=9))
    store.merge(evidence("vm-1", counts(3, 1), start_id=2, sequence=1))
    assert store.totals() == {("read", False): Tally(8, 3)}


def test_evidence_on_another_order_is_ignored():
    store = make_store()
    other = replace(ORDER, number=8)
    assert not store.merge(evidence("vm-1", counts(5), order=other))


def test_own_evidence_that_comes_back_is_ignored():
    """Guards against endless forwarding of a daemon's own evidence."""
    store = make_store()
    store.record("read", False, False, 8.0)
    assert not store.merge(replace(store.take_own(), sequence=5))


def test_increments_add_up_to_the_totals():
    store = make_store()
    store.merge(evidence("vm-1", counts(5, 1), sequence=1))
    store.merge(evidence("vm-1", counts(9, 2), sequence=2))
    increments = store.take_increments()
    assert [each.tally for each in increments] == [Tally(5, 1), Tally(4, 1)]
    assert store.take_increments() == []


def test_report_of_an_earlier_process_is_void():
    """Guards against completing while a restarted daemon accepts calls for old ones."""
    store = make_store()
    assert store.n_old_running("vm-1") is None
    store.merge(evidence("vm-1", start_id=1, n_old_running=0))
    assert store.n_old_running("vm-1") == 0
    store.merge(evidence("vm-1", start_id=2, n_old_running=-1))
    assert store.n_old_running("vm-1") is None
