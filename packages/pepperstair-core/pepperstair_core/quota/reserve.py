"""Requests that a daemon may run without an answer of a quota's owner."""

from __future__ import annotations

from collections import deque

from ..intent import Account
from .ownership import QuotaMembers
from .records import Token
from .terms import QuotaTerms


class QuotaReserve:
    """Counts the requests that ran on the reserve in each sliding window."""

    def __init__(self, members: QuotaMembers, terms: QuotaTerms) -> None:
        self._members = members
        self._terms = terms
        self._taken_ms: dict[str, deque[float]] = {}

    def take(self, account: Account, now_ms: float) -> Token | None:
        """Return a token of the reserve, or None if there is none left.

        Nothing is left shortly after the start: a daemon that has just started knows
        neither all members nor what its predecessor has used.
        """
        if not self._members.is_settled(now_ms):
            return None
        taken_ms = self._taken_ms.setdefault(account.name, deque())
        while taken_ms and now_ms - taken_ms[0] > self._terms.window_ms:
            taken_ms.popleft()
        n_reserved = self._terms.n_reserved(account)
        part = self._members.reserve_part(account.name, n_reserved, now_ms)
        if len(taken_ms) >= part:
            return None
        taken_ms.append(now_ms)
        return Token(account.name, now_ms, is_reserved=True)

    def refund(self, token: Token) -> None:
        """Return a token whose request did not run."""
        taken_ms = self._taken_ms.get(token.account)
        if taken_ms and token.expires_ms in taken_ms:
            taken_ms.remove(token.expires_ms)


__all__ = ["QuotaReserve"]
