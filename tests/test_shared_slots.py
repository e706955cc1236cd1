"""Short calls beside long ones on the few slots of a target."""

from __future__ import annotations

from pathlib import Path

import pytest
from msgspec.structs import replace

from pepperstair_core.calls import Admission, Admitted, WaitingCall
from pepperstair_emulator import Fleet, Policy, apply_policy, parse_experiment_toml
from pepperstair_emulator.experiment import ConstantChange

EXPERIMENT = (
    Path(__file__).parent.parent / "emulator/experiments/short-beside-long.toml"
)
SHORT_MS = 20.0
LONG_MS = 200.0
NO_SHORT_CALLS = Policy("one", (ConstantChange("service_times.SHORT_SHARE", 0.0),))
NO_KEPT_SLOT = Policy("two", (ConstantChange("kept_slot.KEPT_SERVICE_TIMES", 0.0),))


def call(ticket, route, at_ms=0.0, priority="normal", deadline_ms=445.0):
    """Return a call whose deadline is counted from its arrival."""
    return WaitingCall(
        ticket, "a", priority, at_ms, at_ms + deadline_ms, 256, route=route
    )


def make_admission(n_slots: int) -> Admission:
    """Return an idle admission that has learnt the service times of both routes."""
    admission = Admission(n_slots)
    for _ in range(60):
        for route, service_ms in (("short", SHORT_MS), ("long", LONG_MS)):
            admission.arrive(call(0, route, -1e6), -1e6)
            admission.finish("a", "normal", service_ms, -1e6, route)
    return admission


def test_queue_of_short_calls_is_not_taken_for_a_queue_of_long_ones():
    """With one mean service time for both, the last look-ups would be refused.

    Fifteen look-ups of 20 ms need 100 ms on three slots, by the mean of both 550 ms.
    """
    admission = make_admission(3)
    for ticket in range(1, 4):
        admission.arrive(call(ticket, "long"), 0.0)
    verdicts = [admission.arrive(call(n, "short"), 0.0) for n in range(4, 19)]
    assert verdicts == [[]] * 15


def test_long_call_behind_long_ones_is_refused_at_once():
    """By the mean, it would wait and be refused when no other target has time left."""
    admission = make_admission(3)
    for ticket in range(1, 4):
        admission.arrive(call(ticket, "long"), 0.0)
    n_refused = sum(bool(admission.arrive(call(n, "long"), 0.0)) for n in range(4, 12))
    assert n_refused >= 4


def test_short_call_starts_before_long_ones_that_arrived_earlier():
    admission = make_admission(1)
    admission.arrive(call(1, "long"), 0.0)
    admission.arrive(call(2, "long", deadline_ms=9_000), 0.0)
    admission.arrive(call(3, "short"), 1.0)
    assert admission.finish("a", "normal", LONG_MS, 2.0, "long") == [Admitted(3)]


def test_slot_is_kept_for_one_service_time_after_a_short_call():
    """Long calls must neither hold every slot nor lose one that nobody uses."""
    admission = make_admission(2)
    assert admission.arrive(call(1, "short"), 0.0) == [Admitted(1)]
    admission.finish("a", "normal", SHORT_MS, 5.0, "short")
    assert admission.arrive(call(2, "long"), 5.0) == [Admitted(2)]
    assert admission.arrive(call(3, "long", deadline_ms=9_000), 6.0) == []
    due_ms = admission.next_expiry_ms
    assert due_ms == pytest.approx(SHORT_MS, rel=0.1)
    assert admission.arrive(call(4, "short", 7.0), 7.0) == [Admitted(4)]
    admission.finish("a", "normal", SHORT_MS, 15.0, "short")
    assert admission.expire(due_ms) == []
    assert admission.expire(admission.next_expiry_ms) == [Admitted(3)]


def test_urgent_long_call_takes_a_slot_kept_for_less_urgent_short_ones():
    admission = make_admission(2)
    admission.arrive(call(1, "short"), 0.0)
    admission.finish("a", "normal", SHORT_MS, 1.0, "short")
    admission.arrive(call(2, "long", priority="urgent"), 2.0)
    verdicts = admission.arrive(call(3, "long", priority="urgent"), 2.0)
    assert verdicts == [Admitted(3)]


def test_single_slot_is_not_kept():
    admission = make_admission(1)
    admission.arrive(call(1, "short"), 0.0)
    admission.finish("a", "normal", SHORT_MS, 1.0, "short")
    assert admission.arrive(call(2, "long"), 2.0) == [Admitted(2)]


def shares(load: float, policy: Policy) -> tuple[float, float]:
    """Return the shares of switching requests in time and failed for good."""
    experiment = parse_experiment_toml(EXPERIMENT.read_text(encoding="utf-8")).unwrap()
    experiment = replace(experiment, load=load, length_s=5.0)
    n_requests = n_in_time = n_failed = 0
    with apply_policy(policy):
        for seed in range(2):
            tally = Fleet(experiment, seed).run().routes["switch"]
            n_requests += tally.n_requests
            n_in_time += tally.n_in_time
            n_failed += tally.n_failed
    return n_in_time / n_requests, n_failed / n_requests


def test_look_ups_beside_downloads_do_not_fail_the_requests_that_wait_for_them():
    """Switching requests run once and need two look-ups each, at 1.2 times the load.

    A refused look-up fails a request for good that has run already.
    """
    in_time, failed = shares(1.2, Policy("product"))
    assert failed < 0.03
    assert failed < shares(1.2, NO_SHORT_CALLS)[1] / 3
    assert in_time > shares(1.2, NO_KEPT_SLOT)[0] + 0.02


def test_admission_that_is_not_shared_treats_all_calls_of_a_priority_alike():
    """Guards against changes for deployments without client accounts."""
    admission = make_admission(1)
    admission.is_shared = False
    admission.arrive(call(1, "long"), 0.0)
    admission.arrive(call(2, "long", deadline_ms=9_000), 0.0)
    admission.arrive(call(3, "short", deadline_ms=9_000), 1.0)
    assert admission.finish("a", "normal", None, 2.0, "long") == [Admitted(2)]
    mean_ms = (SHORT_MS + LONG_MS) / 2
    refused = admission.arrive(call(4, "short", 3.0, deadline_ms=mean_ms), 3.0)
    assert len(refused) == 1
