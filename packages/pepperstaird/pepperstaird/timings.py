"""Percentiles of call times in bounded memory."""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterator
from typing import Final

PERCENTILES: Final = (50, 90, 99)

_SMALLEST_MS: Final = 0.05
_GROWTH: Final = 1.1
# The last bucket begins at about 10 minutes, the longest timeout of a route.
_N_BUCKETS: Final = 172
_LOG_GROWTH: Final = math.log(_GROWTH)


class Timings:
    """A histogram whose buckets grow by a tenth, so percentiles are that exact.

    >>> timings = Timings()
    >>> for _ in range(100):
    ...     timings.add(2.0)
    >>> [percentile for percentile, _ in timings.take()]
    [50, 90, 99]
    """

    def __init__(self) -> None:
        self._counts = _no_counts()
        self._n_added = 0

    def add(self, duration_ms: float) -> None:
        """Count one time."""
        self._counts[_bucket(duration_ms)] += 1
        self._n_added += 1

    def take(self) -> Iterator[tuple[int, float]]:
        """Yield each percentile with its time in ms, and start again from none."""
        counts, n_added = self._counts, self._n_added
        self._counts, self._n_added = _no_counts(), 0
        if not n_added:
            return
        for percentile in PERCENTILES:
            yield percentile, _time_at(counts, n_added * percentile / 100)


def _no_counts() -> array:
    return array("L", bytes(array("L").itemsize * _N_BUCKETS))


def _bucket(duration_ms: float) -> int:
    if duration_ms <= _SMALLEST_MS:
        return 0
    bucket = math.ceil(math.log(duration_ms / _SMALLEST_MS) / _LOG_GROWTH)
    return min(bucket, _N_BUCKETS - 1)


def _time_at(counts: array, n_wanted: float) -> float:
    """Return the upper end of the bucket that holds the wanted count."""
    n_seen = 0
    for bucket, count in enumerate(counts):
        n_seen += count
        if n_seen >= n_wanted:
            return _SMALLEST_MS * _GROWTH**bucket
    return _SMALLEST_MS * _GROWTH ** (_N_BUCKETS - 1)


__all__ = ["PERCENTILES", "Timings"]
