"""The sequential test that decides whether a new version is bad.

The evidence is cut into intervals. In each one, the outcomes of the new version are
compared with those of the old version on the same route at about the same time, so that
a fault that concerns both versions doesn't count against the new one. The logarithms of
the likelihood ratios of all intervals are added up.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Final

from msgspec import Struct

from .evidence import Increment, Tally
from .excess import Excess
from .exposure import Portion

# A version is bad beyond this score: error rate of 1 in 1,000.
BAD_SCORE: Final = math.log(1_000)
# The same while evidence of the old version may still be on its way.
UNSETTLED_BAD_SCORE: Final = 2 * BAD_SCORE
# From these scores on, in total and without the worst target, a version isn't promoted
# or completed, because too little was counted to clear it. Over all routes, requests of
# a single target suffice for doubt, as there may be too few for a second one.
DOUBTFUL_IN_ALL: Final = (5.0, -1.0)
DOUBTFUL_ON_ROUTE: Final = (5.0, 3.0)
# A version that may be slower gets more requests, to confirm or clear it.
SUSPECTED_SLOW: Final = (0.5, -2.5)
# During promotion, evidence of a good version soon clears a lighter doubt.
SLIGHTLY_DOUBTFUL: Final = (1.5, 0.5)
# The score doesn't fall below this, so that a version that becomes bad some time after
# its start is still detected soon.
SCORE_MIN: Final = -math.log(100)
INTERVAL_MS: Final = 500
# Difference between the failure rates of a bad version and the old one.
RATE_DIFFERENCE: Final = 0.2
# The lowest failure rate that is assumed of the old version.
RATE_MIN: Final = 0.01
# With fewer requests of the old version near an interval, earlier ones stand for it.
N_OLD_RUN_MIN: Final = 20
# The old version's failure rate changes if it differs by more between intervals.
RATE_CHANGE: Final = 0.2
N_ERRORS_OF_CHANGE: Final = 3.0
# Above this failure rate of the old version, nothing is concluded from failures.
RATE_MAX: Final = 0.7
# Logarithm of the ratio of service times from which a version is too slow, and the
# distance of both hypotheses from it.
LOG_RATIO: Final = math.log(3)
LOG_RATIO_MARGIN: Final = 0.5
# The least variance of the logarithm of service times. Targets of one version differ in
# speed, so their service times don't vary independently.
LOG_VARIANCE_MIN: Final = 0.25
N_TIMED_MIN: Final = 5
# Share of the old version's recent outcomes that remains after each interval, and after
# one in which its failure rate has changed. They stand for the old version where no
# requests go to it.
_RECENT_KEPT: Final = 0.85
_RECENT_KEPT_AFTER_CHANGE: Final = 0.2
# Number of the old version's last intervals that show a fault just before promotion.
_N_LATEST: Final = 2
# Weights of prior knowledge, as numbers of requests: of a usual failure rate, of that
# over all routes, and of the recent rate of the route.
_N_PRIOR_RUN: Final = 10
_N_ALL_ROUTES_RUN: Final = 20
_N_RECENT_RUN: Final = 20

FAILING: Final = "failing"
SLOW: Final = "slow"
FAULTS: Final = (FAILING, SLOW)
# Scores that the other targets must reach without the worst one, so that one faulty
# target doesn't condemn its version: more than one failure or three slow answers.
CONFIRMING_SCORES: Final = {FAILING: 3.3, SLOW: 6.0}
# The score over all routes is kept under this key, which is no route's name.
ALL_ROUTES: Final = ""
_NOTHING: Final = Tally()


class Score(Struct):
    """The sum of log-likelihood ratios, in total and by VM of the new targets."""

    total: float = 0.0
    by_vm: dict[str, float] = {}

    def add(self, ratios: dict[str, float]) -> None:
        """Add the log-likelihood ratios of an interval by VM."""
        self.total = max(SCORE_MIN, self.total + sum(ratios.values()))
        for vm, ratio in ratios.items():
            self.by_vm[vm] = max(SCORE_MIN, self.by_vm.get(vm, 0.0) + ratio)

    def copy(self) -> Score:
        """Return a copy that can be changed independently."""
        return Score(self.total, dict(self.by_vm))

    def reaches(self, total_min: float, rest_min: float) -> bool:
        """Return whether the scores in total and without the worst target do."""
        return self.total >= total_min and self._rest() >= rest_min

    def _rest(self) -> float:
        return self.total - max(self.by_vm.values())


class _Interval(Struct):
    old: dict[str, Tally] = {}
    new: dict[str, dict[str, Tally]] = {}

    def add(self, increment: Increment) -> None:
        if increment.is_new:
            by_vm = self.new.setdefault(increment.route, {})
            by_vm.setdefault(increment.vm, Tally()).add(increment.tally)
        else:
            self.old.setdefault(increment.route, Tally()).add(increment.tally)


Scores = dict[tuple[str, str], Score]


class SequentialTest:
    """Sequential probability ratio test of a new version against the old one.

    An interval is judged when the next one has ended, because evidence of the old
    version may arrive later than that of the new one. Where no requests go to the old
    version any more, there is nothing to wait for.

    `is_suspected` states whether more requests are needed for a decision.
    """

    def __init__(self, now_ms: float) -> None:
        self._opened_ms = now_ms
        self._before = _Interval()
        self._closed = _Interval()
        self._open = _Interval()
        self._recent: dict[str, Tally] = {}
        self._latest: deque[Tally] = deque(maxlen=_N_LATEST)
        self._scores: Scores = {}
        # The scores with the intervals that are not settled yet, None if outdated.
        self._unsettled: Scores | None = None
        self._excess = Excess()
        self._unsettled_excess = Excess()
        self._new_vms: set[str] = set()
        self.is_suspected = False

    def add(self, increments: Iterable[Increment], now_ms: float) -> None:
        """Add what was counted since the last call."""
        if now_ms >= self._opened_ms + INTERVAL_MS:
            self._close(now_ms)
            self._unsettled = None
        for increment in increments:
            self._open.add(increment)
            self._unsettled = None
            if increment.is_new:
                self._new_vms.add(increment.vm)

    def is_bad(self, portion: Portion) -> bool:
        """Return whether the new version is bad, while it gets a portion of requests.

        In promotion, intervals that are not settled count as well. While the old
        version gets requests too, they need a higher score, as its evidence may still
        be on its way.
        """
        if portion is Portion.ALL:
            return self._reaches(self.scores(is_promoting=True), BAD_SCORE)
        is_step = portion is Portion.STEP
        return self._reaches(self._scores, BAD_SCORE) or (
            is_step
            and self._reaches(self.scores(is_promoting=True), UNSETTLED_BAD_SCORE)
        )

    def is_doubtful(self) -> bool:
        """Return whether there is bad evidence, though too little for a verdict."""
        for (fault, route), score in self.scores(is_promoting=True).items():
            total_min, rest_min = (
                DOUBTFUL_IN_ALL if route == ALL_ROUTES else DOUBTFUL_ON_ROUTE
            )
            if score.reaches(total_min, self._rest_min(fault, route, rest_min)):
                return True
        return False

    def _reaches(self, scores: Scores, score_min: float) -> bool:
        has_others = len(self._new_vms) > 1
        return any(
            score.reaches(
                score_min,
                self._rest_min(fault, route, CONFIRMING_SCORES[fault])
                if has_others
                else 0.0,
            )
            for (fault, route), score in scores.items()
        )

    def _rest_min(self, fault: str, route: str, usual: float) -> float:
        """Return the score that the targets must reach without the worst one.

        If the worst target may be faulty itself, the others must be bad on their own.
        """
        if fault == FAILING and self._excess.has_faulty_target(route):
            return BAD_SCORE
        return usual

    def is_cleared(self) -> bool:
        """Return whether the version may replace the old one."""
        return not (self.is_doubtful() or self._unsettled_excess.is_high())

    def is_raised(self) -> bool:
        """Return whether the version is rather bad than good, though not decided."""
        self.scores(is_promoting=True)
        return self._unsettled_excess.is_raised()

    def is_slightly_doubtful(self) -> bool:
        """Return whether more evidence is needed to clear the version."""
        scores = self.scores(is_promoting=True).values()
        return any(score.reaches(*SLIGHTLY_DOUBTFUL) for score in scores)

    def scores(self, is_promoting: bool) -> Scores:
        """Return the score of each kind of fault and route."""
        if not is_promoting:
            return self._scores
        if self._unsettled is None:
            scores = {key: score.copy() for key, score in self._scores.items()}
            excess = self._excess.copy()
            around = (self._before, self._closed, self._open)
            self._judge(scores, excess, self._closed, around)
            self._judge(scores, excess, self._open, (self._closed, self._open))
            self._unsettled, self._unsettled_excess = scores, excess
        return self._unsettled

    def excess(self) -> dict[str, float]:
        """Return the excess of the failure rate by route, as far as it is settled."""
        return {route: round(rate, 3) for route, rate in self._excess.rates()}

    def _close(self, now_ms: float) -> None:
        around = (self._before, self._closed, self._open)
        self._judge(self._scores, self._excess, self._closed, around)
        self.is_suspected = self._excess.is_undecided() or any(
            score.reaches(*SUSPECTED_SLOW)
            for (fault, _), score in self._scores.items()
            if fault == SLOW
        )
        self._keep_recent()
        self._before, self._closed, self._open = self._closed, self._open, _Interval()
        self._opened_ms = now_ms

    def _keep_recent(self) -> None:
        """Add the open interval to the old version's recent outcomes."""
        if not self._open.old:
            return
        in_all = _sum(self._open.old.values())
        before = self._recent.get(ALL_ROUTES, in_all)
        change = abs(in_all.n_bad / in_all.n_run - before.n_bad / before.n_run)
        is_changed = change > RATE_CHANGE
        kept = _RECENT_KEPT_AFTER_CHANGE if is_changed else _RECENT_KEPT
        self._latest.append(in_all)
        for tally in self._recent.values():
            tally.scale(kept)
        for route, tally in (*self._open.old.items(), (ALL_ROUTES, in_all)):
            self._recent.setdefault(route, Tally()).add(tally)

    def _judge(
        self,
        scores: Scores,
        excess: Excess,
        judged: _Interval,
        around: tuple[_Interval, ...],
    ) -> None:
        """Add to the scores what an interval says, given those around it."""
        is_changing = _is_changing(around)
        n_old_run = sum(_sum(each.old.values()).n_run for each in around)
        has_old = n_old_run >= N_OLD_RUN_MIN
        in_all: dict[tuple[str, str], float] = {}
        for route, by_vm in judged.new.items():
            old = [each.old[route] for each in around if route in each.old]
            rate = self._rate(route, around, is_changing, has_old)
            for vm, new in by_vm.items():
                excess.add(route, vm, new.n_run, new.n_bad, rate)
            for fault, ratios in self._ratios(route, by_vm, old, rate, has_old):
                scores.setdefault((fault, route), Score()).add(ratios)
                for vm, ratio in ratios.items():
                    in_all[(fault, vm)] = in_all.get((fault, vm), 0.0) + ratio
        for fault in FAULTS:
            ratios = {
                vm: ratio for (name, vm), ratio in in_all.items() if name == fault
            }
            if ratios:
                scores.setdefault((fault, ALL_ROUTES), Score()).add(ratios)

    def _ratios(
        self,
        route: str,
        by_vm: dict[str, Tally],
        old: list[Tally],
        rate: float,
        has_old: bool,
    ) -> Iterator[tuple[str, dict[str, float]]]:
        """Yield each kind of fault with the log-likelihood ratios of a route by VM.

        `rate` is the failure rate of the old version.
        """
        if has_old:
            # A route may have few requests.
            rate += 0.5 * _standard_error(_sum(old))
        known = _sum([*old, self._recent.get(route, _NOTHING)])
        yield FAILING, {vm: _failing_ratio(new, rate) for vm, new in by_vm.items()}
        yield SLOW, {vm: _slow_ratio(new, known) for vm, new in by_vm.items()}

    def _rate(
        self,
        route: str,
        around: tuple[_Interval, ...],
        is_changing: bool,
        has_old: bool,
    ) -> float:
        """Return the failure rate of the old version on a route at some time."""
        recent = self._recent.get(route, _NOTHING)
        in_all = self._recent.get(ALL_ROUTES, _NOTHING)
        if not has_old:
            return _last_rate(recent, in_all, _sum(self._latest))
        tallies = [
            (each.old.get(route, _NOTHING), _sum(each.old.values())) for each in around
        ]
        if not is_changing:
            on_route, on_all = zip(*tallies, strict=True)
            tallies = [(_sum(on_route), _sum(on_all))]
        return _old_rate(tallies, recent, in_all)


