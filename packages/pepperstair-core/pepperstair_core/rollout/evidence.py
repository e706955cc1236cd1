"""Counts of outcomes by process, route and version, and their merging.

The counts of a process only grow. Evidence with the highest sequence number of a
process replaces what was known of it, so lost, repeated and reordered messages don't
change the result.
"""

from __future__ import annotations

import math
from typing import Final

from msgspec import Struct

from .records import Evidence, RolloutOrder, RouteCounts

# Service times below this, which a coarse clock may measure as 0, count as this.
_SERVICE_MS_MIN: Final = 0.01


class Tally(Struct):
    """Outcomes of requests, with the moments of the logarithm of service times."""

    n_run: float = 0
    n_bad: float = 0
    n_timed: float = 0
    sum_log_ms: float = 0.0
    sum_log2_ms: float = 0.0

    def add(self, other: Tally, factor: float = 1) -> None:
        """Add the outcomes of another tally, multiplied by a factor."""
        self.n_run += factor * other.n_run
        self.n_bad += factor * other.n_bad
        self.n_timed += factor * other.n_timed
        self.sum_log_ms += factor * other.sum_log_ms
        self.sum_log2_ms += factor * other.sum_log2_ms

    def scale(self, factor: float) -> None:
        """Multiply every count by a factor."""
        self.add(self, factor - 1)


class Increment(Struct, frozen=True):
    """Outcomes on one VM that were not known before."""

    vm: str
    route: str
    is_new: bool
    tally: Tally


class EvidenceStore:
    """The evidence of all processes on an order, as far as this process knows it."""

    def __init__(self, order: RolloutOrder, vm: str, start_id: int) -> None:
        self._order = order
        self._vm = vm
        self._start_id = start_id
        self._own_tallies: dict[tuple[str, bool], Tally] = {}
        self._n_old_running = -1
        self._sequence = 0
        self._is_changed = False
        self._is_taken = True
        self._known: dict[tuple[str, int], Evidence] = {}
        self._increments: list[Increment] = []

    def record(
        self, route: str, is_new: bool, is_bad: bool, service_ms: float | None
    ) -> None:
        """Count the outcome of a request at a target of this VM."""
        tally = self._own_tallies.setdefault((route, is_new), Tally())
        tally.n_run += 1
        tally.n_bad += is_bad
        if service_ms is not None:
            log_ms = math.log(max(_SERVICE_MS_MIN, service_ms))
            tally.n_timed += 1
            tally.sum_log_ms += log_ms
            tally.sum_log2_ms += log_ms * log_ms
        self._is_changed = True

    def set_old_running(self, n: int | None) -> None:
        """State how many requests run at old targets, None while these accept more."""
        n_old_running = -1 if n is None else n
        if n_old_running != self._n_old_running:
            self._n_old_running = n_old_running
            self._is_changed = True

    def state_start(self) -> None:
        """Let this process's evidence be taken although it has counted nothing yet.

        It voids what an earlier process of this VM has reported on old targets.
        """
        self._is_changed = True

    def take_own(self) -> Evidence | None:
        """Return this process's evidence if it has changed since it was last taken."""
        self._refresh_own()
        if self._is_taken:
            return None
        self._is_taken = True
        return self._known[(self._vm, self._start_id)]

    def all(self) -> tuple[Evidence, ...]:
        """Return the evidence of every process, including this one."""
        self._refresh_own()
        return tuple(self._known.values())

    def merge(self, evidence: Evidence) -> bool:
        """Merge evidence and return whether it is newer than what was known."""
        process = (evidence.vm, evidence.start_id)
        is_of_order = (
            evidence.service == self._order.service
            and evidence.order_number == self._order.number
        )
        if not is_of_order or process == (self._vm, self._start_id):
            return False
        known = self._known.get(process)
        if known is not None and known.sequence >= evidence.sequence:
            return False
        self._replace(known, evidence)
        return True

    def take_increments(self) -> list[Increment]:
        """Return what has been counted anywhere since the last call."""
        self._refresh_own()
        increments, self._increments = self._increments, []
        return increments

    def n_old_running(self, vm: str) -> int | None:
        """Return the requests at old targets that the VM's last process reported.

        None if it still accepts such requests or has not reported. Reports of earlier
        processes are void, because the last one may not know the phase yet.
        """
        start_ids = [start_id for name, start_id in self._known if name == vm]
        if not start_ids:
            return None
        n = self._known[(vm, max(start_ids))].n_old_running
        return None if n < 0 else n

    def totals(self) -> dict[tuple[str, bool], Tally]:
        """Return the counts of all processes by route and side."""
        totals: dict[tuple[str, bool], Tally] = {}
        for evidence in self.all():
            for counts in evidence.counts:
                side = (counts.route, counts.is_new)
                totals.setdefault(side, Tally()).add(_tally_of(counts))
        return totals

    def _refresh_own(self) -> None:
        if not self._is_changed:
            return
        self._is_changed = False
        self._is_taken = False
        self._sequence += 1
        evidence = Evidence(
            self._vm,
            self._start_id,
            self._sequence,
            self._order.service,
            self._order.number,
            tuple(
                _counts_of(route, is_new, tally)
                for (route, is_new), tally in self._own_tallies.items()
            ),
            self._n_old_running,
        )
        self._replace(self._known.get((self._vm, self._start_id)), evidence)

    def _replace(self, known: Evidence | None, evidence: Evidence) -> None:
        """Replace the evidence of a process and note what is new in it."""
        before = known.counts if known is not None else ()
        counted = {(counts.route, counts.is_new): counts for counts in before}
        for counts in evidence.counts:
            tally = _tally_of(counts)
            previous = counted.get((counts.route, counts.is_new))
            if previous is not None:
                tally.add(_tally_of(previous), -1)
            if tally.n_run > 0:
                self._increments.append(
                    Increment(evidence.vm, counts.route, counts.is_new, tally)
                )
        self._known[(evidence.vm, evidence.start_id)] = evidence


def _tally_of(counts: RouteCounts) -> Tally:
    return Tally(
        counts.n_run,
        counts.n_bad,
        counts.n_timed,
        counts.sum_log_ms,
        counts.sum_log2_ms,
    )


def _counts_of(route: str, is_new: bool, tally: Tally) -> RouteCounts:
    return RouteCounts(
        route,
        is_new,
        int(tally.n_run),
        int(tally.n_bad),
        int(tally.n_timed),
        tally.sum_log_ms,
        tally.sum_log2_ms,
    )


__all__ = ["EvidenceStore", "Increment", "Tally"]
