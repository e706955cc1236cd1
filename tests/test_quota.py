"""Decisions about quotas: owners, buckets, stocks and the reserve."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pepperstair_core.intent import Account
from pepperstair_core.quota import (
    Ask,
    Grant,
    QuotaLedger,
    QuotaMembers,
    QuotaReserve,
    QuotaStock,
    QuotaTerms,
    Refused,
    Taken,
    Unanswered,
    Waiting,
    owner_of,
)

TERMS = QuotaTerms()
VMS = [f"vm-{number}" for number in range(8)]
ACCOUNT = Account("sayaw", rate_per_s=100.0, burst=50)
START_MS = 100_000.0


def make_ledger(account: Account = ACCOUNT) -> tuple[QuotaMembers, QuotaLedger]:
    """Return the owner's ledger, with its bucket full at `START_MS`."""
    members = QuotaMembers(owner_of(account.name, VMS), 0.0)
    members.update(VMS, (), 0.0)
    return members, QuotaLedger(members, TERMS)


def ask(n_wanted: int, number: int = 1, n_returned: int = 0) -> Ask:
    return Ask(number, ACCOUNT.name, n_wanted, n_returned)


def test_idle_bucket_holds_the_burst():
    _, ledger = make_ledger()
    granted = ledger.grant(ACCOUNT, "a", ask(500), START_MS)
    assert granted.n_granted == ACCOUNT.burst
    assert granted.retry_after_ms == 10


def test_known_owners_follow_changes_of_members():
    names = [f"account-{number}" for number in range(20)]
    members = QuotaMembers("vm-0", 0.0)
    for usable in (VMS[:4], VMS, VMS[3:], VMS[:2], VMS[::2]):
        members.update(usable, (), 0.0)
        expected = [owner_of(name, members.usable) for name in names]
        assert [members.owner(name) for name in names] == expected


def test_other_member_grants_nothing():
    members = QuotaMembers(min(VMS, key=lambda vm: vm == owner_of("sayaw", VMS)), 0.0)
    members.update(VMS, (), 0.0)
    granted = QuotaLedger(members, TERMS).grant(ACCOUNT, "a", ask(1), START_MS)
    assert granted == Grant(0, is_owner=False)


def test_owner_that_has_just_started_grants_nothing_and_then_only_the_rate():
    """Guards against a second burst after a restart of the owner."""
    members, ledger = make_ledger()
    ledger.grant(ACCOUNT, "a", ask(50), START_MS)
    members.restart(START_MS)
    ledger.restart()
    held = ledger.grant(ACCOUNT, "a", ask(50, 2), START_MS + 299.0)
    assert held == Grant(0, 1, is_owner=False)
    granted = ledger.grant(ACCOUNT, "a", ask(50, 3), START_MS + 500.0)
    assert granted.n_granted == 20


def test_bucket_is_not_used_again_after_another_member_owned_the_account():
    """Guards against granting the tokens that the other owner has granted."""
    members, ledger = make_ledger()
    first = members.vm
    others = [vm for vm in VMS if vm != first]
    second = owner_of(ACCOUNT.name, others)
    members = QuotaMembers(second, 0.0)
    members.update(others, (), 0.0)
    ledger = QuotaLedger(members, TERMS)
    assert ledger.grant(ACCOUNT, "a", ask(10), START_MS).n_granted == 10
    members.update(VMS, (), START_MS)
    assert not ledger.grant(ACCOUNT, "a", ask(10, 2), START_MS).is_owner
    lost = members.update(others, (first,), START_MS + 5_000.0)
    ledger.members_lost(lost, START_MS + 5_000.0)
    assert not ledger.grant(ACCOUNT, "a", ask(10, 3), START_MS + 5_100.0).is_owner
    granted = ledger.grant(ACCOUNT, "a", ask(99, 4), START_MS + 5_400.0)
    assert granted.n_granted == 10


def test_loss_of_a_member_that_never_owned_the_account_keeps_the_bucket():
    members, ledger = make_ledger()
    ledger.grant(ACCOUNT, "a", ask(10), START_MS)
    lost = members.update(
        [vm for vm in VMS if vm in (members.vm, *VMS[:6])], (), START_MS
    )
    ledger.members_lost(lost, START_MS)
    assert ledger.grant(ACCOUNT, "a", ask(1, 2), START_MS).n_granted == 1


def test_both_sides_of_a_partition_grant_the_quota_together():
    """Guards against the whole quota on each side."""
    sides = [VMS[:3], VMS[3:]]
    n_granted = 0
    for side in sides:
        members = QuotaMembers(owner_of(ACCOUNT.name, side), 0.0)
        members.update(VMS, (), 0.0)
        members.update(side, (), START_MS)
        ledger = QuotaLedger(members, TERMS)
        for number in range(1, 101):
            now_ms = START_MS + 300.0 + 20.0 * number
            n_granted += ledger.grant(ACCOUNT, "a", ask(100, number), now_ms).n_granted
    # The first owner still has its share of the burst.
    assert 196 <= n_granted <= 200 + ACCOUNT.burst


