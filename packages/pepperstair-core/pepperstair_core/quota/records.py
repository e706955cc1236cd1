"""Records that owners of quotas and other daemons exchange."""

from __future__ import annotations

from msgspec import Struct


class Ask(Struct, frozen=True):
    """A question of a daemon to the owner of an account's quota.

    `number` rises with each question of a process. `n_returned` tokens of the last
    answer that the daemon received are returned unused.
    """

    number: int
    account: str
    n_wanted: int
    n_returned: int = 0


class Grant(Struct, frozen=True):
    """The answer of an owner.

    If fewer tokens are granted than were asked for, the daemon should ask again after
    `retry_after_ms`. `is_owner` is false if the daemon does not grant tokens of this
    account (yet).
    """

    n_granted: int
    retry_after_ms: int = 0
    is_owner: bool = True


class Token(Struct, frozen=True):
    """The right to run one request of an account until `expires_ms`."""

    account: str
    expires_ms: float
    is_reserved: bool = False


__all__ = ["Ask", "Grant", "Token"]
