"""Daemons that tell each other of crashes, against one that knows all at once."""

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
    """What was charged and cleared, in two plain sets of each request."""

    def __init__(self):
        self.charged = defaultdict(set)
        self.cleared = defaultdict(set)

    def take(self, record):
        self.charged[record.fingerprint] |= set(record.crash_ids)
        self.cleared[record.fingerprint] |= set(record.cleared_ids)

    def trust_level(self, fingerprint):
        n_crashes = len(self.charged[fingerprint] - self.cleared[fingerprint])
        if n_crashes >= N_CRASHES_MAX:
            return TrustLevel.QUARANTINED
        if n_crashes >= N_CRASHES_ISOLATED:
            return TrustLevel.SUSPECT
        return TrustLevel.TRUSTED


def tell(sender, receiver):
    """Let one daemon tell another all that it knows."""
    for record in sender.records():
        receiver.merge(record, 0)


def play(history):
    """Return the daemons after a history, and the naive fleet beside them."""
    fleet = [Quarantine() for _ in range(N_DAEMONS)]
    naive = NaiveFleet()
    for index, (kind, daemon, what) in enumerate(history):
        if kind == "crash":
            for record in fleet[daemon].record_crash(what, f"c{index}", 0):
                naive.take(record)
        elif kind == "answer":
            record = fleet[daemon].record_answer(what)
            if record is not None:
                naive.take(record)
        else:
            tell(fleet[daemon], fleet[what])
    return fleet, naive


@settings(max_examples=200, deadline=None, derandomize=True)
@given(histories)
def test_daemons_agree_with_one_that_knows_all_once_they_have_talked(history):
    """Guards against daemons that lose a crash, or keep one that was cleared."""
    fleet, naive = play(history)
    for _ in range(2):
        for sender in fleet:
            for receiver in fleet:
                tell(sender, receiver)
    for quarantine in fleet:
        found = [quarantine.trust_level(request, 0) for request in REQUESTS]
        assert found == [naive.trust_level(request) for request in REQUESTS]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(histories, st.lists(daemons, min_size=N_CRASHES_MAX, max_size=8))
def test_poison_is_found_whatever_happened_before(history, places):
    """Guards against a poison request that hides behind earlier crashes."""
    fleet, _ = play(history)
    for index, daemon in enumerate(places):
        fleet[daemon].record_crash([POISON], f"p{index}", 0)
        for receiver in fleet:
            tell(fleet[daemon], receiver)
    standings = {quarantine.trust_level(POISON, 0) for quarantine in fleet}
    assert standings == {TrustLevel.QUARANTINED}
