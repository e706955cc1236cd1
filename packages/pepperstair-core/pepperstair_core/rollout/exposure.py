"""A calling daemon's part of the requests that may go to a new version."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Final

from msgspec import Struct

from .. import rendezvous
from .records import RolloutOrder

# Share of the allowed exposure that is spent before promotion. The remainder covers
# what a bad version gets in promotion until all daemons know that it is bad.
CANARY_SHARE: Final = 0.5
# The same share while there is some bad evidence, which more requests confirm or clear.
SUSPECT_SHARE: Final = 0.75
# Share of the allowed exposure that is spent in the first step of promotion at most.
STEP_SHARE: Final = 0.93
# Share of the requests that goes to the new version at the beginning of promotion. The
# old version keeps enough of them to be compared with.
STEP_RATE: Final = 0.25
# With a single canary target, a faulty target could not be told from a bad version.
N_CANARY_TARGETS_MIN: Final = 2


class Portion(IntEnum):
    """The part of a service's requests that goes to the ordered version.

    `CANARY` and `SUSPECT` are shares of the allowed exposure. `STEP` is a share of the
    requests to as large a share of the targets, which thus get a usual load.
    """

    NONE = 0
    CANARY = 1
    SUSPECT = 2
    STEP = 3
    ALL = 4


class RolloutTerms(Struct, frozen=True):
    """The limits on a bad version.

    Of the requests to a service it gets at most `exposure_share` plus
    `n_exposed_extra`, and none later than `rollback_ms` after `n_bad_max` bad answers.
    """

    exposure_share: float
    n_exposed_extra: int
    rollback_ms: int
    n_bad_max: int = 50


_EXPOSURE_SHARES: Final = {
    Portion.CANARY: CANARY_SHARE,
    Portion.SUSPECT: SUSPECT_SHARE,
    Portion.STEP: STEP_SHARE,
}


class ExposureBudget:
    """One daemon's part of the requests that may go to the new version.

    It holds until all requests go there. All daemons keep the limit together without
    communication. `offset`, from 0 to 1, is the fraction of a request that the daemon
    may spend ahead. Where it differs between daemons, the fleet spends its parts evenly
    also if each part is smaller than one request; without it, all daemons would spend
    their first request late and at the same time. A process that started after the
    order gets no part of the slack (`has_extra`), as an earlier process of its VM may
    have spent that.

    >>> budget = ExposureBudget(RolloutTerms(0.1, 50, 5_000))
    >>> [budget.count(), budget.take(n_members=12), budget.take(n_members=12)]
    [None, True, True]
    >>> budget.take(n_members=12)
    False
    """

    def __init__(
        self, terms: RolloutTerms, offset: float = 0.0, *, has_extra: bool = True
    ) -> None:
        self._terms = terms
        self._offset = offset
        self._n_extra = terms.n_exposed_extra if has_extra else 0
        self._n_requests = 0
        self._n_taken = 0
        self._n_step_credit = offset
        self._n_members_max = 1

    def count(self) -> None:
        """Count a request to the service, whichever version it goes to."""
        self._n_requests += 1

    def take(self, n_members: int, portion: Portion = Portion.CANARY) -> bool:
        """Use up one request to the new version and return whether one was available.

        The part of the slack is that of the largest fleet seen, because a daemon that
        is cut off sees fewer members than share the slack.
        """
        self._n_members_max = max(self._n_members_max, n_members)
        if portion is Portion.STEP:
            self._n_step_credit = min(1.0, self._n_step_credit + STEP_RATE)
            if self._n_step_credit < 1.0:
                return False
        extra = self._n_extra / self._n_members_max
        allowed = self._terms.exposure_share * self._n_requests + extra
        if self._n_taken + 1 > _EXPOSURE_SHARES[portion] * allowed + self._offset:
            return False
        self._n_taken += 1
        if portion is Portion.STEP:
            self._n_step_credit -= 1.0
        return True


def exposure_offset(order: RolloutOrder, vm: str, start_id: int) -> float:
    """Return a process's offset for its budget, spread evenly over processes."""
    key = f"exposure/{order.service}/{order.number}"
    return rendezvous.weight(key, f"{vm}/{start_id}") / 2.0**64


def canary_targets(
    service: str, keys: Sequence[tuple[str, str]], n_old: int, exposure_share: float
) -> tuple[tuple[str, str], ...]:
    """Return the new targets that get canary requests, the same on every daemon.

    Their number is such that each gets about as much load as one of the `n_old` old
    targets, because a version that is bad only under load is not detected otherwise.
    """
    share = CANARY_SHARE * exposure_share
    n_targets = round(share * n_old / max(0.01, 1.0 - share))
    return _trial_targets(service, keys, n_targets)


def step_targets(
    service: str, keys: Sequence[tuple[str, str]], n_old: int
) -> tuple[tuple[str, str], ...]:
    """Return the new targets that get requests at the beginning of promotion.

    Each gets as much load as one of the `n_old` old targets had before.
    """
    return _trial_targets(service, keys, round(STEP_RATE * n_old))


def _trial_targets(
    service: str, keys: Sequence[tuple[str, str]], n_targets: int
) -> tuple[tuple[str, str], ...]:
    by_name = {f"{vm}\0{target}": (vm, target) for vm, target in keys}
    names = rendezvous.highest(
        f"canary/{service}", by_name, max(N_CANARY_TARGETS_MIN, n_targets)
    )
    return tuple(by_name[name] for name in names)


__all__ = [
    "CANARY_SHARE",
    "N_CANARY_TARGETS_MIN",
    "STEP_RATE",
    "STEP_SHARE",
    "SUSPECT_SHARE",
    "ExposureBudget",
    "Portion",
    "RolloutTerms",
    "canary_targets",
    "exposure_offset",
    "step_targets",
]
