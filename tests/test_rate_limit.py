"""The limit that a target sets on the rate of its calls."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pepperstair_core.calls import Admission, Admitted, RefusalCause, WaitingCall
from pepperstair_core.calls.rate_limit import (
    BURST_S,
    RATE_MIN_PER_S,
    STOPPED_MAX_S,
    RateLimiter,
)


def n_taken(limiter: RateLimiter, from_ms: int, to_ms: int, step_ms: int = 5) -> int:
    """Return how many calls are sent if one is waiting at every step."""
    n_calls = 0
    for now_ms in range(from_ms, to_ms, step_ms):
        if limiter.has_token(now_ms):
            limiter.take(now_ms)
            n_calls += 1
    return n_calls


def call_of(ticket: int, arrived_ms: float = 0) -> WaitingCall:
    return WaitingCall(ticket, "lantern", "normal", arrived_ms, arrived_ms + 5000, 8)


@pytest.mark.parametrize("rate_per_s", [0.5, 2, 31.4, 400])
def test_calls_of_any_four_seconds_keep_the_stated_rate(rate_per_s):
    limiter = RateLimiter()
    limiter.apply_statement(rate_per_s, 0, 0)
    burst = max(1, rate_per_s * BURST_S)
    for start_ms in range(0, 20_000, 4000):
        n_calls = n_taken(limiter, start_ms, start_ms + 4000, 1)
        assert n_calls <= 4 * rate_per_s + burst
        assert n_calls >= 4 * rate_per_s - burst - 1


def test_calls_just_before_a_new_limit_are_charged_to_it():
    """Guards against a further burst to a target that has just asked for relief."""
    limiter = RateLimiter()
    for now_ms in range(0, 1000, 10):
        limiter.take(now_ms)
    limiter.apply_statement(30, 990, 1000)
    assert n_taken(limiter, 1000, 3000) == 0
    assert n_taken(limiter, 3000, 5000) in range(40, 62)


def test_charge_of_earlier_calls_ends():
    """Guards against a target that gets no calls for as long as its limit is low."""
    limiter = RateLimiter()
    for now_ms in range(1000):
        limiter.take(now_ms)
    limiter.apply_statement(2, 990, 1000)
    stopped_ms = 1000 + int(STOPPED_MAX_S * 1000)
    assert n_taken(limiter, 1000, stopped_ms) == 0
    assert n_taken(limiter, stopped_ms, stopped_ms + 2000) in range(3, 6)


def test_lowered_limit_applies_at_once_and_a_raised_one_too():
    limiter = RateLimiter()
    limiter.apply_statement(40, 0, 0)
    n_taken(limiter, 0, 2000)
    limiter.apply_statement(10, 2000, 2000)
    assert n_taken(limiter, 2000, 6000) <= 10 * 4
    limiter.apply_statement(40, 6000, 6000)
    assert n_taken(limiter, 6000, 8000) in range(75, 102)


def test_only_an_answer_to_a_later_request_ends_a_limit():
    """Guards against an answer from before the limit that arrives after it."""
    limiter = RateLimiter()
    limiter.apply_statement(5, 100, 200)
    limiter.apply_statement(None, 150, 210)
    assert limiter.rate_per_s == 5
    limiter.apply_statement(None, 201, 300)
    assert limiter.rate_per_s is None and limiter.has_token(300)


def test_limit_known_from_another_daemon_holds_until_the_target_answers():
    """Guards against a burst after a restart, and against a limit that has ended."""
    limiter = RateLimiter()
    limiter.suggest(4, 0)
    assert n_taken(limiter, 0, 2000) <= 4 * 2 + 2
    limiter.apply_statement(None, 1500, 2000)
    limiter.suggest(4, 2100)
    assert limiter.rate_per_s is None


def test_target_that_accepts_no_calls_still_gets_one_from_time_to_time():
    """Guards against a limit of zero whose end nobody would notice."""
    limiter = RateLimiter()
    limiter.apply_statement(0, 0, 0)
    assert n_taken(limiter, 0, 8000) in range(3, 6)
    assert limiter.rate_per_s == RATE_MIN_PER_S


def test_call_that_was_not_sent_returns_its_token():
    limiter = RateLimiter()
    limiter.apply_statement(2, 0, 0)
    limiter.take(0)
    assert not limiter.has_token(0)
    limiter.refund()
    assert limiter.has_token(0)


def test_refused_callers_get_turns_one_after_another():
    """Guards against callers that all come back for the same call."""
    limiter = RateLimiter()
    limiter.apply_statement(10, 0, 0)
    while limiter.has_token(0):
        limiter.take(0)
    turns_ms = [limiter.retry_after_ms(0) for _ in range(4)]
    assert turns_ms == [100, 200, 300, 400]
    assert max(limiter.retry_after_ms(0) for _ in range(50)) == 1000


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["call", "call", "call", "state", "end"]),
            st.integers(0, 400),
            st.integers(0, 60),
        ),
        max_size=200,
    )
)
def test_rate_is_kept_under_any_order_of_calls_and_statements(steps):
    """Compares every span under one unchanged limit with the plain sum."""
    limiter = RateLimiter()
    now_ms, since_ms, sent = 0, 0, []
    for kind, wait_ms, rate_per_s in steps:
        now_ms += wait_ms
        if kind == "call" and limiter.has_token(now_ms):
            limiter.take(now_ms)
            sent.append(now_ms)
        elif kind != "call":
            before = limiter.rate_per_s
            limiter.apply_statement(
                rate_per_s if kind == "state" else None, now_ms, now_ms
            )
            if limiter.rate_per_s != before:
                since_ms, sent = now_ms, []
        rate = limiter.rate_per_s
        if rate is not None:
            allowed = rate * (now_ms - since_ms) / 1000 + max(1.0, rate * BURST_S)
            # A raised limit keeps the larger burst of none, never more.
            assert len(sent) <= allowed + 1


def test_admission_refuses_a_call_over_the_limit_with_a_time_to_come_back():
    admission = Admission(n_slots=4)
    assert admission.limit_rate(1, 0, 0) == []
    assert admission.arrive(call_of(1), 0) == [Admitted(1)]
    (refused,) = admission.arrive(call_of(2), 0)
    assert refused.cause is RefusalCause.RATE_LIMIT
    assert refused.retry_after_ms == 1000
    assert admission.arrive(call_of(3, 1000), 1000) == [Admitted(3)]


def test_waiting_calls_are_refused_as_soon_as_a_limit_lets_none_start():
    """Guards against calls that wait for a slot which the limit then denies them."""
    admission = Admission(n_slots=1)
    admission.arrive(call_of(1), 0)
    assert admission.arrive(call_of(2), 0) == []
    assert admission.arrive(call_of(3), 0) == []
    verdicts = admission.limit_rate(0.5, 0, 10)
    assert [verdict.ticket for verdict in verdicts] == [2, 3]
    assert {verdict.cause for verdict in verdicts} == {RefusalCause.RATE_LIMIT}
    assert admission.n_queued == 0


def test_freed_slot_admits_no_call_over_the_limit():
    admission = Admission(n_slots=1)
    admission.limit_rate(2, 0, 0)
    admission.arrive(call_of(1), 0)
    assert admission.arrive(call_of(2, 600), 600) == []
    assert admission.finish("lantern", "normal", 50, 600) == [Admitted(2)]
    (refused,) = admission.arrive(call_of(3, 610), 610)
    assert refused.cause is RefusalCause.RATE_LIMIT
