"""The phases of a rollout."""

from __future__ import annotations

from typing import Any, Final

from msgspec import Struct

from .evidence import EvidenceStore
from .exposure import Portion, RolloutTerms
from .records import Evidence, Phase, RolloutOrder, RolloutState
from .verdict import ALL_ROUTES, SequentialTest

# Time before the deadline at which promotion begins.
RESERVE_MS: Final = 2_500
RESERVE_SHARE: Final = 0.2
RESERVE_SHARE_MAX: Final = 0.4
# Time before the deadline until which the test continues during promotion, at most this
# share of the reserve. The remainder is the time to write that the rollout is
# completed, also if the first writer is dead or the store is slow.
COMPLETION_MS: Final = 700
COMPLETION_SHARE_MAX: Final = 0.4
# A version in doubt is completed or rolled back at this time before the deadline.
COMPLETION_LATEST_MS: Final = 300
# The least time for the test during promotion. Evidence takes up to half of it to reach
# other daemons. Promotion doesn't begin if it would end later than `COMPLETION_MS` / 2
# before the deadline.
PROMOTION_TEST_MS: Final = 1_000
# Time before the deadline from which all requests may go to the new version, and the
# bounds of that time as shares of the reserve. Until then, the old version gets enough
# requests to tell a bad version from a fault of both.
REPLACEMENT_MS: Final = 1_000
REPLACEMENT_SHARE: Final = 0.4
REPLACEMENT_SHARE_MAX: Final = 0.6
# The least time of promotion before all requests go to the new version, at most this
# share of the reserve.
STEP_MS: Final = 600
STEP_SHARE_MAX: Final = 0.4
# Time before the end of the time for a rollback at which a version that isn't cleared
# is rolled back. It covers the way of the evidence and of the verdict.
DECISION_MARGIN_MS: Final = 1_500
# Share of the old targets' slots that the new ones must have before promotion.
NEW_SLOTS_SHARE_MIN: Final = 0.5


class RolloutFleet(Struct, frozen=True):
    """The targets of the service as a daemon sees them.

    `vms_with_old` are the usable members with targets of other versions.
    """

    vms_with_old: frozenset[str]
    n_old_slots: int
    n_new_slots: int


