"""Tests of admission at a target and of retry decisions."""

from __future__ import annotations

from random import Random

import pytest

from pepperstair_core.calls import (
    Admission,
    Admitted,
    Attempt,
    GiveUp,
    RefusalCause,
    Retry,
    TokenRetryBudget,
    WaitingCall,
    decide_retry,
)
from pepperstair_core.calls.fair_queue import FairQueue
from pepperstair_core.calls.retry import GiveUpCause
from pepperstair_core.errors import ErrorKind, Failure, RunStatus


def call(ticket, customer="a", priority="normal", deadline_ms=10_000, n_queued_max=2):
    """Return a call that arrives at 0."""
    return WaitingCall(ticket, customer, priority, 0.0, deadline_ms, n_queued_max)


def full_admission(*waiting: WaitingCall) -> Admission:
    """Return an admission whose only slot is taken, with some waiting calls."""
    admission = Admission(1)
    for item in (call(0), *waiting):
        admission.arrive(item, 0.0)
    return admission


def test_urgent_call_displaces_the_newest_of_the_least_urgent():
    """A booking arrives while the queue is full of archive browsing.

    The displaced call did not run and is refused at once.
    """
    waiting = [call(1, priority="deferrable"), call(2, priority="deferrable")]
    admission = full_admission(*waiting)
    (refused,) = admission.arrive(call(3, priority="urgent"), 0.0)
    assert (refused.ticket, refused.cause) == (2, RefusalCause.DISPLACED)
    assert refused.retry_after_ms > 0
    assert admission.finish("a", "normal", 10, 1.0) == [Admitted(3)]


def test_small_customer_gets_a_place_in_a_queue_that_a_large_one_filled():
    """One customer fills the whole queue; the first call of another one arrives."""
    admission = full_admission(call(1), call(2))
    (refused,) = admission.arrive(call(3, customer="b"), 0.0)
    assert (refused.ticket, refused.cause) == (2, RefusalCause.OVER_SHARE)
    (refused,) = admission.arrive(call(4), 0.0)
    assert (refused.ticket, refused.cause) == (4, RefusalCause.QUEUE_FULL)


def test_call_that_cannot_be_answered_in_time_is_refused_in_that_instant():
    """Guards against queueing a call whose deadline passes while it waits.

    It would be run for a caller that has given up.
    """
    admission = full_admission()
    (refused,) = admission.arrive(call(1, deadline_ms=15), 0.0)
    assert refused.cause is RefusalCause.TOO_LATE
    assert admission.arrive(call(2, deadline_ms=40), 0.0) == []
    assert admission.expire(admission.next_expiry_ms - 1) == []
    (refused,) = admission.expire(admission.next_expiry_ms)
    assert (refused.ticket, refused.cause) == (2, RefusalCause.TOO_LATE)
    assert admission.next_expiry_ms is None


def test_long_downloads_do_not_make_bookings_look_late():
    """A target serves large files and bookings in the same slots.

    With one service time estimate for both, every booking that has to wait would be
    refused as too late, although it takes almost no time itself.
    """
    admission = Admission(12)
    admission.n_in_flight = 112
    for _ in range(100):
        admission.finish("a", "deferrable", 3000, 0.0)
    booking = call(1, priority="urgent", deadline_ms=1000)
    assert admission.arrive(booking, 0.0) == []


def test_old_deferrable_call_runs_beside_urgent_ones():
    """Guards against starvation: urgent calls keep every slot busy for minutes.

    By priority alone, archive browsing would never run.
    """
    admission = full_admission(call(1, priority="deferrable", deadline_ms=1e9))
    admitted = []
    for ticket in range(2, 30):
        urgent = call(ticket, priority="urgent", deadline_ms=1e9)
        admission.arrive(urgent, 1000.0)
        admitted += admission.finish("a", "urgent", 10, 1000.0)
    assert [verdict.ticket for verdict in admitted].index(1) == 9


def test_drained_and_withdrawn_calls_leave_the_queue():
    admission = full_admission(call(1), call(2))
    admission.withdraw(1)
    (refused,) = admission.drain()
    assert (refused.ticket, refused.cause) == (2, RefusalCause.DRAINING)
    assert (admission.n_queued, admission.n_in_flight) == (0, 1)


def test_customer_with_long_calls_has_fewer_turns():
    """One customer's calls each take five times as long as another's."""
    queue = FairQueue()
    for ticket in range(60):
        queue.push(call(ticket, customer="long" if ticket % 2 else "short"))
    taken = []
    while len(taken) < 24:
        customer = queue.pop().customer
        taken.append(customer)
        queue.charge(customer, 4.0 if customer == "long" else 0.0)
    assert taken.count("short") == 5 * taken.count("long")


def attempt(kind, run=None, is_idempotent=False, n=1, left_ms=500, **more):
    """Return a failed attempt."""
    failure = Failure(kind, run=run)
    priority = more.pop("priority", "urgent")
    is_replayable = more.pop("replay", True)
    return Attempt(failure, priority, n, is_idempotent, is_replayable, left_ms, **more)


@pytest.mark.parametrize(
    ("failed", "cause"),
    [
        (attempt(ErrorKind.TARGET_FAILED), GiveUpCause.MAY_HAVE_RUN),
        (attempt(ErrorKind.DRAINING, RunStatus.UNKNOWN), GiveUpCause.MAY_HAVE_RUN),
        (
            attempt(ErrorKind.DRAINING, earlier_run=RunStatus.UNKNOWN),
            GiveUpCause.MAY_HAVE_RUN,
        ),
        (attempt(ErrorKind.BODY_TOO_LARGE), GiveUpCause.FINAL),
        (attempt(ErrorKind.TIMEOUT, is_idempotent=True), GiveUpCause.FINAL),
        (attempt(ErrorKind.DRAINING, replay=False), GiveUpCause.FINAL),
        (attempt(ErrorKind.DRAINING, n=3), GiveUpCause.ATTEMPTS),
        (attempt(ErrorKind.DRAINING, left_ms=0), GiveUpCause.DEADLINE),
        (attempt(ErrorKind.DRAINING), None),
        (attempt(ErrorKind.TARGET_FAILED, is_idempotent=True), None),
    ],
)
def test_only_calls_that_cannot_run_twice_are_retried(failed, cause):
    decision = decide_retry(failed, TokenRetryBudget(), Random(1))
    assert isinstance(decision, Retry) if cause is None else decision == GiveUp(cause)


def test_refusal_after_a_lost_answer_does_not_say_not_run():
    """The first attempt's answer is lost and the second attempt is refused.

    If only the last attempt counted, the answer would state `no` and the caller would
    repeat a request that may have run. The differential test of retries showed this
    fault.
    """
    failed = attempt(ErrorKind.OVERLOADED, earlier_run=RunStatus.UNKNOWN)
    assert failed.run_status is RunStatus.UNKNOWN


def test_budget_ends_retries_during_an_outage():
    budget, rng = TokenRetryBudget(), Random(2)
    decisions = []
    for _ in range(200):
        budget.add_call(10)
        decisions.append(decide_retry(attempt(ErrorKind.DRAINING), budget, rng))
    n_retries = sum(isinstance(decision, Retry) for decision in decisions)
    assert n_retries == 30
    budget = TokenRetryBudget()
    while budget.take("deferrable") or budget.take("normal"):
        pass
    assert budget.take("urgent")
    assert decisions[-2] == GiveUp(GiveUpCause.BUDGET)
