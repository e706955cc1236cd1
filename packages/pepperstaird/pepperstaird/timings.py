"""Percentiles of call durations in bounded memory."""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterator
from typing import Final

PERCENTILES: Final = (50, 90, 99)

_MIN_BOUND_MS: Final = 0.05
_GROWTH: Final = 1.1
# The last bucket starts at about 10 minutes, the longest timeout of a route.
_N_BUCKETS: Final = 172
_LOG_GROWTH: Final = math.log(_GROWTH)


class DurationHistogram:
    """Histogram of durations whose percentiles are accurate to 10 %.

    Each bucket bound is 10 % larger than the previous one.

    >>> histogram = DurationHistogram()
    >>> for _ in range(100):
    ...     histogram.add(2.0)
    >>> [percentile for percentile, _ in histogram.pop_percentiles()]
    [50, 90, 99]
    """

    def __init__(self) -> None:
        self._counts = _empty_counts()
        self._n_added = 0

    def add(self, duration_ms: float) -> None:
        """Count one duration."""
        self._counts[_bucket_index(duration_ms)] += 1
        self._n_added += 1

    def pop_percentiles(self) -> Iterator[tuple[int, float]]:
        """Yield each percentile with its duration in ms, and clear the histogram."""
        counts, n_added = self._counts, self._n_added
        self._counts, self._n_added = _empty_counts(), 0
        if not n_added:
            return
        for percentile in PERCENTILES:
            yield percentile, _duration_ms_at(counts, n_added * percentile / 100)


def _empty_counts() -> array:
    return array("L", bytes(array("L").itemsize * _N_BUCKETS))


def _bucket_index(duration_ms: float) -> int:
    if duration_ms <= _MIN_BOUND_MS:
        return 0
    bucket = math.ceil(math.log(duration_ms / _MIN_BOUND_MS) / _LOG_GROWTH)
    return min(bucket, _N_BUCKETS - 1)


def _duration_ms_at(counts: array, rank: float) -> float:
    """Return the upper bound in ms of the bucket that holds the given rank."""
    n_seen = 0
    for bucket, count in enumerate(counts):
        n_seen += count
        if n_seen >= rank:
            return _MIN_BOUND_MS * _GROWTH**bucket
    return _MIN_BOUND_MS * _GROWTH ** (_N_BUCKETS - 1)


__all__ = ["PERCENTILES", "DurationHistogram"]
