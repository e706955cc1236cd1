"""Ways of keeping a quota over all daemons."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

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
)
from pepperstair_core.wire import QuotaAsk, QuotaGrant, encode_frame

from .quota_fleet import LENGTH_MS, VMS, QuotaFleet
from .quota_loads import N_DAEMONS

TERMS: Final = QuotaTerms()
# Maximum time that a request waits for tokens.
WAIT_MS: Final = 150.0
GOSSIP_INTERVAL_MS: Final = 200.0
N_GOSSIP_PEERS: Final = 2
_N_GOSSIP_HEAD_BYTES: Final = 12
_N_COUNTER_BYTES: Final = 9
# Share of the quota that the counters leave unused for requests not yet known of.
GOSSIP_MARGIN: Final = 0.05


class _Desk:
    """The quotas of one daemon that asks owners for tokens."""

    def __init__(self, fleet: QuotaFleet, daemon: int) -> None:
        now_ms = fleet.now_ms
        self.holder = f"{VMS[daemon]}/{now_ms}"
        self.members = QuotaMembers(VMS[daemon], now_ms, expects_others=True)
        self.members.update((VMS[each] for each in fleet.views[daemon]), (), now_ms)
        self.ledger = QuotaLedger(self.members, TERMS)
        self.stock = QuotaStock(TERMS)
        self.reserve = QuotaReserve(self.members, TERMS)
        # The deadlines of the requests that wait for an answer, by account.
        self.waiting: dict[int, list[float]] = {}


class TokensFromOwner:
    """Each account's owner grants tokens: the way of the product."""

    name = "tokens from an owner"

    def __init__(self, fleet: QuotaFleet) -> None:
        self._fleet = fleet
        self._desks = [_Desk(fleet, daemon) for daemon in range(N_DAEMONS)]
        for desk in self._desks:
            # The fleet has run for a while when the load starts.
            desk.members = QuotaMembers(desk.members.vm, -60_000.0)
            desk.members.update(VMS, (), -60_000.0)
            desk.ledger = QuotaLedger(desk.members, TERMS)
            desk.reserve = QuotaReserve(desk.members, TERMS)

    def request(self, daemon: int, account: int) -> None:
        """Take a token from the stock of the daemon."""
        desk = self._desks[daemon]
        record = self._fleet.accounts[daemon][account]
        outcome = desk.stock.take(record, self._fleet.now_ms)
        deadline_ms = self._fleet.now_ms + WAIT_MS
        self._handle(daemon, account, record, outcome, deadline_ms)

    def members_changed(self, daemon: int) -> None:
        """Discard the buckets of accounts that others have owned."""
        desk = self._desks[daemon]
        now_ms = self._fleet.now_ms
        usable = (VMS[each] for each in self._fleet.views[daemon])
        lost = desk.members.update(usable, (), now_ms)
        if lost:
            desk.ledger.members_lost(lost, now_ms)

    def restart(self, daemon: int) -> None:
        """Start with no state."""
        self._desks[daemon] = _Desk(self._fleet, daemon)

    def resume(self, daemon: int) -> None:
        """Start with empty buckets."""
        self._desks[daemon].members.restart(self._fleet.now_ms)
        self._desks[daemon].ledger.restart()

    def _handle(
        self,
        daemon: int,
        account: int,
        record: Account,
        outcome: object,
        deadline_ms: float,
    ) -> None:
        desk = self._desks[daemon]
        if isinstance(outcome, Taken):
            self._fleet.run_request(account)
            if outcome.ask is not None:
                self._ask(daemon, account, outcome.ask)
        elif isinstance(outcome, Unanswered):
            self._use_reserve(daemon, account)
        elif not isinstance(outcome, Refused):
            desk.waiting.setdefault(account, []).append(deadline_ms)
            if isinstance(outcome, Ask):
                self._ask(daemon, account, outcome)

    def _use_reserve(self, daemon: int, account: int) -> None:
        record = self._fleet.accounts[daemon][account]
        if self._desks[daemon].reserve.take(record, self._fleet.now_ms) is not None:
            self._fleet.run_request(account)

    def _ask(self, daemon: int, account: int, ask: Ask) -> None:
        desk = self._desks[daemon]
        owner = VMS.index(desk.members.owner(ask.account))

        def answer(grant: Grant) -> None:
            if self._desks[daemon] is desk:
                desk.stock.answer(ask.account, ask.number, grant, self._fleet.now_ms)
                self._retry(daemon, account)

        def grant() -> None:
            ledger = self._desks[owner].ledger
            record = self._fleet.accounts[owner][account]
            granted = ledger.grant(record, desk.holder, ask, self._fleet.now_ms)
            self._fleet.send(
                owner, daemon, _grant_bytes(ask, granted), lambda: answer(granted)
            )

        def give_up() -> None:
            if self._desks[daemon] is desk:
                desk.stock.fail(ask.account, ask.number, self._fleet.now_ms)
                self._retry(daemon, account)

        self._fleet.clock.call_later(WAIT_MS, give_up)
        self._fleet.send(daemon, owner, _ask_bytes(ask), grant)

    def _retry(self, daemon: int, account: int) -> None:
        """Decide about the requests that waited for an answer."""
        desk = self._desks[daemon]
        record = self._fleet.accounts[daemon][account]
        now_ms = self._fleet.now_ms
        for deadline_ms in desk.waiting.pop(account, []):
            if now_ms >= deadline_ms:
                desk.stock.stop_waiting(record.name)
                self._use_reserve(daemon, account)
                continue
            outcome = desk.stock.take_again(record, now_ms)
            self._handle(daemon, account, record, outcome, deadline_ms)


