"""Model check: daemons that exchange evidence and phases, and a row that they write.

Messages are lost, repeated and reordered, and processes restart.
"""

from __future__ import annotations

from collections import Counter, defaultdict

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from pepperstair_core.rollout import (
    Evidence,
    ExposureBudget,
    Phase,
    Rollout,
    RolloutFleet,
    exposure_offset,
)

from .records import ORDER, PROMOTION_MS, TERMS

N_VMS = 4
N_RESTARTS_MAX = 2
VMS = [f"vm-{i}" for i in range(N_VMS)]
WITH_OLD = VMS[:2]
FLEET = RolloutFleet(frozenset(WITH_OLD), n_old_slots=6, n_new_slots=6)

OPEN = [Phase.CANARY, Phase.PROMOTING]

vms = st.sampled_from(VMS)
indices = st.integers(0, 10_000)


class Process:
    """One process of a daemon, with what a naive observer has seen of it."""

    def __init__(self, vm: str, start_id: int, now_ms: float) -> None:
        self.rollout = Rollout(ORDER, int(now_ms), now_ms, TERMS, vm, start_id)
        offset = exposure_offset(ORDER, vm, start_id)
        self.budget = ExposureBudget(TERMS, offset)
        self.vm, self.start_id = vm, start_id
        self.counts: Counter = Counter()
        self.received: dict[tuple[str, int], Evidence] = {}
        self.phases: list[Phase] = [Phase.CANARY]


