"""Differential test of daemons that exchange crash records and a global model."""

from __future__ import annotations

from collections import defaultdict

from hypothesis import given, settings
from hypothesis import strategies as st

from pepperstair_core.calls.quarantine import (
    N_CRASHES_ISOLATED,
    N_CRASHES_MAX,
    Quarantine,
    TrustLevel,
)

N_DAEMONS = 4
POISON = b"poison"
OTHERS = [b"%d" % index for index in range(6)]
REQUESTS = [POISON, *OTHERS]

daemons = st.integers(0, N_DAEMONS - 1)
crashes = st.tuples(
    st.just("crash"), daemons, st.sets(st.sampled_from(REQUESTS), max_size=4)
)
answers = st.tuples(st.just("answer"), daemons, st.sampled_from(OTHERS))
messages = st.tuples(st.just("tell"), daemons, daemons)
histories = st.lists(st.one_of(crashes, answers, messages), max_size=40)


class NaiveFleet:
    """A global model: the charged and the cleared crashes of each request."""

    def __init__(self):
        self.charged = defaultdict(set)
        self.cleared = defaultdict(set)

    def add_record(self, record):
        self.charged[record.fingerprint] |= set(record.crash_ids)
        self.cleared[record.fingerprint] |= set(record.cleared_ids)

    def trust_level(self, fingerprint):
        n_crashes = len(self.charged[fingerprint] - self.cleared[fingerprint])
        if n_crashes >= N_CRASHES_MAX:
            return TrustLevel.QUARANTINED
        if n_crashes >= N_CRASHES_ISOLATED:
            return TrustLevel.SUSPECT
        return TrustLevel.TRUSTED


def send_records(sender, receiver):
    """Merge all records of one daemon into another."""
    for record in sender.records():
        receiver.merge(record, 0)


def simulate(history):
    """Return the daemons and the naive model after a history."""
    fleet = [Quarantine() for _ in range(N_DAEMONS)]
    naive = NaiveFleet()
    for index, (kind, daemon, argument) in enumerate(history):
        if kind == "crash":
            for record in fleet[daemon].record_crash(argument, f"c{index}", 0):
                naive.add_record(record)
        elif kind == "answer":
            record = fleet[daemon].record_answer(argument)
            if record is not None:
                naive.add_record(record)
        else:
            send_records(fleet[daemon], fleet[argument])
    return fleet, naive


@settings(max_examples=200, deadline=None, derandomize=True)
@given(histories)
def test_daemons_agree_after_they_have_exchanged_all_records(history):
    """Guards against daemons that lose a crash or keep one that was cleared."""
    fleet, naive = simulate(history)
    for _ in range(2):
        for sender in fleet:
            for receiver in fleet:
                send_records(sender, receiver)
    for quarantine in fleet:
        trust_levels = [quarantine.trust_level(request, 0) for request in REQUESTS]
        assert trust_levels == [naive.trust_level(request) for request in REQUESTS]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(histories, st.lists(daemons, min_size=N_CRASHES_MAX, max_size=8))
def test_poison_request_is_found_after_any_history(history, places):
    """Guards against a poison request that is hidden by earlier crashes."""
    fleet, _ = simulate(history)
    for index, daemon in enumerate(places):
        fleet[daemon].record_crash([POISON], f"p{index}", 0)
        for receiver in fleet:
            send_records(fleet[daemon], receiver)
    trust_levels = {quarantine.trust_level(POISON, 0) for quarantine in fleet}
    assert trust_levels == {TrustLevel.QUARANTINED}
