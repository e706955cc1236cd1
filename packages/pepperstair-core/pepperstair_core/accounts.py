"""Client accounts in force, looked up by key, and the authorization of requests."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Final

from msgspec import Struct

from .config import AccountsSettings
from .errors import ErrorKind, Failure
from .intent import Account
from .versions import Snapshot

_DIGEST_BYTES: Final = 16
# Time after which a client should repeat a request that was refused because this daemon
# may be out of date. A read of the configuration takes less.
RETRY_AFTER_MS: Final = 1_000


class AccountTable:
    """The client accounts of the configuration in force.

    Without `accounts` (None) the configuration has none and requests need no key.
    Keys are found by their digests, so that the time of a look-up does not depend on
    how much of a wrong key is right. `secret` is the key of the digests, random for
    each process. Digests of unchanged accounts are taken from the `previous` table,
    with its secret.

    >>> table = AccountTable([Account("atlas", ("k1",))], secret=b"s")
    >>> table.find(b"k1").name, table.find(b"k2")
    ('atlas', None)
    """

    __slots__ = (
        "_by_digest",
        "_by_name",
        "_digests",
        "_secret",
        "has_quotas",
        "is_in_use",
    )

    def __init__(
        self,
        accounts: Iterable[Account] | None = None,
        previous: AccountTable | None = None,
        secret: bytes = b"",
    ) -> None:
        self.is_in_use = accounts is not None
        self._secret = secret if previous is None else previous._secret
        self._by_name: dict[str, Account] = {}
        self._by_digest: dict[bytes, Account] = {}
        self._digests: dict[str, tuple[bytes, ...]] = {}
        for account in accounts or ():
            if account.name in self._by_name:
                continue
            digests = self._digests_of(account, previous)
            self._by_name[account.name] = account
            self._digests[account.name] = digests
            for digest in digests:
                self._by_digest.setdefault(digest, account)

        self.has_quotas = any(each.has_quota for each in self._by_name.values())

    def find(self, key: bytes) -> Account | None:
        """Return the account of a key, None if the key is unknown."""
        return self._by_digest.get(self._digest(key))

    def get(self, name: str) -> Account | None:
        """Return the account with a name, None if there is none."""
        return self._by_name.get(name)

    def _digests_of(
        self, account: Account, previous: AccountTable | None
    ) -> tuple[bytes, ...]:
        known = None if previous is None else previous.get(account.name)
        if known is not None and known.keys == account.keys:
            return previous._digests[account.name]
        return tuple(self._digest(key.encode()) for key in account.keys)

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(
            key, digest_size=_DIGEST_BYTES, key=self._secret
        ).digest()


NO_ACCOUNTS: Final = AccountTable()


def compile_accounts(
    snapshots: Iterable[Snapshot], previous: AccountTable
) -> AccountTable:
    """Return the table of the accounts in force.

    If several customers define the same account or key, the first customer by name
    wins, so that all daemons decide alike.
    """
    by_customer = sorted(snapshots, key=lambda snapshot: snapshot.head.customer)
    using = [each.intent for each in by_customer if each.intent.uses_accounts]
    if not using:
        return AccountTable(None, previous)
    return AccountTable((a for intent in using for a in intent.accounts), previous)


class Refusal(Struct, frozen=True):
    """A request that must not run: the kind of its answer and when to retry."""

    kind: ErrorKind
    retry_after_ms: int = 0

    @property
    def failure(self) -> Failure:
        """Return the refusal as a failure."""
        return Failure(self.kind, retry_after_ms=self.retry_after_ms)


_UNAUTHORIZED: Final = Refusal(ErrorKind.UNAUTHORIZED)
_NOT_READY: Final = Refusal(ErrorKind.NOT_READY, RETRY_AFTER_MS)


def authorize(
    table: AccountTable,
    key: bytes | None,
    allows_anonymous: bool,
    proof_age_ms: float,
    limits: AccountsSettings,
) -> Account | Refusal | None:
    """Return the account of a request, None if it runs without one, or the refusal.

    `key` is None for a request without a key, and `proof_age_ms` the age of the proof
    that the table is the newest. An unknown key is no reason to refuse a request that
    needs none.
    """
    if not table.is_in_use or (key is None and allows_anonymous):
        return None
    if key is not None and _is_older(proof_age_ms, limits.proof_age_max_ms):
        return _NOT_READY
    account = None if key is None else table.find(key)
    if account is not None or allows_anonymous:
        return account
    if _is_older(proof_age_ms, limits.unknown_key_age_max_ms):
        return _NOT_READY
    return _UNAUTHORIZED


def effective_priority(
    route_priority: str, account: Account | None, is_inner_call: bool
) -> str:
    """Return the priority of a request.

    That of its account takes precedence over that of its route. A call that a target
    makes has no account; it is urgent because its refusal wastes the run that waits for
    it, whose priority was considered when the run was admitted.
    """
    if is_inner_call:
        return "urgent"
    return (account.priority if account is not None else "") or route_priority


def _is_older(age_ms: float, limit_ms: int) -> bool:
    return limit_ms > 0 and age_ms > limit_ms


__all__ = [
    "NO_ACCOUNTS",
    "RETRY_AFTER_MS",
    "AccountTable",
    "Refusal",
    "authorize",
    "compile_accounts",
    "effective_priority",
]