class RolloutMachine(RuleBasedStateMachine):
    """Any history of a fleet during one order."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.row = Phase.CANARY
        self.start_ids = Counter(VMS)
        self.processes = {vm: Process(vm, 1, 0.0) for vm in VMS}
        self.messages: list[tuple[str, Evidence | Phase]] = []
        self.sent: dict[tuple[str, int, int], Counter] = {}
        self.n_restarts = 0
        self.n_requests = 0
        self.n_exposed = 0

    @initialize(
        ordered_ms=st.sampled_from([0, PROMOTION_MS]), row=st.sampled_from(OPEN)
    )
    def order(self, ordered_ms, row):
        self.now_ms = float(ordered_ms)
        self.row = row
        for process in self.processes.values():
            self.adopt(process, row)

    def flood(self, sender: str, message: Evidence | Phase) -> None:
        self.messages += [(vm, message) for vm in VMS if vm != sender]

    def note_sent(self, process: Process, evidence: Evidence) -> None:
        key = (evidence.vm, evidence.start_id, evidence.sequence)
        self.sent[key] = Counter(process.counts)

    def adopt(self, process: Process, phase: Phase) -> bool:
        is_new = process.rollout.merge_phase(phase)
        process.phases.append(process.rollout.phase)
        return is_new

    @rule(vm=vms, is_new=st.booleans(), is_bad=st.booleans(), n=st.integers(1, 30))
    def run_requests(self, vm, is_new, is_bad, n):
        process = self.processes[vm]
        for _ in range(n):
            process.rollout.record("read", is_new, is_bad, 8.0, False)
        process.counts[(is_new, "run")] += n
        process.counts[(is_new, "bad")] += n * is_bad

    @rule(vm=vms, n=st.integers(1, 60), n_members=st.integers(1, N_VMS))
    def call(self, vm, n, n_members):
        """A caller may see only part of the fleet, but has seen all of it before."""
        budget = self.processes[vm].budget
        budget.take(N_VMS) and self.expose()
        for _ in range(n):
            budget.count()
            self.n_requests += 1
            if budget.take(n_members):
                self.expose()

    def expose(self):
        self.n_exposed += 1

    @rule(vm=vms)
    def send_own_evidence(self, vm):
        process = self.processes[vm]
        evidence = process.rollout.own_evidence()
        if evidence is not None:
            self.note_sent(process, evidence)
            self.flood(vm, evidence)

    @rule(sender=vms, receiver=vms)
    def greet_neighbour(self, sender, receiver):
        process = self.processes[sender]
        for evidence in process.rollout.all_evidence():
            if (evidence.vm, evidence.start_id) == (sender, process.start_id):
                self.note_sent(process, evidence)
            self.messages.append((receiver, evidence))
        self.messages.append((receiver, process.rollout.phase))

    @precondition(lambda self: self.messages)
    @rule(index=indices, is_repeated=st.booleans())
    def deliver(self, index, is_repeated):
        index %= len(self.messages)
        vm, message = self.messages[index]
        if not is_repeated:
            del self.messages[index]
        process = self.processes[vm]
        if isinstance(message, Phase):
            if self.adopt(process, message):
                self.flood(vm, message)
            return
        sender = (message.vm, message.start_id)
        known = process.received.get(sender)
        is_expected = sender != (vm, process.start_id) and (
            known is None or known.sequence < message.sequence
        )
        assert process.rollout.merge(message) is is_expected
        if is_expected:
            process.received[sender] = message
            self.flood(vm, message)

    @precondition(lambda self: self.messages)
    @rule()
    def deliver_all(self):
        for _ in range(len(self.messages)):
            self.deliver(index=0, is_repeated=False)

    @precondition(lambda self: self.messages)
    @rule()
    def deliver_latest_first(self):
        for _ in range(len(self.messages)):
            self.deliver(index=len(self.messages) - 1, is_repeated=False)

    @rule(ms=st.sampled_from([50, 250, 1_000]), cut_off=st.sets(vms, max_size=2))
    def exchange(self, ms, cut_off):
        """All daemons but those that are cut off exchange what they know."""
        self.now_ms += ms
        connected = [vm for vm in VMS if vm not in cut_off]
        for vm in connected:
            self.step(vm)
            self.send_own_evidence(vm)
        for message in [each for each in self.messages if each[0] in connected]:
            if message in self.messages:
                self.deliver(self.messages.index(message), is_repeated=False)

    @precondition(lambda self: self.messages)
    @rule(index=indices)
    def lose(self, index):
        del self.messages[index % len(self.messages)]

    @rule(ms=st.sampled_from([50, 250, 1_000]))
    def advance(self, ms):
        self.now_ms += ms

    @precondition(lambda self: self.n_restarts < N_RESTARTS_MAX)
    @rule(vm=vms)
    def restart(self, vm):
        """A process starts with the row, and runs a request of an old target."""
        self.n_restarts += 1
        self.start_ids[vm] += 1
        process = Process(vm, self.start_ids[vm], self.now_ms)
        self.adopt(process, self.row)
        self.processes[vm] = process
        self.run_requests(vm=vm, is_new=False, is_bad=False, n=1)

    @rule(vm=st.sampled_from(WITH_OLD), n=st.integers(0, 1))
    def drain_old(self, vm, n):
        rollout = self.processes[vm].rollout
        if rollout.phase >= Phase.PROMOTING:
            rollout.set_old_running(n)

    @rule()
    def drain_all_old(self):
        for vm in WITH_OLD:
            self.drain_old(vm=vm, n=0)

    @rule(vm=vms)
    def step(self, vm):
        """A daemon writes its proposal, unless the row has changed meanwhile."""
        process = self.processes[vm]
        proposal = process.rollout.proposal(self.now_ms, FLEET)
        if proposal is None:
            return
        assert proposal > process.rollout.phase
        if proposal is Phase.COMPLETED:
            self.check_reports(process)
        if self.row == process.rollout.phase:
            self.row = proposal
        if self.adopt(process, self.row):
            self.flood(vm, self.row)

    @rule(vm=vms)
    def read_row(self, vm):
        """Daemons that missed every message read the row."""
        self.adopt(self.processes[vm], self.row)

    def check_reports(self, process: Process) -> None:
        """No VM with old targets is without a report of its last known process."""
        known = list(process.received.values())
        known += process.rollout.all_evidence()
        last: dict[str, Evidence] = {}
        for evidence in known:
            if evidence.vm in WITH_OLD:
                current = last.setdefault(evidence.vm, evidence)
                rank = (evidence.start_id, evidence.sequence)
                if rank > (current.start_id, current.sequence):
                    last[evidence.vm] = evidence
        assert set(last) == set(WITH_OLD)
        assert {evidence.n_old_running for evidence in last.values()} == {0}

    @invariant()
    def no_final_phase_is_left(self):
        for process in self.processes.values():
            finals = [phase for phase in process.phases if phase.is_final]
            assert finals == finals[:1] * len(finals)
            assert process.phases == sorted(process.phases)
            if finals:
                assert finals[0] is self.row

    @invariant()
    def merged_counts_equal_naive_counts(self):
        for process in self.processes.values():
            expected: Counter = Counter(process.counts)
            for (vm, start_id), evidence in process.received.items():
                expected += self.sent[(vm, start_id, evidence.sequence)]
            actual: defaultdict = defaultdict(int)
            for evidence in process.rollout.all_evidence():
                for counts in evidence.counts:
                    actual[(counts.is_new, "run")] += counts.n_run
                    actual[(counts.is_new, "bad")] += counts.n_bad
            assert +Counter(actual) == +expected

    @invariant()
    def exposure_keeps_the_bound(self):
        assert self.n_exposed <= 0.1 * self.n_requests + 50


TestRollouts = RolloutMachine.TestCase
TestRollouts.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