def _ask_bytes(ask: Ask) -> int:
    frame = QuotaAsk(ask.number, ask.account, ask.n_wanted, ask.n_returned)
    return len(encode_frame(frame))


def _grant_bytes(ask: Ask, grant: Grant) -> int:
    return len(
        encode_frame(
            QuotaGrant(
                ask.number,
                ask.account,
                grant.n_granted,
                grant.retry_after_ms,
                grant.is_owner,
            )
        )
    )


class _LocalBucket:
    """A token bucket that only one daemon uses."""

    def __init__(self) -> None:
        self.tokens = math.inf
        self.updated_ms = 0.0

    def refill(self, rate_per_s: float, n_max: float, now_ms: float) -> None:
        added = rate_per_s * (now_ms - self.updated_ms) / 1000.0
        self.tokens = min(self.tokens + added, n_max)
        self.updated_ms = now_ms


class StaticShare:
    """Each daemon has the same fixed share of each quota."""

    name = "static share a daemon"

    def __init__(self, fleet: QuotaFleet) -> None:
        self._fleet = fleet
        self._buckets: list[dict[int, _LocalBucket]] = [{} for _ in range(N_DAEMONS)]

    def request(self, daemon: int, account: int) -> None:
        """Take a token from the daemon's share; a whole token is the least share."""
        record = self._fleet.accounts[daemon][account]
        bucket = self._buckets[daemon].setdefault(account, _LocalBucket())
        rate_per_s = record.rate_per_s / N_DAEMONS
        n_max = max(1.0, record.burst / N_DAEMONS)
        bucket.refill(rate_per_s, n_max, self._fleet.now_ms)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            self._fleet.run_request(account)

    def members_changed(self, daemon: int) -> None:
        """Keep the shares, as those of other daemons are in use elsewhere."""

    def restart(self, daemon: int) -> None:
        """Start with full shares."""
        self._buckets[daemon] = {}

    def resume(self, daemon: int) -> None:
        """Continue with the shares."""


class CountersByGossip:
    """Daemons count the requests that ran and spread their counters by gossip.

    Each daemon charges every request that it learns of to its own copy of the bucket.
    """

    name = "counters by gossip"

    def __init__(self, fleet: QuotaFleet) -> None:
        self._fleet = fleet
        # Requests by account and origin (a start of a daemon), as each daemon knows.
        self._counts: list[dict[tuple[int, int], int]] = [{} for _ in range(N_DAEMONS)]
        self._changed: list[set[tuple[int, int]]] = [set() for _ in range(N_DAEMONS)]
        self._buckets: list[dict[int, _LocalBucket]] = [{} for _ in range(N_DAEMONS)]
        self._origins = list(range(N_DAEMONS))
        for daemon in range(N_DAEMONS):
            first_ms = fleet.rng.uniform(0.0, GOSSIP_INTERVAL_MS)
            fleet.clock.call_at(first_ms, self._make_round(daemon))

    def request(self, daemon: int, account: int) -> None:
        """Take a token of the daemon's copy of the bucket."""
        bucket = self._bucket(daemon, account)
        if bucket.tokens < 1.0:
            return
        bucket.tokens -= 1.0
        key = (account, self._origins[daemon])
        self._counts[daemon][key] = self._counts[daemon].get(key, 0) + 1
        self._changed[daemon].add(key)
        self._fleet.run_request(account)

    def members_changed(self, daemon: int) -> None:
        """Keep the counters, which are those of all origins."""

    def restart(self, daemon: int) -> None:
        """Start with no counters, and count under another origin."""
        self._counts[daemon] = {}
        self._changed[daemon] = set()
        self._buckets[daemon] = {}
        self._origins[daemon] += N_DAEMONS

    def resume(self, daemon: int) -> None:
        """Continue with the counters."""

    def _bucket(self, daemon: int, account: int) -> _LocalBucket:
        record = self._fleet.accounts[daemon][account]
        bucket = self._buckets[daemon].setdefault(account, _LocalBucket())
        rate_per_s = (1.0 - GOSSIP_MARGIN) * record.rate_per_s
        bucket.refill(rate_per_s, max(1.0, record.burst), self._fleet.now_ms)
        return bucket

    def _make_round(self, daemon: int) -> Callable[[], None]:
        def gossip() -> None:
            if self._fleet.now_ms >= LENGTH_MS:
                return
            self._fleet.clock.call_later(GOSSIP_INTERVAL_MS, gossip)
            changed, self._changed[daemon] = self._changed[daemon], set()
            if self._fleet.is_down[daemon] or not changed:
                return
            counts = {key: self._counts[daemon][key] for key in changed}
            n_bytes = _N_GOSSIP_HEAD_BYTES + _N_COUNTER_BYTES * len(counts)
            for receiver in self._fleet.rng.sample(range(N_DAEMONS), N_GOSSIP_PEERS):
                self._fleet.send(
                    daemon,
                    receiver,
                    n_bytes,
                    lambda each=receiver: self._merge(each, counts),
                )

        return gossip

    def _merge(self, daemon: int, counts: dict[tuple[int, int], int]) -> None:
        known = self._counts[daemon]
        for key, count in counts.items():
            n_new = count - known.get(key, 0)
            if n_new > 0:
                known[key] = count
                self._changed[daemon].add(key)
                self._bucket(daemon, key[0]).tokens -= n_new


WAYS: Final = (TokensFromOwner, CountersByGossip, StaticShare)

__all__ = ["WAYS", "CountersByGossip", "StaticShare", "TokensFromOwner"]
