"""Who keeps the bucket of an account, and which part of the quota it may grant."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ..rendezvous import weight

# Time without grants after the start of a daemon or after the loss of the member that
# owned an account before. Tokens of the former owner expire, and members learn of the
# change, in this time.
HOLD_MS: Final = 300.0
# Time after the start in which each additional member starts the hold again. Members
# that start together know each other only after a while, and until then each of them
# may be the first that it knows.
SETTLE_MS: Final = 3_000.0
# Time for which a lost member may still grant on the other side of a partition.
SEPARATION_MS: Final = 15_000.0


def owner_of(account: str, members: Iterable[str]) -> str:
    """Return the member that owns an account's quota, or an empty string.

    >>> owner_of("sayaw", ["vm-1", "vm-2"]) == owner_of("sayaw", ["vm-2", "vm-1"])
    True
    """
    return max(members, key=lambda vm: _rank(account, vm), default="")


def _rank(account: str, vm: str) -> int:
    return weight(f"quota/{account}", vm)


class QuotaMembers:
    """The members of the fleet as one daemon sees them, with those recently lost.

    A member that is lost without having announced its departure may be on the other
    side of a partition, where it still owns accounts. Therefore this side grants only
    the share of a quota that corresponds to its share of the members. With
    `expects_others`, a daemon that has just started grants nothing before it knows
    another member.

    >>> members = QuotaMembers("vm-1", 0.0)
    >>> _ = members.update(["vm-1", "vm-2", "vm-3"], (), 0.0)
    >>> sorted(members.update(["vm-1", "vm-3"], (), 5_000.0))
    ['vm-2']
    >>> round(members.share(5_000.0), 2), members.share(30_000.0)
    (0.67, 1.0)
    """

    def __init__(self, vm: str, now_ms: float, expects_others: bool = False) -> None:
        self.vm = vm
        self._expects_others = expects_others
        self.usable: frozenset[str] = frozenset((vm,))
        self._lost_ms: dict[str, float] = {}
        self._departed: frozenset[str] = frozenset()
        self._last_lost_ms = -SEPARATION_MS
        self._owners: dict[str, str] = {}
        # This daemon's parts of reserves, by account and size of the reserve.
        self._parts: dict[tuple[str, int], int] = {}
        self.restart(now_ms)

    def restart(self, now_ms: float) -> None:
        """Start the hold again, after a start or a pause of this process."""
        self._started_ms = now_ms
        self._opens_ms = now_ms + HOLD_MS

    def update(
        self, usable: Iterable[str], departed: Iterable[str], now_ms: float
    ) -> frozenset[str]:
        """Replace the members and return those that are lost."""
        current = frozenset(usable) | {self.vm}
        self._departed = frozenset(departed)
        if current == self.usable:
            return frozenset()
        lost = self.usable - current
        if lost:
            self._lost_ms |= dict.fromkeys(lost, now_ms)
            self._last_lost_ms = now_ms
        joined = current - self.usable
        if joined and now_ms - self._started_ms < SETTLE_MS:
            self._opens_ms = now_ms + HOLD_MS
        self.usable = current
        # A change of one member must not cost a hash of each member for each account.
        self._owners = {
            account: owner_of(account, (owner, *joined)) if joined else owner
            for account, owner in self._owners.items()
            if owner not in lost
        }
        self._parts.clear()
        return lost

    def owner(self, account: str) -> str:
        """Return the member that owns an account's quota."""
        owner = self._owners.get(account)
        if owner is None:
            owner = self._owners[account] = owner_of(account, self.usable)
        return owner

    def outranks_own(self, account: str, vm: str) -> bool:
        """Return whether a member precedes this daemon as owner of an account."""
        return _rank(account, vm) > _rank(account, self.vm)

    def opens_ms(self, account: str) -> float:
        """Return the time from which this daemon, as the owner, may grant tokens."""
        lost_ms = max(
            (
                lost_ms
                for vm, lost_ms in self._lost_ms.items()
                if self.outranks_own(account, vm)
            ),
            default=-HOLD_MS,
        )
        opens_ms = max(self._opens_ms, lost_ms + HOLD_MS)
        if self._expects_others and len(self.usable) == 1:
            opens_ms = max(opens_ms, self._started_ms + SETTLE_MS)
        return opens_ms

    def share(self, now_ms: float) -> float:
        """Return the part of each quota that the owners on this side may grant."""
        return len(self.usable) / (len(self.usable) + len(self._separated(now_ms)))

    def is_settled(self, now_ms: float) -> bool:
        """Return whether the members that started with this daemon are known."""
        return now_ms - self._started_ms >= SETTLE_MS

    def reserve_part(self, account: str, n_reserved: int, now_ms: float) -> int:
        """Return this daemon's part of the reserve of an account.

        The parts of all members sum up to the reserve, as the remainder of the division
        goes to the first members by rank.
        """
        part = self._parts.get((account, n_reserved))
        if part is not None:
            return part
        everyone = self.usable | self._separated(now_ms)
        n_each, n_left = divmod(n_reserved, len(everyone))
        n_before = sum(self.outranks_own(account, vm) for vm in everyone)
        part = self._parts[account, n_reserved] = n_each + (n_before < n_left)
        return part

    def _separated(self, now_ms: float) -> frozenset[str]:
        if now_ms - self._last_lost_ms >= SEPARATION_MS:
            return frozenset()
        return frozenset(
            vm
            for vm, lost_ms in self._lost_ms.items()
            if now_ms - lost_ms < SEPARATION_MS
            and vm not in self.usable
            and vm not in self._departed
        )


__all__ = ["HOLD_MS", "QuotaMembers", "owner_of"]
