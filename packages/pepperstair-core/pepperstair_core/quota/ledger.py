"""The owner's token buckets of client accounts."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from msgspec import Struct

from ..intent import Account
from .ownership import QuotaMembers
from .records import Ask, Grant
from .terms import QuotaTerms

# Tokens that a refused daemon's turn is reserved for, as the time in which the rate
# yields them.
TURN_MS: Final = 20.0
# Maximum time after which a refused daemon is told to ask again.
TURN_MAX_MS: Final = 1_000.0
# Number of daemons above which the numbers of their questions are forgotten.
N_HOLDERS_MAX: Final = 4_096
# Tolerance for rounding errors of fractional tokens.
_EPSILON: Final = 1e-6


class _Lot(Struct):
    """Tokens granted to one process of a daemon, without those it has returned."""

    holder: str
    n_tokens: int
    expires_ms: float


class _Bucket:
    """The tokens of one account that are not granted yet, and the granted ones."""

    __slots__ = (
        "full_ms",
        "lots",
        "n_granted",
        "next_turn_ms",
        "numbers",
        "tokens",
        "updated_ms",
    )

    def __init__(self, opened_ms: float) -> None:
        self.tokens = 0.0
        self.updated_ms = opened_ms
        self.full_ms = math.inf
        self.next_turn_ms = 0.0
        self.lots: deque[_Lot] = deque()
        # Granted tokens that a daemon may not have spent yet.
        self.n_granted = 0
        # The number of the last question of each daemon, to exclude duplicates.
        self.numbers: dict[str, int] = {}

    def update(
        self, rate_per_s: float, n_max: float, capacity: float, now_ms: float
    ) -> None:
        """Add the tokens of the elapsed time, and drop expired lots."""
        while self.lots and self.lots[0].expires_ms <= now_ms:
            self.n_granted -= self.lots.popleft().n_tokens
        elapsed_ms = max(0.0, now_ms - self.updated_ms)
        self.updated_ms = max(now_ms, self.updated_ms)
        tokens = self.tokens + rate_per_s * elapsed_ms / 1000.0
        self.tokens = max(0.0, min(tokens, n_max, capacity - self.n_granted))
        self.full_ms = now_ms + 1000.0 * n_max / rate_per_s

    def take_back(self, holder: str, ask: Ask) -> None:
        """Return tokens that a daemon has not spent to the bucket.

        Tokens of its last lot are no longer counted as granted. If the daemon did not
        receive that lot, it returns tokens of an earlier one, and will not spend those
        of the last one. Tokens beyond that lot had expired before they were returned.
        """
        if ask.number <= self.numbers.get(holder, -1):
            return
        if len(self.numbers) >= N_HOLDERS_MAX:
            self.numbers.clear()
        self.numbers[holder] = ask.number
        self.tokens += ask.n_returned
        lot = next(
            (each for each in reversed(self.lots) if each.holder == holder), None
        )
        if lot is not None:
            n_tokens = min(ask.n_returned, lot.n_tokens)
            lot.n_tokens -= n_tokens
            self.n_granted -= n_tokens

    def give(self, holder: str, n_tokens: int, expires_ms: float) -> None:
        """Move tokens from the bucket to a daemon."""
        self.tokens -= n_tokens
        self.n_granted += n_tokens
        self.lots.append(_Lot(holder, n_tokens, expires_ms))

    def turn_ms(self, n_missing: int, rate_per_s: float, now_ms: float) -> float:
        """Return when a refused daemon should ask again.

        Each one gets a later turn than the one before, so that they do not all come
        back for the same token.
        """
        token_ms = now_ms + max(0.0, 1.0 - self.tokens) * 1000.0 / rate_per_s
        turn_ms = min(max(token_ms, self.next_turn_ms), now_ms + TURN_MAX_MS)
        n_reserved = max(1.0, min(float(n_missing), rate_per_s * TURN_MS / 1000.0))
        self.next_turn_ms = turn_ms + 1000.0 * n_reserved / rate_per_s
        return turn_ms


class QuotaLedger:
    """Grants tokens of the accounts that a daemon owns.

    Invariant, for each account at any time: the tokens in the bucket and the tokens
    that daemons may still spend are together at most `QuotaTerms.capacity`, and without
    a partition they increase by the rate only. A grant or a return moves tokens between
    the two; expiry and spending decrease them. The requests of a window are therefore
    at most the capacity plus rate x window, whatever answers are lost, duplicated or
    late. A daemon counts the lifetime of a token from its question, so that no token
    outlives its record here.
    """

    def __init__(self, members: QuotaMembers, terms: QuotaTerms) -> None:
        self._members = members
        self._terms = terms
        self._buckets: dict[str, _Bucket] = {}

    def restart(self) -> None:
        """Start with empty buckets, after a pause of this process."""
        self._buckets.clear()

    def members_lost(self, lost: frozenset[str], now_ms: float) -> None:
        """Discard buckets of accounts that a lost member owned, and full buckets.

        The lost member has granted tokens that these buckets do not account for.
        """
        self._buckets = {
            account: bucket
            for account, bucket in self._buckets.items()
            if now_ms < bucket.full_ms
            and not any(self._members.outranks_own(account, vm) for vm in lost)
        }

    def grant(self, account: Account, holder: str, ask: Ask, now_ms: float) -> Grant:
        """Grant tokens to a daemon, up to the number that it asks for.

        `holder` identifies the process of the daemon.
        """
        if self._members.owner(account.name) != self._members.vm:
            return Grant(0, is_owner=False)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            opens_ms = self._members.opens_ms(account.name)
            if now_ms < opens_ms:
                return Grant(0, math.ceil(opens_ms - now_ms), is_owner=False)
            bucket = self._buckets[account.name] = _Bucket(opens_ms)
        if ask.n_returned > 0:
            bucket.take_back(holder, ask)
        rate_per_s = self._update(bucket, account, now_ms)
        n_granted = max(0, min(ask.n_wanted, int(bucket.tokens + _EPSILON)))
        if n_granted:
            expires_ms = now_ms + self._terms.lifetime_ms(account)
            bucket.give(holder, n_granted, expires_ms)
        if n_granted >= ask.n_wanted:
            return Grant(n_granted)
        turn_ms = bucket.turn_ms(ask.n_wanted - n_granted, rate_per_s, now_ms)
        return Grant(n_granted, max(1, math.ceil(turn_ms - now_ms)))

    def n_unspent(self, account: Account, now_ms: float) -> float:
        """Return the tokens in an account's bucket and those that may be spent."""
        bucket = self._buckets.get(account.name)
        if bucket is None:
            return 0.0
        self._update(bucket, account, now_ms)
        return bucket.tokens + bucket.n_granted

    def _update(self, bucket: _Bucket, account: Account, now_ms: float) -> float:
        """Update a bucket and return the rate that this side may grant."""
        share = self._members.share(now_ms)
        rate_per_s = share * account.rate_per_s
        n_max = max(1.0, share * self._terms.n_tokens_max(account))
        capacity = max(1.0, share * self._terms.capacity(account))
        bucket.update(rate_per_s, n_max, capacity, now_ms)
        return rate_per_s


__all__ = ["QuotaLedger"]
