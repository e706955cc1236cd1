"""Call counts and convergence times of one daemon, in bounded memory.

Each customer has two ring buffers of time buckets: buckets of 30 s over the last
hour, and buckets of 10 min over three days. A bucket consists of six counters of four
bytes. One customer takes 18 KB including its convergence times, and the maximum
number of customers takes less than 2 MB, which `tests/test_burn.py` checks.
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

_FIRST_COUNTER_OF_PRIORITY: Final = {"urgent": 0, "normal": 3}
_LATE_KINDS: Final = frozenset({ErrorKind.TIMEOUT, ErrorKind.DEADLINE_BEFORE_RUN})
# Errors caused by the caller, which do not reflect the quality of the service.
_UNCOUNTED_KINDS: Final = frozenset(
    {
        ErrorKind.BAD_REQUEST,
        ErrorKind.HEADERS_TOO_LARGE,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.NO_ROUTE,
        ErrorKind.UNAUTHORIZED,
        ErrorKind.QUOTA_EXCEEDED,
        ErrorKind.CANCELLED,
    }
)


class OutcomeClass(IntEnum):
    """The class of a call's outcome with regard to the objective."""

    GOOD = 0
    FAILED = 1
    LATE = 2


def classify_outcome(outcome: CallOutcome) -> OutcomeClass | None:
    """Return the outcome class of a call, or None if it does not count.

    A call is late if its timeout ended it. Any other call has failed if the target's
    complete answer was not forwarded, or if its status is 500 or above.
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
        self._customers: dict[str, _CustomerCounter] = {}

    def add(self, outcome: CallOutcome, now_ms: int) -> None:
        """Count one call if its priority is urgent or normal."""
        first_counter = _FIRST_COUNTER_OF_PRIORITY.get(outcome.priority)
        outcome_class = classify_outcome(outcome)
        if first_counter is None or outcome_class is None or not outcome.customer:
            return
        self._counter_of(outcome.customer).add(first_counter + outcome_class, now_ms)

    def add_convergence(self, customer: str, now_ms: int, duration_ms: int) -> None:
        """Record the time that a change took until it was in force everywhere."""
        self._counter_of(customer).convergences.add(now_ms, duration_ms)

    def snapshot(
        self, vm: str, now_ms: int, objectives: Mapping[str, tuple[int, Objectives]]
    ) -> DaemonCounts:
        """Return all counts, with the version and objectives of each customer."""
        customers = tuple(self.iter_customers(now_ms, objectives))
        return DaemonCounts(vm, self.lived_ms(now_ms), customers)

    def iter_customers(
        self, now_ms: int, objectives: Mapping[str, tuple[int, Objectives]]
    ) -> Iterator[CustomerCounts]:
        """Yield the counts of each customer, sorted by name.

        Calls may be counted between two items, so a caller that reads many customers
        can yield to the event loop in between.
        """
        for name, counter in sorted(self._customers.items()):
            version, objective = objectives.get(name, (0, Objectives()))
            yield counter.snapshot(name, now_ms, version, objective)

    def lived_ms(self, now_ms: int) -> int:
        """Return the time for which these counts have been kept."""
        return now_ms - self._started_at_ms

    def _counter_of(self, customer: str) -> _CustomerCounter:
        """Return a customer's counter, or the shared one of customers over the limit.

        Without the limit on the number of customers, documents for more and more new
        customers would make the memory of every daemon grow until the daemon is killed.
        """
        counter = self._customers.get(customer)
        if counter is not None:
            return counter
        if len(self._customers) >= N_CUSTOMERS_MAX:
            customer = OTHER_CUSTOMERS
        return self._customers.setdefault(customer, _CustomerCounter())


class _CustomerCounter:
    """Counts the calls and convergences of one customer."""

    def __init__(self) -> None:
        self._short = _BucketRing(_SHORT_BUCKET_MS, _SHORT_SPAN_MS)
        self._long = _BucketRing(_LONG_BUCKET_MS, LONGEST_WINDOW_MS)
        self.convergences = _ConvergenceRing()

    def add(self, counter_index: int, now_ms: int) -> None:
        self._short.add(counter_index, now_ms)
        self._long.add(counter_index, now_ms)

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


class _BucketRing:
    """Holds six counters for each of the newest time buckets.

    A window consists of its complete buckets and the current, partly filled one. It
    is therefore up to one bucket shorter than its nominal length.
    """

    def __init__(self, bucket_ms: int, span_ms: int) -> None:
        self._bucket_ms = bucket_ms
        self._n_buckets = span_ms // bucket_ms
        self._counters = tuple(array("I", bytes(4 * self._n_buckets)) for _ in range(6))
        self._newest_bucket = 0

    def add(self, counter_index: int, now_ms: int) -> None:
        self._advance(now_ms)
        self._counters[counter_index][self._newest_bucket % self._n_buckets] += 1

    def sums(self, window_ms: int, now_ms: int) -> tuple[int, ...]:
        self._advance(now_ms)
        end = self._newest_bucket % self._n_buckets + 1
        start = end - window_ms // self._bucket_ms
        return tuple(self._sum(counter, start, end) for counter in self._counters)

    def _sum(self, counter: array, start: int, end: int) -> int:
        if start >= 0:
            return sum(counter[start:end])
        return sum(counter[:end]) + sum(counter[start + self._n_buckets :])

    def _advance(self, now_ms: int) -> None:
        """Clear the buckets that are reused for the time since the last call."""
        bucket = now_ms // self._bucket_ms
        if bucket <= self._newest_bucket:
            return
        first = max(self._newest_bucket + 1, bucket - self._n_buckets + 1)
        for stale in range(first, bucket + 1):
            for counter in self._counters:
                counter[stale % self._n_buckets] = 0
        self._newest_bucket = bucket


class _ConvergenceRing:
    """Holds the newest convergences, each as a time and a duration of eight bytes."""

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
