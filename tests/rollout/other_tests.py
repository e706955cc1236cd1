"""Tests of versions that were weighed against the one in use."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from pepperstair_core.rollout import Portion
from pepperstair_core.rollout.evidence import Increment, Tally
from pepperstair_core.rollout.verdict import BAD_SCORE, SequentialTest

ALL = ""
Counts = dict[tuple[str, bool], Tally]


def add_to(counts: Counts, increments: Iterable[Increment]) -> None:
    """Add increments by route and over all routes."""
    for each in increments:
        for route in (each.route, ALL):
            counts.setdefault((route, each.is_new), Tally()).add(each.tally)


def moments(tally: Tally) -> tuple[float, float]:
    """Return the mean and variance of the logarithm of service times."""
    mean = tally.sum_log_ms / tally.n_timed
    return mean, max(0.05, tally.sum_log2_ms / tally.n_timed - mean * mean)


class OtherTest:
    """A test that knows no doubt between good and bad."""

    is_suspected = False

    def is_doubtful(self) -> bool:
        """Return False: what is not bad is promoted."""
        return False

    def is_cleared(self) -> bool:
        """Return True: what is not bad is promoted."""
        return True

    def is_raised(self) -> bool:
        """Return False: what is not bad is promoted."""
        return False

    def is_slightly_doubtful(self) -> bool:
        """Return False: what is not bad is completed."""
        return False


class CumulativeTest(OtherTest):
    """A test that looks at all counts since the order."""

    def __init__(self, now_ms: float) -> None:
        self.counts: Counts = {}
        self.is_changed = False

    def add(self, increments: Iterable[Increment], now_ms: float) -> None:
        """Add what was counted since the last call."""
        increments = list(increments)
        self.is_changed = bool(increments)
        add_to(self.counts, increments)

    def is_bad(self, portion: Portion) -> bool:
        """Return whether the version is bad on any route or over all."""
        if not self.is_changed:
            return False
        return any(
            self.is_worse(self.counts.get((route, False), Tally()), new)
            for (route, is_new), new in self.counts.items()
            if is_new
        )

    def is_worse(self, old: Tally, new: Tally) -> bool:
        """Return whether the new side is clearly worse than the old one."""
        raise NotImplementedError


class PlainRatioTest(CumulativeTest):
    """Sequential probability ratio test on totals, without intervals and VMs."""

    def is_worse(self, old: Tally, new: Tally) -> bool:
        """Return whether a likelihood ratio says that the new side is bad."""
        old_rate = min(0.8, max(0.01, (old.n_bad + 1) / (old.n_run + 50)))
        bad_rate = old_rate + 0.15
        score = new.n_bad * math.log(bad_rate / old_rate)
        score += (new.n_run - new.n_bad) * math.log((1 - bad_rate) / (1 - old_rate))
        if score >= BAD_SCORE:
            return True
        if old.n_timed < 5 or not new.n_timed:
            return False
        mean, variance = moments(old)
        excess = new.sum_log_ms - new.n_timed * (mean + math.log(3) / 2)
        return math.log(3) / variance * excess >= BAD_SCORE


class ConfidenceSequenceTest(CumulativeTest):
    """Asymptotic confidence sequences of both sides that don't overlap.

    The bound is that of a normal mixture, valid at all times at once.
    """

    alpha = 0.0005
    rho = 0.3

    def radius(self, n: float, variance: float) -> float:
        """Return half the width of the sequence after n outcomes."""
        scaled = n * self.rho**2 + 1
        width = 2 * scaled / (n * self.rho) ** 2
        return math.sqrt(variance * width * math.log(math.sqrt(scaled) / self.alpha))

    def is_worse(self, old: Tally, new: Tally) -> bool:
        """Return whether the lower bound of one is above the upper one of the other."""
        if old.n_run < 5:
            return False
        rates = [(each.n_bad + 0.5) / (each.n_run + 1) for each in (old, new)]
        radii = [
            self.radius(each.n_run, max(0.02, rate * (1 - rate)))
            for each, rate in zip((old, new), rates, strict=True)
        ]
        if rates[1] - radii[1] > rates[0] + radii[0]:
            return True
        if old.n_timed < 5 or new.n_timed < 5:
            return False
        (old_mean, old_variance), (mean, variance) = moments(old), moments(new)
        distance = mean - old_mean - math.log(2)
        radius = self.radius(new.n_timed, variance)
        return distance > radius + self.radius(old.n_timed, old_variance)


class WindowTest(OtherTest):
    """Fixed windows: a threshold on the difference within each."""

    window_ms = 2_000
    n_run_min = 10

    def __init__(self, now_ms: float) -> None:
        self.kept: deque[tuple[float, list[Increment]]] = deque()

    def add(self, increments: Iterable[Increment], now_ms: float) -> None:
        """Add what was counted since the last call and drop what is too old."""
        self.kept.append((now_ms, list(increments)))
        while self.kept[0][0] < now_ms - self.window_ms:
            self.kept.popleft()

    def is_bad(self, portion: Portion) -> bool:
        """Return whether the version is bad on any route or over all."""
        if not self.kept[-1][1]:
            return False
        counts: Counts = {}
        for _, increments in self.kept:
            add_to(counts, increments)
        return any(
            self.is_worse(counts.get((route, False), Tally()), new)
            for (route, is_new), new in counts.items()
            if is_new
        )

    def is_worse(self, old: Tally, new: Tally) -> bool:
        """Return whether the difference is above the threshold."""
        if new.n_run < self.n_run_min:
            return False
        old_rate = old.n_bad / old.n_run if old.n_run else 0.0
        if new.n_bad / new.n_run >= old_rate + 0.15:
            return True
        if old.n_timed < 5 or new.n_timed < 5:
            return False
        return moments(new)[0] - moments(old)[0] >= math.log(3)


WAYS: dict[str, Callable[[float], Any]] = {
    "in use": SequentialTest,
    "plain ratio test": PlainRatioTest,
    "windows": WindowTest,
    "confidence sequence": ConfidenceSequenceTest,
}

__all__ = ["WAYS"]
