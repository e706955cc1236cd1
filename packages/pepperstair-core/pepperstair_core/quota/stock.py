"""A daemon's tokens of client accounts."""

from __future__ import annotations

import math
from bisect import insort
from typing import Final

from msgspec import Struct

from ..intent import Account
from .records import Ask, Grant, Token
from .terms import QuotaTerms

# Time constant of the estimate of recent demand.
DEMAND_MS: Final = 1_000.0
# Part of the lifetime of tokens for whose expected demand a daemon asks. Tokens for a
# longer time would expire unused at an irregular demand.
AHEAD_SHARE: Final = 0.5
# Time after a refusal during which tokens are considered scarce.
SCARCE_MS: Final = 2_000.0
# Least part of the lifetime that a token must have left to be kept when more are asked
# for; others are returned, as they would expire before most of them are used.
KEPT_SHARE: Final = 0.25
# Time without further questions after the first unanswered one; it doubles with each
# unanswered question up to the maximum.
UNANSWERED_MIN_MS: Final = 40.0
UNANSWERED_MAX_MS: Final = 300.0
# Maximum time after which a client is told to try again.
RETRY_AFTER_MAX_MS: Final = 2_000.0
# Number of accounts above which those without recent demand are discarded.
N_STOCKS_MAX: Final = 256
_IDLE_MS: Final = 10_000.0


class Taken(Struct, frozen=True):
    """The request has a token. `ask` is a question to send for later requests."""

    token: Token
    ask: Ask | None = None


class Refused(Struct, frozen=True):
    """The request exceeds the quota."""

    retry_after_ms: int


class Waiting(Struct, frozen=True):
    """The request waits for the answer to the question that was sent before."""


class Unanswered(Struct, frozen=True):
    """Recent questions were not answered, so that only the reserve is left."""


Outcome = Taken | Refused | Ask | Waiting | Unanswered


class _Lot(Struct):
    """Tokens of one answer, or a token of a request that did not run."""

    n_tokens: int
    expires_ms: float


class _Stock:
    """The state of one account at one daemon."""

    __slots__ = (
        "ask",
        "asked_ms",
        "demand_per_s",
        "lifetime_ms",
        "lots",
        "n_failures",
        "n_unspent",
        "n_waiting",
        "refused_until_ms",
        "seen_ms",
        "turn_ms",
        "unanswered_until_ms",
    )

    def __init__(self, now_ms: float) -> None:
        self.lots: list[_Lot] = []  # by expiry
        self.ask: Ask | None = None
        self.asked_ms = 0.0
        self.n_waiting = 0
        self.demand_per_s = 0.0
        self.lifetime_ms = 0.0
        self.seen_ms = now_ms
        self.refused_until_ms = -math.inf
        self.turn_ms = 0.0
        self.unanswered_until_ms = 0.0
        self.n_failures = 0
        # Tokens that have expired unspent and are returned with the next question.
        self.n_unspent = 0

    def count_demand(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self.seen_ms)
        self.demand_per_s *= math.exp(-elapsed_ms / DEMAND_MS)
        self.demand_per_s += 1000.0 / DEMAND_MS
        self.seen_ms = now_ms

    def drop_expired(self, now_ms: float) -> None:
        while self.lots and self.lots[0].expires_ms <= now_ms:
            self.n_unspent += self.lots.pop(0).n_tokens

    def pop_token(self, account: str) -> Token | None:
        if not self.lots:
            return None
        lot = self.lots[0]
        lot.n_tokens -= 1
        if not lot.n_tokens:
            del self.lots[0]
        return Token(account, lot.expires_ms)

    def add(self, lot: _Lot) -> None:
        insort(self.lots, lot, key=lambda each: each.expires_ms)

    def n_tokens(self) -> int:
        return sum(lot.n_tokens for lot in self.lots)


