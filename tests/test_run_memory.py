"""Tests of the memory of calls, by which each non-idempotent call runs at most once."""

from __future__ import annotations

from pepperstair_core.calls.run_memory import (
    ANSWER_KEPT_MAX_BYTES,
    EVICTION_MARGIN_MS,
    CallKey,
    KeptAnswer,
    RunAdmission,
    RunMemory,
    RunState,
    Sender,
)

SENDER = Sender("vm-1", 7)
ANSWER = KeptAnswer(200, (), b"20 gold")


def key(call_id: int) -> CallKey:
    """Return the key of a call."""
    return CallKey(SENDER, call_id)


def test_answer_is_kept_until_it_is_released():
    memory = RunMemory(10)
    assert memory.begin(key(1), 1, 1000, 0) is RunAdmission.ACCEPTED
    assert memory.look_up(key(1), 1, 1).state is RunState.RUNNING
    memory.finish(key(1), ANSWER)
    assert memory.look_up(key(1), 1, 2).answer == ANSWER
    memory.release(key(1))
    assert memory.look_up(key(1), 1, 3).state is RunState.NOT_KEPT
    assert memory.n_kept_bytes == 0


def test_call_received_twice_runs_once():
    """A head is delivered twice; the second copy must not run an award again."""
    memory = RunMemory(10)
    memory.begin(key(1), 1, 1000, 0)
    assert memory.begin(key(1), 1, 1000, 1) is RunAdmission.REPEATED


def test_call_reported_as_never_run_does_not_run_from_an_earlier_stream():
    """The head arrives after the call was reported to its caller as not run."""
    memory = RunMemory(10)
    assert memory.look_up(key(1), 2, 0).state is RunState.NEVER_RUN
    assert memory.begin(key(1), 1, 1000, 1) is RunAdmission.REPEATED
    much_later_ms = 10 * EVICTION_MARGIN_MS
    assert memory.begin(key(1), 1, 1000, much_later_ms) is RunAdmission.REPEATED


def test_call_reported_as_never_run_may_be_sent_again_once():
    memory = RunMemory(10)
    memory.look_up(key(1), 2, 0)
    assert memory.begin(key(1), 2, 60_000, 1) is RunAdmission.ACCEPTED
    assert memory.begin(key(1), 2, 60_000, 2) is RunAdmission.REPEATED
    memory.finish(key(1), ANSWER)
    assert memory.look_up(key(1), 2, EVICTION_MARGIN_MS + 1).answer == ANSWER


def test_evicted_call_is_not_reported_as_never_run():
    """The caller's daemon was paused and looks up the call long after its deadline."""
    memory = RunMemory(10)
    memory.begin(key(1), 1, 1000, 0)
    memory.finish(key(1), ANSWER)
    later_ms = 1001 + EVICTION_MARGIN_MS
    assert memory.look_up(key(1), 1, later_ms).state is RunState.UNKNOWN
    assert memory.begin(key(1), 1, 1000, later_ms) is RunAdmission.REPEATED
    assert memory.begin(key(2), 1, 1000, later_ms) is RunAdmission.ACCEPTED


def test_running_call_is_never_evicted():
    memory = RunMemory(10)
    memory.begin(key(1), 1, 1, 0)
    assert memory.look_up(key(1), 1, 100 * EVICTION_MARGIN_MS).state is RunState.RUNNING


def test_full_memory_refuses_calls_instead_of_evicting_others():
    """In a flood of bookings, evicting old ones would let them run a second time."""
    memory = RunMemory(3)
    admitted = [memory.begin(key(call_id), 1, 1000, 0) for call_id in range(1, 5)]
    assert admitted == [RunAdmission.ACCEPTED] * 3 + [RunAdmission.FULL]
    assert memory.look_up(key(1), 1, 1).state is RunState.RUNNING
    assert memory.begin(key(4), 1, 1000, 2) is RunAdmission.FULL


def test_kept_answers_are_bounded_in_bytes():
    memory = RunMemory(100, kept_max_bytes=10)
    for call_id in (1, 2):
        memory.begin(key(call_id), 1, 1000, 0)
        memory.finish(key(call_id), ANSWER)
    assert memory.begin(key(3), 1, 1000, 0) is RunAdmission.FULL
    memory.release(key(1))
    assert memory.begin(key(3), 1, 1000, 0) is RunAdmission.ACCEPTED


def test_huge_answer_is_not_kept():
    memory = RunMemory(10)
    memory.begin(key(1), 1, 1000, 0)
    memory.finish(key(1), KeptAnswer(200, (), bytes(ANSWER_KEPT_MAX_BYTES + 1)))
    assert memory.look_up(key(1), 1, 1).state is RunState.NOT_KEPT


def test_other_process_of_the_same_vm_is_another_sender():
    memory = RunMemory(10)
    memory.begin(key(1), 1, 1000, 0)
    successor = CallKey(Sender("vm-1", 8), 1)
    assert memory.begin(successor, 1, 1000, 0) is RunAdmission.ACCEPTED
