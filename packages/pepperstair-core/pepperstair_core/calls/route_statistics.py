"""Statistics of routes and services from the calls of one daemon.

They cover answer sizes, caller timeouts and acceptance rates.
"""

from __future__ import annotations

from typing import Final

N_ROUTES_MAX: Final = 1_000
SIZE_WEIGHT: Final = 0.05
# Maximum change of a route's median timeout with each request, as a share of the
# median.
MEDIAN_STEP: Final = 0.02
# A request counts as a caller's first attempt if its timeout is at least this share of
# the route's median timeout. With a shorter timeout, the caller either has already
# waited for the difference to the median or is of another kind; in both cases its
# request is served after others.
REPEATED_TIMEOUT_SHARE: Final = 0.85
# Weight of the newest call in the acceptance rate, which covers about thirty calls.
ACCEPTED_WEIGHT: Final = 0.03
# Minimum retry-after time of a call that a target with free slots has refused. It is
# about the back-off between attempts within the mesh, so that the answer to the retry
# can still be in time.
RETRY_AFTER_MIN_MS: Final = 50.0
RETRY_AFTER_MAX_MS: Final = 1_000


class AnswerSizes:
    """The mean size of a route's answers, in bytes.

    >>> sizes = AnswerSizes()
    >>> sizes.record("map", 90_000)
    >>> sizes.of("map"), sizes.of("award")
    (90000.0, 0.0)
    """

    def __init__(self) -> None:
        self._mean_bytes: dict[str, float] = {}

    def record(self, route: str, n_bytes: int) -> None:
        """Record the size of one answer."""
        known = self._mean_bytes
        if len(known) >= N_ROUTES_MAX and route not in known:
            known.clear()
        mean_bytes = known.get(route, float(n_bytes))
        known[route] = mean_bytes + SIZE_WEIGHT * (n_bytes - mean_bytes)

    def of(self, route: str) -> float:
        """Return the mean size, 0 if no answer has been seen."""
        return self._mean_bytes.get(route, 0.0)


class CallerTimeouts:
    """The median timeout that the callers of a route request.

    A caller that retries after a refusal requests its remaining time as the timeout,
    which is shorter than the median. The answer to such a retry is less likely to be in
    time, and serving the retry like a new call would make new calls late too.

    >>> timeouts = CallerTimeouts()
    >>> [timeouts.waited_ms("r", 800) for _ in range(3)]
    [0, 0, 0]
    >>> timeouts.waited_ms("r", 500) > 250
    True
    """

    def __init__(self) -> None:
        self._median_ms: dict[str, float] = {}

    def waited_ms(self, route: str, timeout_ms: int) -> int:
        """Record a requested timeout and return how long the caller has already waited.

        The result is in milliseconds, 0 for a new call or one without a timeout.
        """
        if not timeout_ms:
            return 0
        known = self._median_ms
        if len(known) >= N_ROUTES_MAX and route not in known:
            known.clear()
        median_ms = known.get(route, float(timeout_ms))
        step_ms = median_ms * MEDIAN_STEP
        change_ms = max(-step_ms, min(step_ms, timeout_ms - median_ms))
        known[route] = median_ms + change_ms
        if timeout_ms >= median_ms * REPEATED_TIMEOUT_SHARE:
            return 0
        return int(median_ms - timeout_ms)


class AcceptanceRates:
    """The share of the calls to a service's targets that the targets accept.

    A target that refuses calls although its slots are free applies a rule of its own
    and does not lack capacity, so it may accept the next attempt. Waiting a second
    before that attempt would waste the caller's time: if targets refuse every second
    call for some seconds, callers get their answer within the wanted time far more
    often by retrying at once. The lower the share of accepted calls, the longer the
    time after which callers are asked to retry.

    >>> acceptance = AcceptanceRates()
    >>> acceptance.retry_after_ms("ledger")
    50
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def record(self, service: str, is_accepted: bool) -> None:
        """Record whether a target accepted a call."""
        if len(self._shares) >= N_ROUTES_MAX and service not in self._shares:
            self._shares.clear()
        share = self._shares.get(service, 1.0)
        self._shares[service] = share + ACCEPTED_WEIGHT * (is_accepted - share)

    def retry_after_ms(self, service: str) -> int:
        """Return after how many milliseconds to retry a call that a target refused."""
        share = self._shares.get(service, 1.0)
        return int(min(RETRY_AFTER_MAX_MS, RETRY_AFTER_MIN_MS / max(share, 0.01)))


__all__ = ["AcceptanceRates", "AnswerSizes", "CallerTimeouts"]