def test_member_that_announced_its_departure_does_not_reduce_the_share():
    members, _ = make_ledger()
    others = [vm for vm in VMS if vm == members.vm or vm != VMS[0]]
    members.update(others, (VMS[0],), START_MS)
    assert members.share(START_MS) == 1.0


def test_daemons_that_start_together_wait_until_they_know_each_other():
    """Guards against the whole quota from each daemon after a kill of all."""
    members = QuotaMembers("vm-1", 0.0, expects_others=True)
    ledger = QuotaLedger(members, TERMS)
    assert not ledger.grant(ACCOUNT, "a", ask(1), 2_000.0).is_owner
    members.update([members.vm, "vm-2"], (), 2_000.0)
    assert members.opens_ms(ACCOUNT.name) == 2_300.0
    members.update([members.vm, "vm-2", "vm-3"], (), 2_200.0)
    assert members.opens_ms(ACCOUNT.name) == 2_500.0


def test_turns_of_refused_daemons_differ():
    """Guards against all refused daemons coming back for the same token."""
    _, ledger = make_ledger()
    ledger.grant(ACCOUNT, "a", ask(50), START_MS)
    turns = [ledger.grant(ACCOUNT, vm, ask(1), START_MS).retry_after_ms for vm in VMS]
    assert turns == [10 * (number + 1) for number in range(8)]


def test_lowered_limit_binds_the_next_grant():
    _, ledger = make_ledger()
    ledger.grant(ACCOUNT, "a", ask(1), START_MS)
    lowered = Account(ACCOUNT.name, rate_per_s=10.0, burst=5)
    granted = ledger.grant(lowered, "a", ask(50, 2), START_MS + 1_000.0)
    assert granted.n_granted == 5


def test_duplicate_question_returns_its_tokens_once():
    """Guards against crediting returned tokens twice."""
    _, ledger = make_ledger()
    ledger.grant(ACCOUNT, "a", ask(50), START_MS)
    for _ in range(2):
        ledger.grant(ACCOUNT, "a", ask(0, 2, n_returned=20), START_MS + 1.0)
    assert ledger.grant(ACCOUNT, "b", ask(50), START_MS + 1.0).n_granted == 20


def test_bucket_fills_only_up_to_the_capacity_less_tokens_that_may_be_unspent():
    """Guards against spending an old burst and a new one in the same window."""
    _, ledger = make_ledger()
    ledger.grant(ACCOUNT, "a", ask(50), START_MS)
    now_ms = START_MS + TERMS.lifetime_ms(ACCOUNT) - 1.0
    assert ledger.n_unspent(ACCOUNT, now_ms) == TERMS.capacity(ACCOUNT) == 87.5
    assert ledger.grant(ACCOUNT, "b", ask(50), now_ms).n_granted == 37


def test_stock_asks_ahead_when_half_of_the_expected_demand_is_covered():
    stock = QuotaStock(TERMS)
    for number in range(50):
        now_ms = START_MS + number
        outcome = stock.take(ACCOUNT, now_ms)
        if number == 0:
            assert isinstance(outcome, Ask)
        else:
            assert isinstance(outcome, Waiting)
    stock.answer(ACCOUNT.name, 1, Grant(54), START_MS + 50.0)
    outcomes = [stock.take_again(ACCOUNT, START_MS + 50.0) for _ in range(50)]
    assert all(isinstance(each, Taken) for each in outcomes)
    asks = [each.ask for each in outcomes if each.ask is not None]
    assert len(asks) == 1
    assert asks[0].n_wanted > 1


def test_late_answer_carries_no_usable_tokens():
    stock = QuotaStock(TERMS)
    first = stock.take(ACCOUNT, START_MS)
    stock.answer(
        ACCOUNT.name, first.number, Grant(5), START_MS + TERMS.lifetime_ms(ACCOUNT)
    )
    assert isinstance(
        stock.take_again(ACCOUNT, START_MS + TERMS.lifetime_ms(ACCOUNT)), Ask
    )


def test_answer_after_the_question_was_given_up_is_not_used():
    stock = QuotaStock(TERMS)
    first = stock.take(ACCOUNT, START_MS)
    stock.fail(ACCOUNT.name, first.number, START_MS + 150.0)
    stock.answer(ACCOUNT.name, first.number, Grant(5), START_MS + 151.0)
    assert isinstance(stock.take_again(ACCOUNT, START_MS + 151.0), Unanswered)