class Rollout:
    """One order as one process of a daemon sees it.

    `phase` is the phase that was last agreed on: callers merge what was written to the
    agreed row, and never what a daemon only proposes, since another one may have
    written a different final phase. A process acts on its own verdict before that by
    `is_suspended`.
    """

    def __init__(
        self,
        order: RolloutOrder,
        age_ms: int,
        now_ms: float,
        terms: RolloutTerms,
        vm: str,
        start_id: int,
    ) -> None:
        self.order = order
        self.phase = Phase.CANARY
        self.terms = terms
        self._ordered_ms = now_ms - age_ms
        self._store = EvidenceStore(order, vm, start_id)
        self._test = SequentialTest(now_ms)
        self._is_bad = False
        self._is_replacing = False
        self._promoting_ms: float | None = None
        self._n_bad = 0.0
        # When so many bad answers were known that the time for a rollback began.
        self._many_bad_ms: float | None = None

    @property
    def is_suspended(self) -> bool:
        """Return whether no request may go to the new version for now."""
        if self.phase.is_final:
            return self.phase is Phase.ROLLED_BACK
        return self._is_bad

    @property
    def portion(self) -> Portion:
        """Return the part of the requests that goes to the new version for now."""
        if self.is_suspended:
            return Portion.NONE
        if self.phase is Phase.CANARY:
            return Portion.SUSPECT if self._test.is_suspected else Portion.CANARY
        is_all = self.phase is Phase.COMPLETED or self._is_replacing
        return Portion.ALL if is_all else Portion.STEP

    def state(self, now_ms: float) -> RolloutState:
        """Return the order with its phase and age, to be sent to other daemons."""
        return RolloutState(self.order, self.phase, int(self._age_ms(now_ms)))

    def record(
        self,
        route: str,
        is_new: bool,
        is_bad: bool,
        service_ms: float | None,
        is_cold: bool,
    ) -> None:
        """Count the outcome of a request at a target of this VM.

        The service time of a bad answer says nothing about the version's speed, nor
        does that of a cold target. Failures of a cold target are evidence.
        """
        is_timed = not (is_bad or is_cold)
        self._store.record(route, is_new, is_bad, service_ms if is_timed else None)

    def state_start(self) -> None:
        """Let others know that this process has begun in the middle of the order."""
        self._store.state_start()

    def own_evidence(self) -> Evidence | None:
        """Return this process's evidence if it has changed since it was last taken."""
        return self._store.take_own()

    def all_evidence(self) -> tuple[Evidence, ...]:
        """Return all evidence, to be sent to a daemon that may lack it."""
        return self._store.all()

    def merge(self, evidence: Evidence) -> bool:
        """Merge evidence of another process and return whether it was new."""
        return self._store.merge(evidence)

    def merge_phase(self, phase: Phase) -> bool:
        """Adopt a higher phase and return whether it did; a final phase stays."""
        if self.phase.is_final or phase <= self.phase:
            return False
        self.phase = phase
        return True

    def set_old_running(self, n: int | None) -> None:
        """State how many requests run at old targets, None while these accept more."""
        self._store.set_old_running(n)

    def proposal(self, now_ms: float, fleet: RolloutFleet) -> Phase | None:
        """Return the next phase to write, or None if the phase stays."""
        if self.phase.is_final:
            return None
        increments = self._store.take_increments()
        self._test.add(increments, now_ms)
        self._n_bad += sum(each.tally.n_bad for each in increments if each.is_new)
        if self._n_bad >= self.terms.n_bad_max and self._many_bad_ms is None:
            self._many_bad_ms = now_ms
        is_promoting = self.phase is Phase.PROMOTING
        self._is_bad = (
            self._is_bad
            or self._test.is_bad(self.portion)
            or (self._is_due(now_ms) and not self._test.is_cleared())
        )
        if self._is_bad:
            return Phase.ROLLED_BACK
        if is_promoting:
            return self._after_promoting(now_ms, fleet)
        return self._after_canary(now_ms, fleet)

    def explain(self, now_ms: float) -> dict[str, Any]:
        """Return the counts, scores and phase for operators."""
        scores = self._test.scores(self.phase is Phase.PROMOTING)
        return {
            "service": self.order.service,
            "target_version": self.order.target_version,
            "number": self.order.number,
            "phase": self.phase.name.lower(),
            "portion": self.portion.name.lower(),
            "is_suspended": self.is_suspended,
            "left_ms": max(0, int(self.order.duration_ms - self._age_ms(now_ms))),
            "counts": [
                {
                    "route": route,
                    "side": "new" if is_new else "old",
                    "n_run": int(tally.n_run),
                    "n_bad": int(tally.n_bad),
                    "n_timed": int(tally.n_timed),
                }
                for (route, is_new), tally in sorted(self._store.totals().items())
            ],
            "excess": self._test.excess(),
            "scores": [
                {
                    "fault": fault,
                    "route": None if route == ALL_ROUTES else route,
                    "score": round(score.total, 2),
                }
                for (fault, route), score in sorted(scores.items())
            ],
        }

    def _age_ms(self, now_ms: float) -> float:
        return max(0.0, now_ms - self._ordered_ms)

    def _is_due(self, now_ms: float) -> bool:
        """Return whether the time after many bad answers has nearly ended."""
        if self._many_bad_ms is None or self._is_replacing:
            return False
        return now_ms >= self._many_bad_ms + self.terms.rollback_ms - DECISION_MARGIN_MS

    def _reserve_ms(self) -> float:
        duration_ms = self.order.duration_ms
        reserve_ms = max(RESERVE_MS, RESERVE_SHARE * duration_ms)
        return min(reserve_ms, RESERVE_SHARE_MAX * duration_ms)

    def _completion_ms(self) -> float:
        return min(COMPLETION_MS, COMPLETION_SHARE_MAX * self._reserve_ms())

    def _replacement_ms(self) -> float:
        reserve_ms = self._reserve_ms()
        least_ms = min(REPLACEMENT_MS, REPLACEMENT_SHARE_MAX * reserve_ms)
        return max(least_ms, REPLACEMENT_SHARE * reserve_ms)

    def _after_canary(self, now_ms: float, fleet: RolloutFleet) -> Phase | None:
        left_ms = self.order.duration_ms - self._age_ms(now_ms)
        if left_ms <= 0.0:
            return Phase.ROLLED_BACK
        left_min_ms = self._completion_ms() / 2 + PROMOTION_TEST_MS
        if not min(left_min_ms, self._reserve_ms()) <= left_ms <= self._reserve_ms():
            return None
        n_slots_min = max(1.0, NEW_SLOTS_SHARE_MIN * fleet.n_old_slots)
        if fleet.n_new_slots < n_slots_min or self._test.is_doubtful():
            return None
        return Phase.PROMOTING

    def _may_replace(self, now_ms: float, left_ms: float) -> bool:
        """Return whether all requests may go to the new version from now on.

        With the deadline near, less evidence is needed for that.
        """
        step_ms = min(STEP_MS, STEP_SHARE_MAX * self._reserve_ms())
        is_early = now_ms < self._promoting_ms + step_ms
        if is_early or left_ms > self._replacement_ms() or not self._test.is_cleared():
            return False
        if left_ms > self._completion_ms():
            return not self._test.is_suspected
        return left_ms <= COMPLETION_LATEST_MS or not self._test.is_raised()

    def _after_promoting(self, now_ms: float, fleet: RolloutFleet) -> Phase | None:
        if self._promoting_ms is None:
            self._promoting_ms = now_ms
        left_ms = self.order.duration_ms - self._age_ms(now_ms)
        self._is_replacing = self._is_replacing or self._may_replace(now_ms, left_ms)
        test_ms = min(PROMOTION_TEST_MS, self._reserve_ms() - self._completion_ms())
        is_tested = now_ms >= self._promoting_ms + test_ms or left_ms <= 0.0
        if left_ms > self._completion_ms() or not is_tested:
            return None
        if left_ms > COMPLETION_LATEST_MS:
            if self._test.is_slightly_doubtful():
                return None
        elif not self._test.is_cleared():
            self._is_bad = True
            return Phase.ROLLED_BACK
        is_drained = all(
            self._store.n_old_running(vm) == 0 for vm in fleet.vms_with_old
        )
        return Phase.COMPLETED if is_drained else None


__all__ = ["Rollout", "RolloutFleet"]
