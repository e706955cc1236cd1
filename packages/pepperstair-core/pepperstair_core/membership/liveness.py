"""Failure detection: silent neighbours and the refutation time of suspects."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random


class LastReceiveTimes:
    """Tracks when the last frame from each watched VM was received."""

    def __init__(self) -> None:
        self._received_at_ms: dict[str, int] = {}

    def watch(self, vm: str, now_ms: int) -> None:
        """Start expecting heartbeats from a VM; no effect if it is watched already."""
        self._received_at_ms.setdefault(vm, now_ms)

    def mark_received(self, vm: str, now_ms: int) -> None:
        """Record that a frame from a VM was received."""
        self._received_at_ms[vm] = now_ms

    def unwatch(self, vm: str) -> None:
        """Stop expecting heartbeats from a VM."""
        self._received_at_ms.pop(vm, None)

    def restart(self, now_ms: int) -> None:
        """Restart the silence timers of all watched VMs.

        A daemon receives nothing while it is paused. If it took this for silence of its
        neighbours and suspected them, all of them would have to refute the suspicion.
        """
        self._received_at_ms = dict.fromkeys(self._received_at_ms, now_ms)

    def silence_ms(self, vm: str, now_ms: int) -> int:
        """Return how long a VM has been silent, or 0 if it is not watched."""
        return now_ms - self._received_at_ms.get(vm, now_ms)

    def iter_silent(self, now_ms: int, limit_ms: int) -> Iterator[str]:
        """Yield the watched VMs that have been silent for at least `limit_ms`."""
        for vm, received_at_ms in list(self._received_at_ms.items()):
            if now_ms - received_at_ms >= limit_ms:
                yield vm


class Suspicions:
    """Tracks the suspected members and when each one is declared gone.

    Each daemon adds jitter to the timeout, so that the decision of the first daemon
    reaches most of the other daemons before their own timeouts expire.
    """

    def __init__(self, suspicion_ms: int, rng: Random) -> None:
        self._suspicion_ms = suspicion_ms
        self._rng = rng
        self._due_ms: dict[str, int] = {}

    def start(self, vm: str, now_ms: int) -> None:
        """Start the refutation timeout of a suspected member."""
        jitter_ms = self._rng.randint(0, self._suspicion_ms // 4)
        self._due_ms.setdefault(vm, now_ms + self._suspicion_ms + jitter_ms)

    def end(self, vm: str) -> None:
        """Remove a suspicion that was refuted or confirmed."""
        self._due_ms.pop(vm, None)

    def restart(self, now_ms: int) -> None:
        """Restart the timeouts of all suspects after a pause of this daemon."""
        due_ms = now_ms + self._suspicion_ms
        self._due_ms = dict.fromkeys(self._due_ms, due_ms)

    def iter_expired(self, now_ms: int) -> Iterator[str]:
        """Yield the members whose refutation timeout has expired."""
        for vm, due_ms in list(self._due_ms.items()):
            if due_ms <= now_ms:
                yield vm


__all__ = ["LastReceiveTimes", "Suspicions"]