def test_answer_to_an_earlier_question_is_not_used():
    """Guards against tokens that outlive their record at the owner."""
    stock = QuotaStock(TERMS)
    first = stock.take(ACCOUNT, START_MS)
    stock.fail(ACCOUNT.name, first.number, START_MS + 150.0)
    assert isinstance(stock.take_again(ACCOUNT, START_MS + 200.0), Ask)
    stock.answer(ACCOUNT.name, first.number, Grant(5), START_MS + 201.0)
    assert isinstance(stock.take(ACCOUNT, START_MS + 202.0), Waiting)


def test_refusal_is_remembered_and_clients_get_different_turns():
    """Guards against a question for each request above the quota."""
    stock = QuotaStock(TERMS)
    first = stock.take(ACCOUNT, START_MS)
    stock.answer(ACCOUNT.name, first.number, Grant(0, 100), START_MS)
    outcomes = [stock.take(ACCOUNT, START_MS + 1.0) for _ in range(3)]
    assert outcomes == [Refused(99), Refused(109), Refused(119)]
    assert isinstance(stock.take(ACCOUNT, START_MS + 100.0), Ask)


def test_refunded_token_is_used_until_it_expires():
    stock = QuotaStock(TERMS)
    first = stock.take(ACCOUNT, START_MS)
    stock.answer(ACCOUNT.name, first.number, Grant(1), START_MS)
    token = stock.take_again(ACCOUNT, START_MS).token
    lifetime_ms = TERMS.lifetime_ms(ACCOUNT)
    stock.refund(token)
    assert stock.take(ACCOUNT, START_MS + lifetime_ms - 1.0).token == token
    stock.refund(token)
    assert isinstance(stock.take(ACCOUNT, START_MS + lifetime_ms), Ask)


def test_tokens_of_requests_that_waited_and_were_refused_go_back_to_the_bucket():
    """Guards against an overload in which an account can't use its quota."""
    _, ledger = make_ledger()
    stock = QuotaStock(TERMS)
    now_ms = START_MS
    for _ in range(ACCOUNT.burst):
        question = stock.take(ACCOUNT, now_ms)
        stock.answer(
            ACCOUNT.name,
            question.number,
            ledger.grant(ACCOUNT, "a", question, now_ms),
            now_ms,
        )
        token = stock.take_again(ACCOUNT, now_ms).token
        # The request is refused as not run after its token has expired.
        now_ms += TERMS.lifetime_ms(ACCOUNT) + 1.0
        stock.refund(token)
    question = stock.take(ACCOUNT, now_ms)
    assert question.n_returned == 1
    ledger.grant(ACCOUNT, "a", question, now_ms)
    assert ledger.n_unspent(ACCOUNT, now_ms) == ACCOUNT.burst


def test_duplicate_of_a_question_returns_no_token_twice():
    _, ledger = make_ledger()
    ledger.grant(ACCOUNT, "a", ask(ACCOUNT.burst), START_MS)
    for _ in range(3):
        ledger.grant(ACCOUNT, "a", ask(1, number=2, n_returned=10), START_MS + 1.0)
    refilled = ACCOUNT.rate_per_s / 1000.0
    assert ledger.n_unspent(ACCOUNT, START_MS + 1.0) <= ACCOUNT.burst + refilled


def test_parts_of_the_reserve_add_up_to_it():
    """Guards against an overrun by the reserves of many daemons."""
    small = Account("mwangaza", rate_per_s=1.0)
    n_taken = 0
    for vm in VMS:
        members = QuotaMembers(vm, 0.0)
        members.update(VMS, (), 0.0)
        reserve = QuotaReserve(members, TERMS)
        n_taken += sum(reserve.take(small, START_MS) is not None for _ in range(100))
    assert n_taken == TERMS.n_reserved(small) == 10


def test_reserve_of_a_cut_off_daemon_does_not_grow():
    members = QuotaMembers("vm-1", 0.0)
    members.update(VMS, (), 0.0)
    before = members.reserve_part(ACCOUNT.name, 80, START_MS)
    members.update(["vm-1"], (), START_MS)
    assert members.reserve_part(ACCOUNT.name, 80, START_MS) == before


