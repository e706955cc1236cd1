"""What calls of a route are usually like, as far as one daemon has seen."""

from __future__ import annotations

from typing import Final

N_ROUTES_MAX: Final = 1_000
SIZE_WEIGHT: Final = 0.05
# The median follows by steps of this share of itself for each request.
MEDIAN_STEP: Final = 0.02
# A caller that says it waits less than this share of what is usual has used up
# the rest, or is another kind of caller; either way it is served after others.
RETURNED_SHARE: Final = 0.85
# The share of accepted calls follows the last thirty or so.
ACCEPTED_WEIGHT: Final = 0.03
# When to come back after a target with free slots has turned a call away: about
# the back-off of an attempt within the mesh, so that the answer can still be in time.
SOON_MS: Final = 50.0
LATEST_RETURN_MS: Final = 1_000


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
        """Take the size of one answer."""
        known = self._mean_bytes
        if len(known) >= N_ROUTES_MAX and route not in known:
            known.clear()
        mean_bytes = known.get(route, float(n_bytes))
        known[route] = mean_bytes + SIZE_WEIGHT * (n_bytes - mean_bytes)

    def of(self, route: str) -> float:
        """Return the mean size, 0 where no answer was seen."""
        return self._mean_bytes.get(route, 0.0)


class CallerTimeouts:
    """How long the callers of a route usually say that they wait.

    A caller that was refused and comes back states what is left of its time.
    Its answer can't be in time any more as often, and serving it like a new one
    would make a new one late too.

    >>> timeouts = CallerTimeouts()
    >>> [timeouts.waited_ms("r", 800) for _ in range(3)]
    [0, 0, 0]
    >>> timeouts.waited_ms("r", 500) > 250
    True
    """

    def __init__(self) -> None:
        self._median_ms: dict[str, float] = {}

    def waited_ms(self, route: str, timeout_ms: int) -> int:
        """Take what a caller states and return how long it has waited before."""
        if not timeout_ms:
            return 0
        known = self._median_ms
        if len(known) >= N_ROUTES_MAX and route not in known:
            known.clear()
        median_ms = known.get(route, float(timeout_ms))
        step_ms = median_ms * MEDIAN_STEP
        change_ms = max(-step_ms, min(step_ms, timeout_ms - median_ms))
        known[route] = median_ms + change_ms
        if timeout_ms >= median_ms * RETURNED_SHARE:
            return 0
        return int(median_ms - timeout_ms)


class AcceptanceRates:
    """Which share of the calls that reach a service's targets is taken in.

    A target that turns calls away though its slots are free does so by its own
    rule, not for want of room, and the next try may be taken. A caller told to come
    back in a second then has lost its time: with targets that turn away every second
    call for some seconds, callers get their answer within the wanted time far more
    often when they come back at once. The fewer are taken, the longer it is.

    >>> acceptance = AcceptanceRates()
    >>> acceptance.retry_after_ms("ledger")
    50
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def record(self, service: str, is_accepted: bool) -> None:
        """Take whether a target took a call in."""
        if len(self._shares) >= N_ROUTES_MAX and service not in self._shares:
            self._shares.clear()
        share = self._shares.get(service, 1.0)
        self._shares[service] = share + ACCEPTED_WEIGHT * (is_accepted - share)

    def retry_after_ms(self, service: str) -> int:
        """Return when a caller should come back whose call was turned away."""
        share = self._shares.get(service, 1.0)
        return int(min(LATEST_RETURN_MS, SOON_MS / max(share, 0.01)))


__all__ = ["AcceptanceRates", "AnswerSizes", "CallerTimeouts"]
