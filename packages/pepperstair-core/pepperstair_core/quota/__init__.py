"""Quotas of client accounts: buckets at owners, stocks of tokens at daemons."""

from __future__ import annotations

from .ledger import QuotaLedger
from .ownership import QuotaMembers, owner_of
from .records import Ask, Grant, Token
from .reserve import QuotaReserve
from .stock import QuotaStock, Refused, Taken, Unanswered, Waiting
from .terms import QuotaTerms

__all__ = [
    "Ask",
    "Grant",
    "QuotaLedger",
    "QuotaMembers",
    "QuotaReserve",
    "QuotaStock",
    "QuotaTerms",
    "Refused",
    "Taken",
    "Token",
    "Unanswered",
    "Waiting",
    "owner_of",
]
