"""The calls that a target is running, by route, and when the first of them will end.

A queued call starts after the calls ahead of it and after the next end of a running
call. Where look-ups and downloads share the slots of a target, one mean service time
over all of them takes a queue of look-ups for a queue of downloads.
"""

from __future__ import annotations

from .service_times import ServiceTimes


class RunningCalls:
    """The numbers of running calls by route.

    >>> times = ServiceTimes()
    >>> times.record("normal", "map", 90.0)
    >>> running = RunningCalls(times)
    >>> for _ in range(3):
    ...     running.start("map")
    >>> round(running.first_end_ms())
    30
    """

    __slots__ = ("_n_of", "_times")

    def __init__(self, times: ServiceTimes) -> None:
        self._times = times
        self._n_of: dict[str, int] = {}

    def start(self, route: str) -> None:
        """Count a call that starts."""
        self._n_of[route] = self._n_of.get(route, 0) + 1

    def end(self, route: str) -> None:
        """Count a call that ends."""
        n_running = self._n_of.get(route, 0)
        if n_running > 1:
            self._n_of[route] = n_running - 1
        else:
            self._n_of.pop(route, None)

    def first_end_ms(self) -> float:
        """Return the expected time until the first call ends, 0 if none is running.

        Service times vary widely, so the time that a call has already run says little
        about the time that it still needs; it is left out (exponential distribution).
        """
        ends_per_ms = sum(
            n_running / max(0.01, self._times.mean_ms_of(route))
            for route, n_running in self._n_of.items()
        )
        return 1.0 / ends_per_ms if ends_per_ms else 0.0

    def n_long(self) -> int:
        """Return the number of running calls that are not short."""
        short_ms = self._times.short_ms
        mean_ms_of = self._times.mean_ms_of
        return sum(
            n_running
            for route, n_running in self._n_of.items()
            if mean_ms_of(route) >= short_ms
        )


__all__ = ["RunningCalls"]
