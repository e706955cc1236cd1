"""Proofs that a version is the newest, and a model check of the bound they give."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pepperstair_core.freshness import (
    ASK_INTERVAL_MS,
    FreshnessProof,
    Proof,
    ProofQuestions,
    ReadProver,
    RowShown,
)

LIMIT_MS = 4000.0


def test_proof_holds_for_later_versions_and_not_for_earlier_ones():
    proof = FreshnessProof()
    assert proof.age_ms(7, 0.0) == math.inf
    proof.prove(7, 100.0)
    assert proof.age_ms(7, 150.0) == proof.age_ms(9, 150.0) == 50.0
    assert proof.age_ms(6, 150.0) == math.inf


def test_proof_of_a_version_not_in_force_yet_leaves_the_earlier_one():
    """Guards against refused keys while a new version is on its way."""
    proof = FreshnessProof()
    proof.prove(7, 100.0)
    assert proof.prove(8, 300.0)
    assert proof.age_ms(7, 400.0) == 300.0
    assert proof.age_ms(8, 400.0) == 100.0


@pytest.mark.parametrize("late", [Proof(7, 50.0), Proof(7, 100.0), Proof(8, 60.0)])
def test_late_proof_adds_nothing(late):
    proof = FreshnessProof()
    proof.prove(7, 100.0)
    assert not proof.prove(late.version, late.as_of_ms)
    assert proof.age_ms(8, 150.0) == 50.0


def test_number_of_proofs_is_bounded():
    proof = FreshnessProof()
    for version in range(100):
        proof.prove(version, float(version))
    assert proof.age_ms(99, 99.0) == 0.0
    assert proof.age_ms(90, 99.0) == math.inf


def test_watch_proves_the_state_at_its_start():
    """Guards against a proof as of the end of a watch, which a pause may have ended."""
    prover = ReadProver()
    prover.finish(prover.start(0.0, 0, None), 5, RowShown.IN_FORCE, 7)
    start = prover.start(100.0, 7, 5)
    assert prover.finish(start, 5, RowShown.NOTHING, 7) == Proof(7, 100.0)


def prover_of(version: int, position: int) -> ReadProver:
    """Return a prover that has read a version at a position."""
    prover = ReadProver()
    start = prover.start(0.0, 0, None)
    prover.finish(start, position, RowShown.IN_FORCE, version)
    return prover


def test_version_from_a_neighbour_during_a_read_is_proved_by_the_earlier_one():
    prover = prover_of(7, 5)
    start = prover.start(100.0, 7, 5)
    assert prover.finish(start, 6, RowShown.NOTHING, 8) == Proof(7, 100.0)


def test_read_from_a_neighbours_position_proves_nothing():
    """Guards against a neighbour that read on over a version that it rejected."""
    prover = prover_of(7, 5)
    start = prover.start(100.0, 7, 6)
    assert prover.finish(start, 6, RowShown.NOTHING, 7) is None
    assert prover.position == 5


@pytest.mark.parametrize("shown", [RowShown.OTHER, RowShown.NOTHING])
def test_table_without_the_version_in_force_proves_nothing(shown):
    """Guards against proofs from a table that lost a version or its row."""
    prover = prover_of(7, 5)
    assert prover.finish(prover.start(0.0, 7, None), 9, shown, 7) is None
    start = prover.start(100.0, 7, 9)
    assert prover.finish(start, 9, RowShown.NOTHING, 7) is None


def test_position_that_goes_back_proves_nothing_until_all_rows_are_read():
    prover = prover_of(7, 9)
    assert prover.finish(prover.start(0.0, 7, 9), 3, RowShown.NOTHING, 7) is None
    assert prover.position is None
    start = prover.start(100.0, 7, None)
    assert prover.finish(start, 3, RowShown.IN_FORCE, 7) == Proof(7, 100.0)
    assert prover.position == 3


@pytest.mark.parametrize(
    ("number", "is_superseded", "is_proved"),
    [(8, False, True), (8, True, False), (9, False, False), (None, False, False)],
)
def test_rejected_version_proves_the_one_before_it(number, is_superseded, is_proved):
    """Guards against refused keys after a faulty document that is in force nowhere."""
    prover = prover_of(7, 5)
    shown = RowShown.REJECTED
    start = prover.start(1.0, 7, 5)
    proof = prover.finish(start, 6, shown, 7, number, is_superseded)
    assert proof == (Proof(7, 1.0) if is_proved else None)
    start = prover.start(2.0, 7, 6)
    nothing = RowShown.NOTHING
    proof = prover.finish(start, 6, nothing, 7, number, is_superseded)
    assert proof == (Proof(7, 2.0) if is_proved else None)


def test_second_rejected_version_follows_the_first():
    prover = prover_of(7, 5)
    for number in (8, 9):
        start = prover.start(1.0, 7, None)
        proof = prover.finish(start, number, RowShown.REJECTED, 7, number)
        assert proof == Proof(7, 1.0)


def test_answer_counts_from_its_question_whenever_it_arrives():
    questions = ProofQuestions()
    number = questions.ask("vm-1", 1000.0)
    assert questions.read_answer("vm-1", number, 7, 30) == Proof(7, 970.0)
    assert questions.read_answer("vm-2", number, 7, 30) is None
    assert questions.read_answer("vm-1", number + 1, 7, 30) is None
    assert questions.read_answer("vm-1", number, 7, -1) is None


def test_questions_are_bounded_and_go_to_each_neighbour_in_turn():
    questions = ProofQuestions()
    asked = []
    for now_ms in range(0, 1000, 10):
        if questions.may_ask(now_ms):
            asked.append(questions.next_vm(["b", "c", "a"]))
            questions.ask(asked[-1], now_ms)
    assert asked == ["a", "b", "c", "a"][: int(1000 / ASK_INTERVAL_MS)]
    assert questions.next_vm([]) is None


@dataclass
class Daemon:
    """A daemon with its clock, its version in force and its proofs."""

    clock_offset_ms: float
    version: int = 0
    proof: FreshnessProof = field(default_factory=FreshnessProof)
    prover: ReadProver = field(default_factory=ReadProver)
    questions: ProofQuestions = field(default_factory=ProofQuestions)


NAMES = st.sampled_from(["a", "b", "c"])
INDEX = st.integers(0, 1_000)


class RevokedKey(RuleBasedStateMachine):
    """Daemons, a store and all orders of reads, answers, relays, pauses and cuts.

    A pause, a cut or a lost frame is an event that comes late or never. The first valid
    new version removes a key; versions may be faulty.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.daemons = {
            name: Daemon(offset_ms)
            for name, offset_ms in (("a", 0.0), ("b", 1e6), ("c", -5e5))
        }
        # Whether each version is valid; the position of a version is its number.
        self.is_valid = [True, True]
        for daemon in self.daemons.values():
            daemon.version = 1
            start = daemon.prover.start(self.clock_ms(daemon), 0, None)
            daemon.prover.finish(start, 1, RowShown.IN_FORCE, 1)
        self.removed_by = math.inf
        self.removed_ms = math.inf
        self.reads: list = []
        self.answered_reads: list = []
        self.asks: list = []
        self.answers: list = []
        self.copies: list = []

    def clock_ms(self, daemon: Daemon) -> float:
        return self.now_ms + daemon.clock_offset_ms

    @rule(ms=st.sampled_from([1.0, 50.0, 300.0, 900.0]))
    def wait(self, ms):
        self.now_ms += ms

    @rule(is_valid=st.booleans())
    def publish(self, is_valid):
        self.is_valid.append(is_valid)
        if is_valid and self.removed_by == math.inf:
            self.removed_by = len(self.is_valid) - 1
            self.removed_ms = self.now_ms

    @rule(name=NAMES, is_full=st.booleans())
    def start_read(self, name, is_full):
        daemon = self.daemons[name]
        position = None if is_full else daemon.prover.position
        start = daemon.prover.start(self.clock_ms(daemon), daemon.version, position)
        self.reads.append((name, start))

    @precondition(lambda self: self.reads)
    @rule(index=INDEX)
    def store_answers(self, index):
        name, start = self.reads.pop(index % len(self.reads))
        self.answered_reads.append((name, start, len(self.is_valid) - 1))

    @precondition(lambda self: self.answered_reads)
    @rule(index=INDEX, is_lost=st.booleans())
    def finish_read(self, index, is_lost):
        item = self.answered_reads.pop(index % len(self.answered_reads))
        if not is_lost:
            self._apply_read(*item)

    def _apply_read(self, name, start, newest):
        daemon = self.daemons[name]
        is_row_shown = start.position is None or newest > start.position
        if not newest or not is_row_shown:
            shown = RowShown.NOTHING
        elif not self.is_valid[newest]:
            shown = RowShown.REJECTED
        else:
            daemon.version = max(daemon.version, newest)
            is_in_force = daemon.version == newest
            shown = RowShown.IN_FORCE if is_in_force else RowShown.OTHER
        proof = daemon.prover.finish(start, newest, shown, daemon.version, newest)
        if proof is not None:
            daemon.proof.prove(proof.version, proof.as_of_ms)

    @rule(source=NAMES)
    def send_copy(self, source):
        self.copies.append(self.daemons[source].version)

    @precondition(lambda self: self.copies)
    @rule(name=NAMES, index=INDEX)
    def receive_copy(self, name, index):
        daemon = self.daemons[name]
        daemon.version = max(daemon.version, self.copies[index % len(self.copies)])

    @rule(name=NAMES, other=NAMES)
    def ask(self, name, other):
        daemon = self.daemons[name]
        number = daemon.questions.ask(other, self.clock_ms(daemon))
        self.asks.append((name, other, number))

    @precondition(lambda self: self.asks)
    @rule(index=INDEX)
    def answer(self, index):
        name, other, number = self.asks[index % len(self.asks)]
        daemon = self.daemons[other]
        proof = daemon.proof.newest(daemon.version)
        if proof is not None:
            age_ms = math.ceil(self.clock_ms(daemon) - proof.as_of_ms)
            self.answers.append((name, other, number, proof.version, age_ms))

    @precondition(lambda self: self.answers)
    @rule(index=INDEX, is_repeated=st.booleans())
    def receive_answer(self, index, is_repeated):
        index %= len(self.answers)
        answer = self.answers[index] if is_repeated else self.answers.pop(index)
        name, *rest = answer
        daemon = self.daemons[name]
        proof = daemon.questions.read_answer(*rest)
        if proof is not None:
            daemon.proof.prove(proof.version, proof.as_of_ms)

    @rule(name=NAMES, is_full=st.booleans())
    def read_at_once(self, name, is_full):
        self.start_read(name, is_full)
        self.store_answers(len(self.reads) - 1)
        self.finish_read(len(self.answered_reads) - 1, False)

    @rule(name=NAMES, other=NAMES)
    def ask_at_once(self, name, other):
        self.ask(name, other)
        n_before = len(self.answers)
        self.answer(len(self.asks) - 1)
        if len(self.answers) > n_before:
            self.receive_answer(n_before, False)

    @rule(name=NAMES)
    def restart(self, name):
        self.daemons[name] = Daemon(self.daemons[name].clock_offset_ms)
        self.reads = [item for item in self.reads if item[0] != name]
        self.answered_reads = [r for r in self.answered_reads if r[0] != name]
        self.asks = [item for item in self.asks if item[0] != name]
        self.answers = [item for item in self.answers if item[0] != name]

    @invariant()
    def removed_key_runs_nowhere_after_the_bound(self):
        for name, daemon in self.daemons.items():
            if not 0 < daemon.version < self.removed_by:
                continue
            # The key is served until the proof is `LIMIT_MS` old.
            age_ms = daemon.proof.age_ms(daemon.version, self.clock_ms(daemon))
            served_until_ms = self.now_ms - age_ms + LIMIT_MS
            assert served_until_ms <= self.removed_ms + LIMIT_MS, name


RevokedKey.TestCase.settings = settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
TestRevokedKey = RevokedKey.TestCase
