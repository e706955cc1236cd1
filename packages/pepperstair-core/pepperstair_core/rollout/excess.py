"""How many more requests fail on the new version than on the old one.

The estimate adds up what each interval says about each route, so a fault of both
versions changes it as little as the sequential test. It needs fewer requests for a
decision at a set time, while the sequential test may decide at any time.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

# Excess of the failure rate from which a version isn't cleared: half of what makes a
# version bad, where a good and a bad version are mistaken for each other equally often.
EXCESS_MIN: Final = 0.1
# Excess that needs more requests to be confirmed or cleared.
SUSPECT_MIN: Final = 0.05
# Standard errors by which the excess must differ from zero, over all routes and on one
# of them, which may have few requests.
N_ERRORS_MIN: Final = 2.5
N_ERRORS_ON_ROUTE_MIN: Final = 4.0
# The same for a version that is rather bad than good.
N_ERRORS_RAISED: Final = 1.0
N_ERRORS_RAISED_ON_ROUTE: Final = 2.0
# Least numbers of failures beyond those of the old version: to suspect the new version,
# to confirm that without the worst target, and to judge it by all targets.
N_SUSPECT_MIN: Final = 0.5
N_CONFIRMING_MIN: Final = 1.5
N_EXCESS_MIN: Final = 2.5
# Requests on other routes that show whether a target is faulty itself.
N_ELSEWHERE_MIN: Final = 5


class _Part(Struct):
    """Requests, failures beyond those of the old version, and their variance."""

    n_run: float = 0.0
    n_excess: float = 0.0
    variance: float = 0.0

    def add(self, other: _Part) -> None:
        self.n_run += other.n_run
        self.n_excess += other.n_excess
        self.variance += other.variance

    def is_excess(self, rate_min: float, n_min: float, n_errors_min: float) -> bool:
        least = max(rate_min * self.n_run, n_min, n_errors_min * self.n_errors())
        return self.n_excess >= least

    def rate(self) -> float:
        return self.n_excess / self.n_run if self.n_run else 0.0

    def n_errors(self) -> float:
        return math.sqrt(max(0.0, self.variance))


class Excess:
    """Failures of the new version beyond those that the old one would have had.

    They are kept by route and by VM of the new targets. A target that fails on several
    routes is faulty itself and doesn't count where it is the worst one.

    >>> excess = Excess()
    >>> excess.add("read", "vm-1", n_run=40, n_bad=12, old_rate=0.01)
    >>> excess.is_high()
    False
    >>> excess.add("read", "vm-2", n_run=40, n_bad=12, old_rate=0.01)
    >>> excess.is_high()
    True
    """

    def __init__(self) -> None:
        self._by_route: dict[str, dict[str, _Part]] = {}

    def add(
        self, route: str, vm: str, n_run: float, n_bad: float, old_rate: float
    ) -> None:
        """Add the outcomes of a route on a VM during an interval.

        `old_rate` is the failure rate of the old version in that interval.
        """
        variance = n_run * old_rate * (1.0 - old_rate)
        part = _Part(n_run, n_bad - n_run * old_rate, variance)
        self._by_route.setdefault(route, {}).setdefault(vm, _Part()).add(part)

    def copy(self) -> Excess:
        """Return a copy that can be changed independently."""
        copy = Excess()
        for route, by_vm in self._by_route.items():
            copy._by_route[route] = {vm: replace(part) for vm, part in by_vm.items()}
        return copy

    def rates(self) -> Iterator[tuple[str, float]]:
        """Yield each route with the excess of the failure rate on it."""
        for route, by_vm in self._by_route.items():
            yield route, _sum(by_vm).rate()

    def is_high(self) -> bool:
        """Return whether the version fails so often that it can't be cleared."""
        by_vm = self._in_all()
        total, rest = _sum(by_vm), _sum(by_vm, without=_worst(by_vm))
        is_high_in_all = total.is_excess(
            EXCESS_MIN, N_EXCESS_MIN, N_ERRORS_MIN
        ) and rest.is_excess(SUSPECT_MIN, N_CONFIRMING_MIN, 0.0)
        return is_high_in_all or any(
            part.is_excess(
                EXCESS_MIN,
                N_CONFIRMING_MIN if has_faulty else N_EXCESS_MIN,
                N_ERRORS_ON_ROUTE_MIN,
            )
            for part, has_faulty in self._on_routes()
        )

    def is_raised(self) -> bool:
        """Return whether the version is rather bad than good, though undecided."""
        by_vm = self._in_all()
        rest = _sum(by_vm, without=_worst(by_vm))
        return rest.is_excess(SUSPECT_MIN, N_CONFIRMING_MIN, N_ERRORS_RAISED) or any(
            part.is_excess(SUSPECT_MIN, N_CONFIRMING_MIN, N_ERRORS_RAISED_ON_ROUTE)
            for part, _ in self._on_routes()
        )

    def is_undecided(self) -> bool:
        """Return whether more requests are needed to tell if the excess is high."""
        total = _sum(self._in_all())
        margin = abs(total.n_excess - EXCESS_MIN * total.n_run)
        return margin < N_ERRORS_MIN * math.sqrt(total.variance) or any(
            part.is_excess(SUSPECT_MIN, N_SUSPECT_MIN, 0.0)
            for part, _ in self._on_routes()
        )

    def has_faulty_target(self, route: str) -> bool:
        """Return whether the worst target on a route may be faulty itself.

        It is if it fails on other routes as well, and may be if it hardly ran others.
        """
        by_vm = self._by_route.get(route, {})
        worst = _worst(by_vm)
        if worst is None:
            return False
        elsewhere = _Part()
        for other, parts in self._by_route.items():
            if other != route and worst in parts:
                elsewhere.add(parts[worst])
        is_faulty = elsewhere.is_excess(EXCESS_MIN, N_CONFIRMING_MIN, 0.0)
        return is_faulty or elsewhere.n_run < N_ELSEWHERE_MIN

    def _in_all(self) -> dict[str, _Part]:
        in_all: dict[str, _Part] = {}
        for by_vm in self._by_route.values():
            for vm, part in by_vm.items():
                in_all.setdefault(vm, _Part()).add(part)
        return in_all

    def _on_routes(self) -> Iterator[tuple[_Part, bool]]:
        """Yield each route's sum, and whether it leaves a faulty target out."""
        for route, by_vm in self._by_route.items():
            is_faulty = self.has_faulty_target(route)
            yield _sum(by_vm, without=_worst(by_vm) if is_faulty else None), is_faulty


def _sum(by_vm: dict[str, _Part], without: str | None = None) -> _Part:
    total = _Part()
    for vm, part in by_vm.items():
        if vm != without:
            total.add(part)
    return total


def _worst(by_vm: dict[str, _Part]) -> str | None:
    return max(by_vm, key=lambda vm: by_vm[vm].n_excess, default=None)


__all__ = ["Excess"]
