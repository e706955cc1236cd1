"""Counts of calls and convergence times of one daemon, in bounded memory.

Each customer has two rings of buckets: one of 30 s over the last hour, one of
10 min over three days. A bucket is six counters of four bytes. A customer takes
18 KB with its convergence times and all up to the cap less than 2 MB, to which
`tests/test_burn.py` holds it.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator, Mapping
from enum import IntEnum
from typing import Final

from ..calls import CallOutcome
from ..errors import ErrorKind
from ..intent import Objectives
from .messages import (
    LONGEST_WINDOW_MS,
    WINDOWS_MS,
    CallCounts,
    Convergence,
    CustomerCounts,
    DaemonCounts,
    WindowCounts,
)

N_CUSTOMERS_MAX: Final = 100
N_CONVERGENCES_MAX: Final = 128
OTHER_CUSTOMERS: Final = "(others)"

_SHORT_BUCKET_MS: Final = 30_000
_SHORT_SPAN_MS: Final = 3_600_000
_LONG_BUCKET_MS: Final = 600_000

_PRIORITIES: Final = {"urgent": 0, "normal": 3}
_LATE_KINDS: Final = frozenset({ErrorKind.TIMEOUT, ErrorKind.DEADLINE_BEFORE_RUN})
# The caller's own doing, which says nothing about the service.
_UNCOUNTED_KINDS: Final = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.HEADERS_TOO_LARGE,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.NO_ROUTE,
        ErrorKind.CANCELLED,
    }
)


class OutcomeClass(IntEnum):
    """How a call counts towards the objective."""

    GOOD = 0
    FAILED = 1
    LATE = 2


def classify_outcome(outcome: CallOutcome) -> OutcomeClass | None:
    """Return how a call counts, or None where it does not.

    Late is a call that its timeout ended; failed is any other without the
    target's whole answer, or with an answer of status 500 and above.
    """
    if outcome.error in _UNCOUNTED_KINDS:
        return None
    if outcome.error in _LATE_KINDS:
        return OutcomeClass.LATE
    if outcome.error is not None or outcome.status >= 500:
        return OutcomeClass.FAILED
    return OutcomeClass.GOOD


class BurnCounts:
    """Counts the calls of each customer and the convergence of its changes."""

    def __init__(self, now_ms: int) -> None:
        self._started_at_ms = now_ms
        self._customers: dict[str, _Counts] = {}

    def add(self, outcome: CallOutcome, now_ms: int) -> None:
        """Count one call of urgent or normal priority."""
        first = _PRIORITIES.get(outcome.priority)
        outcome_class = classify_outcome(outcome)
        if first is None or outcome_class is None or not outcome.customer:
            return
        self._counts_of(outcome.customer).add(first + outcome_class, now_ms)

    def add_convergence(self, customer: str, now_ms: int, duration_ms: int) -> None:
        """Keep how long a change took until it was in force everywhere."""
        self._counts_of(customer).convergences.add(now_ms, duration_ms)

    def snapshot(
        self, vm: str, now_ms: int, objectives: Mapping[str, tuple[int, Objectives]]
    ) -> DaemonCounts:
        """Return all counts, with the version and objectives of each customer."""
        customers = tuple(self.iter_customers(now_ms, objectives))
        return DaemonCounts(vm, self.lived_ms(now_ms), customers)

    def iter_customers(
        self, now_ms: int, objectives: Mapping[str, tuple[int, Objectives]]
    ) -> Iterator[CustomerCounts]:
        """Yield the counts of each customer, by name.

        Calls may be counted between two of them, so that whoever reads many can
        let calls pass in between.
        """
        for name, counts in sorted(self._customers.items()):
            version, objective = objectives.get(name, (0, Objectives()))
            yield counts.snapshot(name, now_ms, version, objective)

    def lived_ms(self, now_ms: int) -> int:
        """Return for how long these counts have been kept."""
        return now_ms - self._started_at_ms

    def _counts_of(self, customer: str) -> _Counts:
        """Return a customer's counts, or those of all customers over the cap.

        Without the cap, documents for ever new customers would make the memory
        of every daemon grow until it is ended.
        """
        counts = self._customers.get(customer)
        if counts is not None:
            return counts
        if len(self._customers) >= N_CUSTOMERS_MAX:
            customer = OTHER_CUSTOMERS
        return self._customers.setdefault(customer, _Counts())


class _Counts:
    """The counts of one customer."""

    def __init__(self) -> None:
        self._short = _Ring(_SHORT_BUCKET_MS, _SHORT_SPAN_MS)
        self._long = _Ring(_LONG_BUCKET_MS, LONGEST_WINDOW_MS)
        self.convergences = _Convergences()

    def add(self, slot: int, now_ms: int) -> None:
        self._short.add(slot, now_ms)
        self._long.add(slot, now_ms)

    def snapshot(
        self, customer: str, now_ms: int, version: int, objectives: Objectives
    ) -> CustomerCounts:
        windows = tuple(self._window(window_ms, now_ms) for window_ms in WINDOWS_MS)
        convergences = self.convergences.snapshot(now_ms)
        return CustomerCounts(customer, version, objectives, windows, convergences)

    def _window(self, window_ms: int, now_ms: int) -> WindowCounts:
        ring = self._short if window_ms <= _SHORT_SPAN_MS else self._long
        sums = ring.sums(window_ms, now_ms)
        return WindowCounts(window_ms, CallCounts(*sums[:3]), CallCounts(*sums[3:]))


class _Ring:
    """Six counters in each of the newest buckets of time.

    A window counts its whole buckets and the one that is being filled, so it
    reaches back by up to one bucket less than its length.
    """

    def __init__(self, bucket_ms: int, span_ms: int) -> None:
        self._bucket_ms = bucket_ms
        self._n_buckets = span_ms // bucket_ms
        self._slots = tuple(array("I", bytes(4 * self._n_buckets)) for _ in range(6))
        self._newest = 0

    def add(self, slot: int, now_ms: int) -> None:
        self._advance(now_ms)
        self._slots[slot][self._newest % self._n_buckets] += 1

    def sums(self, window_ms: int, now_ms: int) -> tuple[int, ...]:
        self._advance(now_ms)
        end = self._newest % self._n_buckets + 1
        start = end - window_ms // self._bucket_ms
        return tuple(self._sum(slot, start, end) for slot in self._slots)

    def _sum(self, slot: array, start: int, end: int) -> int:
        if start >= 0:
            return sum(slot[start:end])
        return sum(slot[:end]) + sum(slot[start + self._n_buckets :])

    def _advance(self, now_ms: int) -> None:
        """Clear the buckets that the time has come round to again."""
        bucket = now_ms // self._bucket_ms
        if bucket <= self._newest:
            return
        first = max(self._newest + 1, bucket - self._n_buckets + 1)
        for stale in range(first, bucket + 1):
            for slot in self._slots:
                slot[stale % self._n_buckets] = 0
        self._newest = bucket


class _Convergences:
    """The newest convergence times, eight bytes each for time and duration."""

    def __init__(self) -> None:
        self._at_ms = array("q")
        self._duration_ms = array("q")
        self._n_added = 0

    def add(self, now_ms: int, duration_ms: int) -> None:
        if len(self._at_ms) < N_CONVERGENCES_MAX:
            self._at_ms.append(now_ms)
            self._duration_ms.append(duration_ms)
        else:
            index = self._n_added % N_CONVERGENCES_MAX
            self._at_ms[index] = now_ms
            self._duration_ms[index] = duration_ms
        self._n_added += 1

    def snapshot(self, now_ms: int) -> tuple[Convergence, ...]:
        pairs = zip(self._at_ms, self._duration_ms, strict=True)
        return tuple(
            Convergence(now_ms - at_ms, duration_ms)
            for at_ms, duration_ms in pairs
            if now_ms - at_ms <= LONGEST_WINDOW_MS
        )


__all__ = [
    "N_CONVERGENCES_MAX",
    "N_CUSTOMERS_MAX",
    "OTHER_CUSTOMERS",
    "BurnCounts",
    "OutcomeClass",
    "classify_outcome",
]
