"""How the permitted excess of a quota is divided."""

from __future__ import annotations

from typing import Final

from msgspec import Struct

from ..intent import Account

# Share of the permitted excess that daemons may spend without an answer of the owner.
# The remainder covers the tokens that are handed out but not spent yet.
RESERVE_SHARE: Final = 0.5
# Lifetime of a token as a share of the time in which the rate fills the part of the
# excess that covers handed-out tokens and a quarter of the burst. At the full rate, the
# tokens handed out within a lifetime all count as unspent, and the bucket must not
# overflow because of them. A longer lifetime saves questions: daemons ask for the
# demand of half a lifetime.
LIFETIME_SHARE: Final = 0.8
LIFETIME_BURST_SHARE: Final = 0.25
LIFETIME_MIN_MS: Final = 100.0
LIFETIME_MAX_MS: Final = 600.0
# Time within which the questions of daemons that use up a quota arrive again.
ASK_INTERVAL_MS: Final = 200.0


class QuotaTerms(Struct, frozen=True):
    """Limits on how far a window may exceed a quota.

    In a window, an account may run its quota (rate x window + burst) and the excess,
    `overage_share` of the quota plus `n_slack` requests.

    >>> terms = QuotaTerms()
    >>> account = Account("sayaw", rate_per_s=100.0, burst=100)
    >>> terms.n_excess(account), terms.n_reserved(account), terms.capacity(account)
    (80.0, 40, 140.0)
    >>> terms.lifetime_ms(account)
    520.0
    >>> terms.lifetime_ms(Account("lantern", rate_per_s=1_000.0))
    208.0
    """

    window_ms: float = 5_000.0
    overage_share: float = 0.1
    n_slack: int = 20

    def n_excess(self, account: Account) -> float:
        """Return by how many requests a window may exceed the quota."""
        quota = account.rate_per_s * self.window_ms / 1000.0 + account.burst
        return self.overage_share * quota + self.n_slack

    def n_reserved(self, account: Account) -> int:
        """Return how many requests of a window may run without the owner's answer."""
        return int(RESERVE_SHARE * self.n_excess(account))

    def lifetime_ms(self, account: Account) -> float:
        """Return the time after which an unspent token must not be spent."""
        n_covered = (1.0 - RESERVE_SHARE) * self.n_excess(account)
        n_covered += LIFETIME_BURST_SHARE * account.burst
        filled_ms = 1000.0 * n_covered / account.rate_per_s
        return min(max(LIFETIME_SHARE * filled_ms, LIFETIME_MIN_MS), LIFETIME_MAX_MS)

    def capacity(self, account: Account) -> float:
        """Return the limit on the tokens of the bucket and those handed out."""
        covered = (1.0 - RESERVE_SHARE) * self.n_excess(account)
        return max(1.0, account.burst + covered)

    def n_tokens_max(self, account: Account) -> float:
        """Return the limit on the tokens of the bucket.

        Asks arrive at intervals, so a bucket without a burst holds the tokens that
        become available between two of them.
        """
        between_asks = account.rate_per_s * ASK_INTERVAL_MS / 1000.0
        return max(float(account.burst), 1.0 + between_asks)


__all__ = ["QuotaTerms"]