class QuotaStock:
    """Holds the tokens that a daemon was granted, until they are used or expire.

    A request without a token makes the daemon ask the owner; at most one question of an
    account is open at a time, and requests that arrive meanwhile wait for its answer.
    The lifetime of tokens counts from the question, so a late answer carries tokens
    that have expired.

    >>> stock = QuotaStock(QuotaTerms())
    >>> account = Account("sayaw", rate_per_s=10.0)
    >>> stock.take(account, 0.0)
    Ask(number=1, account='sayaw', n_wanted=1, n_returned=0)
    >>> stock.answer("sayaw", 1, Grant(1), 20.0)
    >>> stock.take_again(account, 20.0).token
    Token(account='sayaw', expires_ms=600.0, is_reserved=False)
    """

    def __init__(self, terms: QuotaTerms) -> None:
        self._terms = terms
        self._stocks: dict[str, _Stock] = {}
        self._n_asks = 0

    def take(self, account: Account, now_ms: float) -> Outcome:
        """Take a token for a new request."""
        stock = self._stocks.get(account.name)
        if stock is None:
            self._discard_idle(now_ms)
            stock = self._stocks[account.name] = _Stock(now_ms)
        stock.lifetime_ms = self._terms.lifetime_ms(account)
        stock.count_demand(now_ms)
        return self._take(stock, account, now_ms)

    def take_again(self, account: Account, now_ms: float) -> Outcome:
        """Take a token for a request that has waited for an answer."""
        stock = self._stocks[account.name]
        stock.n_waiting = max(0, stock.n_waiting - 1)
        return self._take(stock, account, now_ms)

    def stop_waiting(self, account: str) -> None:
        """Record that a request no longer waits for an answer."""
        stock = self._stocks.get(account)
        if stock is not None:
            stock.n_waiting = max(0, stock.n_waiting - 1)

    def refund(self, token: Token) -> None:
        """Take back the token of a request that did not run.

        A token that has expired meanwhile is returned to the owner.
        """
        stock = self._stocks.get(token.account)
        if stock is not None:
            stock.add(_Lot(1, token.expires_ms))

    def answer(self, account: str, number: int, grant: Grant, now_ms: float) -> None:
        """Add the tokens of an answer, and remember a refusal."""
        stock = self._stocks.get(account)
        if stock is None or stock.ask is None or stock.ask.number != number:
            return
        if not grant.is_owner:
            self.fail(account, number, now_ms)
            return
        stock.ask = None
        stock.n_failures = 0
        if grant.n_granted > 0:
            expires_ms = stock.asked_ms + stock.lifetime_ms
            stock.add(_Lot(grant.n_granted, expires_ms))
        if grant.retry_after_ms:
            stock.refused_until_ms = now_ms + grant.retry_after_ms

    def fail(self, account: str, number: int, now_ms: float) -> None:
        """Record that a question was not answered in time or not by the owner."""
        stock = self._stocks.get(account)
        if stock is None or stock.ask is None or stock.ask.number != number:
            return
        stock.ask = None
        pause_ms = min(UNANSWERED_MIN_MS * 2**stock.n_failures, UNANSWERED_MAX_MS)
        stock.n_failures = min(stock.n_failures + 1, 8)
        stock.unanswered_until_ms = now_ms + pause_ms

    def _take(self, stock: _Stock, account: Account, now_ms: float) -> Outcome:
        stock.drop_expired(now_ms)
        token = stock.pop_token(account.name)
        if token is not None:
            return Taken(token, self._ask_ahead(stock, account, now_ms))
        if now_ms < stock.refused_until_ms:
            return Refused(self._retry_after_ms(stock, account, now_ms))
        if now_ms < stock.unanswered_until_ms:
            return Unanswered()
        stock.n_waiting += 1
        if stock.ask is not None:
            return Waiting()
        return self._ask(stock, account, now_ms)

    def _ask_ahead(self, stock: _Stock, account: Account, now_ms: float) -> Ask | None:
        """Return a question if half of the expected demand is no longer covered."""
        n_expected = self._n_expected(stock, now_ms)
        is_waiting = stock.ask is not None or n_expected < 2
        if is_waiting or now_ms < max(
            stock.refused_until_ms, stock.unanswered_until_ms
        ):
            return None
        if stock.n_tokens() > n_expected // 2:
            return None
        return self._ask(stock, account, now_ms)

    def _ask(self, stock: _Stock, account: Account, now_ms: float) -> Ask:
        n_returned = self._remove_old(stock, now_ms)
        n_wanted = max(
            1, stock.n_waiting + self._n_expected(stock, now_ms) - stock.n_tokens()
        )
        self._n_asks += 1
        stock.ask = Ask(self._n_asks, account.name, n_wanted, n_returned)
        stock.asked_ms = now_ms
        return stock.ask

    def _n_expected(self, stock: _Stock, now_ms: float) -> int:
        """Return the number of requests to ask ahead for.

        While tokens are scarce, it is lower by the standard deviation of irregular
        demand, as tokens that expire here are missing elsewhere.
        """
        # The demand was counted at a request, without which it is not biased.
        demand_per_s = stock.demand_per_s - 1000.0 / DEMAND_MS
        n_mean = max(0.0, demand_per_s) * AHEAD_SHARE * stock.lifetime_ms / 1000.0
        if now_ms < stock.refused_until_ms + SCARCE_MS:
            n_mean -= math.sqrt(n_mean)
        return max(0, int(n_mean))

    def _remove_old(self, stock: _Stock, now_ms: float) -> int:
        """Remove the tokens if all expire soon, and return how many are returned."""
        limit_ms = now_ms + KEPT_SHARE * stock.lifetime_ms
        if stock.lots and stock.lots[-1].expires_ms < limit_ms:
            stock.n_unspent += stock.n_tokens()
            stock.lots.clear()
        n_returned, stock.n_unspent = stock.n_unspent, 0
        return n_returned

    def _retry_after_ms(self, stock: _Stock, account: Account, now_ms: float) -> int:
        """Return when a refused client should try again, each one later."""
        turn_ms = max(stock.refused_until_ms, stock.turn_ms)
        turn_ms = min(turn_ms, now_ms + RETRY_AFTER_MAX_MS)
        stock.turn_ms = turn_ms + 1000.0 / account.rate_per_s
        return max(1, math.ceil(turn_ms - now_ms))

    def _discard_idle(self, now_ms: float) -> None:
        if len(self._stocks) < N_STOCKS_MAX:
            return
        self._stocks = {
            name: stock
            for name, stock in self._stocks.items()
            if stock.ask is not None
            or stock.n_waiting
            or now_ms - stock.seen_ms < _IDLE_MS
        }


__all__ = [
    "Outcome",
    "QuotaStock",
    "Refused",
    "Taken",
    "Unanswered",
    "Waiting",
]