class Quotas(RuleBasedStateMachine):
    """Daemons and owners with lost, late and duplicate messages, restarts and cuts.

    In every window the requests that ran stay within the permitted number as long as
    one member at a time considers itself the owner.
    """

    account = Account("lantern", rate_per_s=40.0, burst=30)

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = START_MS
        self.owner = owner_of(self.account.name, VMS)
        self.members = QuotaMembers(self.owner, 0.0)
        self.members.update(VMS, (), 0.0)
        self.ledger = QuotaLedger(self.members, TERMS)
        self.n_starts = 0
        self.stocks = {vm: (vm, QuotaStock(TERMS)) for vm in VMS}
        daemons = {vm: QuotaMembers(vm, 0.0) for vm in VMS}
        for members in daemons.values():
            members.update(VMS, (), 0.0)
        self.reserves = {vm: QuotaReserve(daemons[vm], TERMS) for vm in VMS}
        self.asks: list[tuple[str, str, Ask]] = []
        self.answers: list[tuple[str, str, Ask, Grant]] = []
        self.run_ms: list[float] = []

    @rule(step_ms=st.sampled_from([0.0, 1.0, 7.0, 30.0, 90.0, 210.0, 1_500.0]))
    def wait(self, step_ms: float) -> None:
        self.now_ms += step_ms

    @rule(vm=st.sampled_from(VMS), n_requests=st.integers(1, 60))
    def request(self, vm: str, n_requests: int) -> None:
        holder, stock = self.stocks[vm]
        for _ in range(n_requests):
            outcome = stock.take(self.account, self.now_ms)
            self.handle(vm, holder, stock, outcome)

    @rule(index=st.integers(0, 99), is_duplicate=st.booleans())
    def deliver_ask(self, index: int, is_duplicate: bool) -> None:
        if self.asks:
            index %= len(self.asks)
            item = self.asks[index] if is_duplicate else self.asks.pop(index)
            vm, holder, sent = item
            granted = self.ledger.grant(self.account, holder, sent, self.now_ms)
            self.answers.append((vm, holder, sent, granted))

    @rule(index=st.integers(0, 99), is_duplicate=st.booleans())
    def deliver_answer(self, index: int, is_duplicate: bool) -> None:
        if self.answers:
            index %= len(self.answers)
            item = self.answers[index] if is_duplicate else self.answers.pop(index)
            vm, holder, sent, granted = item
            current, stock = self.stocks[vm]
            if current == holder:
                stock.answer(self.account.name, sent.number, granted, self.now_ms)

    @rule(vm=st.sampled_from(VMS))
    def give_up(self, vm: str) -> None:
        for asker, holder, sent in list(self.asks):
            if asker == vm and self.stocks[vm][0] == holder:
                self.stocks[vm][1].fail(self.account.name, sent.number, self.now_ms)

    @rule(index=st.integers(0, 99))
    def lose(self, index: int) -> None:
        for messages in (self.asks, self.answers):
            if messages:
                del messages[index % len(messages)]

    @rule(vm=st.sampled_from(VMS))
    def restart_daemon(self, vm: str) -> None:
        self.n_starts += 1
        self.stocks[vm] = (f"{vm}/{self.n_starts}", QuotaStock(TERMS))
        if vm == self.owner:
            self.members.restart(self.now_ms)
            self.ledger.restart()

    @rule(n_lost=st.integers(0, 5))
    def cut(self, n_lost: int) -> None:
        others = [vm for vm in VMS if vm != self.owner]
        usable = [self.owner, *others[n_lost:]]
        lost = self.members.update(usable, (), self.now_ms)
        self.ledger.members_lost(lost, self.now_ms)

    def handle(self, vm: str, holder: str, stock: QuotaStock, outcome: object) -> None:
        if isinstance(outcome, Taken):
            self.run_ms.append(self.now_ms)
            if outcome.ask is not None:
                self.asks.append((vm, holder, outcome.ask))
        elif isinstance(outcome, Ask):
            self.asks.append((vm, holder, outcome))
        elif isinstance(outcome, Unanswered):
            self.use_reserve(vm)

    def use_reserve(self, vm: str) -> None:
        if self.reserves[vm].take(self.account, self.now_ms) is not None:
            self.run_ms.append(self.now_ms)

    @invariant()
    def unspent_tokens_are_within_the_capacity(self) -> None:
        n_held = sum(
            lot.n_tokens
            for _, stock in self.stocks.values()
            for each in stock._stocks.values()
            for lot in each.lots
            if lot.expires_ms > self.now_ms
        )
        n_unspent = self.ledger.n_unspent(self.account, self.now_ms)
        assert n_unspent <= TERMS.capacity(self.account)
        if not self.n_starts:
            assert n_held <= n_unspent

    @invariant()
    def last_window_is_within_the_permitted_number(self) -> None:
        first_ms = self.now_ms - TERMS.window_ms
        n_run = sum(at_ms >= first_ms for at_ms in self.run_ms)
        quota = self.account.rate_per_s * 5.0 + self.account.burst
        assert n_run <= quota * 1.1 + 20


Quotas.TestCase.settings = settings(
    derandomize=True,
    max_examples=120,
    stateful_step_count=60,
    deadline=None,
    database=None,
)
TestQuotas = Quotas.TestCase