def _sum(tallies: Iterable[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total.add(tally)
    return total


def _old_rate(
    tallies: list[tuple[Tally, Tally]], recent: Tally, in_all: Tally
) -> float:
    """Return the failure rate of the old version on a route at some time.

    `tallies` are those of the route and of all routes in the intervals around that
    time. While the rate changes, it is the highest of these intervals, because evidence
    of both versions is not delayed equally. A route with few requests is expected to
    have changed like all routes.
    """
    recent_rate = _recent_rate(recent, in_all)
    all_rate = _rate_with_prior(in_all, RATE_MIN, _N_PRIOR_RUN)
    rates = (
        _rate_with_prior(
            on_route,
            recent_rate + _rate_with_prior(on_all, all_rate, _N_PRIOR_RUN) - all_rate,
            _N_RECENT_RUN,
        )
        for on_route, on_all in tallies
    )
    return min(1.0, max(RATE_MIN, *rates))


def _last_rate(recent: Tally, in_all: Tally, latest: Tally) -> float:
    """Return the failure rate of the old version that gets hardly any requests.

    It is estimated high, because little shows how the old version would fare now.
    """
    latest_rate = _rate_with_prior(latest, RATE_MIN, _N_PRIOR_RUN)
    return max(
        RATE_MIN,
        _recent_rate(recent, in_all) + _standard_error(in_all),
        latest_rate + _standard_error(latest),
    )


def _recent_rate(recent: Tally, in_all: Tally) -> float:
    all_rate = _rate_with_prior(in_all, RATE_MIN, _N_PRIOR_RUN)
    return _rate_with_prior(recent, all_rate, _N_ALL_ROUTES_RUN)


def _is_changing(around: tuple[_Interval, ...]) -> bool:
    """Return whether the old version's failure rate over all routes changes."""
    totals = [_sum(each.old.values()) for each in around if each.old]
    if not totals:
        return False
    highest = max(totals, key=_bad_share)
    lowest = min(totals, key=_bad_share)
    in_all = _sum([highest, lowest])
    variance = _bad_share(in_all) * (1.0 - _bad_share(in_all))
    error = math.sqrt(variance * (1.0 / highest.n_run + 1.0 / lowest.n_run))
    change = _bad_share(highest) - _bad_share(lowest)
    return change > max(RATE_CHANGE, N_ERRORS_OF_CHANGE * error)


def _bad_share(tally: Tally) -> float:
    return tally.n_bad / tally.n_run


def _standard_error(tally: Tally) -> float:
    if not tally.n_run:
        return 0.0
    rate = tally.n_bad / tally.n_run
    return math.sqrt(rate * (1.0 - rate) / tally.n_run)


def _rate_with_prior(tally: Tally, prior_rate: float, n_prior_run: int) -> float:
    return (tally.n_bad + n_prior_run * prior_rate) / (tally.n_run + n_prior_run)


def _failing_ratio(new: Tally, old_rate: float) -> float:
    """Return the log-likelihood ratio of a higher failure rate of the new version."""
    if old_rate > RATE_MAX:
        return 0.0
    bad_rate = old_rate + RATE_DIFFERENCE
    of_bad = math.log(bad_rate / old_rate)
    of_good = math.log((1.0 - bad_rate) / (1.0 - old_rate))
    return new.n_bad * of_bad + (new.n_run - new.n_bad) * of_good


def _slow_ratio(new: Tally, known: Tally) -> float:
    """Return the log-likelihood ratio of longer service times of the new version.

    `known` are the outcomes of the old version that are known.
    """
    if known.n_timed < N_TIMED_MIN or not new.n_timed:
        return 0.0
    mean = known.sum_log_ms / known.n_timed
    variance = known.sum_log2_ms / known.n_timed - mean * mean
    excess = new.sum_log_ms - new.n_timed * (mean + LOG_RATIO)
    return 2.0 * LOG_RATIO_MARGIN / max(LOG_VARIANCE_MIN, variance) * excess


__all__ = [
    "ALL_ROUTES",
    "BAD_SCORE",
    "CONFIRMING_SCORES",
    "INTERVAL_MS",
    "Score",
    "Scores",
    "SequentialTest",
]
