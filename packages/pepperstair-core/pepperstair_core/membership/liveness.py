"""Heartbeats heard from neighbours and the time that suspects have to refute."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random


class HeardTimes:
    """When each watched VM was last heard."""

    def __init__(self) -> None:
        self._heard_ms: dict[str, int] = {}

    def watch(self, vm: str, now_ms: int) -> None:
        """Begin to expect heartbeats of a VM, unless that has begun already."""
        self._heard_ms.setdefault(vm, now_ms)

    def hear(self, vm: str, now_ms: int) -> None:
        """Note that something came from a VM."""
        self._heard_ms[vm] = now_ms

    def unwatch(self, vm: str) -> None:
        """Stop expecting heartbeats of a VM."""
        self._heard_ms.pop(vm, None)

    def restart(self, now_ms: int) -> None:
        """Give every watched VM its full time again.

        A daemon that was paused itself has heard nobody; to accuse all its
        neighbours for that would make the whole fleet refute.
        """
        self._heard_ms = dict.fromkeys(self._heard_ms, now_ms)

    def silence_ms(self, vm: str, now_ms: int) -> int:
        """Return how long a VM has been silent, 0 where it is not watched."""
        return now_ms - self._heard_ms.get(vm, now_ms)

    def iter_silent(self, now_ms: int, limit_ms: int) -> Iterator[str]:
        """Yield the watched VMs that have been silent for a time."""
        for vm, heard_ms in list(self._heard_ms.items()):
            if now_ms - heard_ms >= limit_ms:
                yield vm


class Suspicions:
    """The suspected members and when each counts as gone.

    Each daemon adds a little jitter, so that the first one's word is known to
    most of the others before their own time is up.
    """

    def __init__(self, suspicion_ms: int, rng: Random) -> None:
        self._suspicion_ms = suspicion_ms
        self._rng = rng
        self._due_ms: dict[str, int] = {}

    def start(self, vm: str, now_ms: int) -> None:
        """Give a suspected member its time to refute."""
        jitter_ms = self._rng.randint(0, self._suspicion_ms // 4)
        self._due_ms.setdefault(vm, now_ms + self._suspicion_ms + jitter_ms)

    def end(self, vm: str) -> None:
        """Drop a suspicion that was refuted or has become certain."""
        self._due_ms.pop(vm, None)

    def restart(self, now_ms: int) -> None:
        """Give every suspect its full time again, after a pause of our own."""
        due_ms = now_ms + self._suspicion_ms
        self._due_ms = dict.fromkeys(self._due_ms, due_ms)

    def iter_due(self, now_ms: int) -> Iterator[str]:
        """Yield the members whose time to refute is over."""
        for vm, due_ms in list(self._due_ms.items()):
            if due_ms <= now_ms:
                yield vm


__all__ = ["HeardTimes", "Suspicions"]
