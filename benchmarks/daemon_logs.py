"""Follows the daemons' logs: when each version was accepted and in force."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

from pepperstair_core.events import Event

from .fleet import DaemonProcess, Fleet


@dataclass(frozen=True, slots=True)
class _Seen:
    """A version of a customer that a daemon logged."""

    at_s: float
    customer: str
    version: int


class FleetLogs:
    """Reads what the daemons of a fleet have logged since the last time.

    The daemons of one machine share its clock, so the times in their logs can
    be compared; asking 40 daemons for their status would slow what is measured.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._offsets: dict[Path, int] = {}
        self._in_force: dict[str, list[_Seen]] = {}
        self._accepted: list[_Seen] = []

    def read_on(self) -> None:
        """Take in the lines that were written since the last time."""
        for daemon in self._fleet.daemons:
            for entry in self._iter_new(daemon.log):
                self._take(daemon, entry)

    def accepted_at_s(self, customer: str, version: int) -> float | None:
        """Return when a version was accepted, as its daemon logged it."""
        for seen in reversed(self._accepted):
            if seen.customer == customer and seen.version == version:
                return seen.at_s
        return None

    def in_force_at_s(
        self, vm: str, customer: str, version: int, since_s: float
    ) -> float | None:
        """Return when a daemon first had a version or a later one in force."""
        for seen in self._in_force.get(vm, ()):
            if seen.at_s < since_s or seen.customer != customer:
                continue
            if seen.version >= version:
                return seen.at_s
        return None

    def _take(self, daemon: DaemonProcess, entry: dict[str, Any]) -> None:
        event = entry.get("event")
        if event not in (Event.VERSION_IN_FORCE, Event.CHANGE_ACCEPTED):
            return
        at_s = datetime.fromisoformat(entry["timestamp"]).timestamp()
        seen = _Seen(at_s, entry["customer"], entry["version"])
        if event == Event.CHANGE_ACCEPTED:
            self._accepted.append(seen)
            return
        self._in_force.setdefault(daemon.vm, []).append(seen)

    def _iter_new(self, path: Path) -> Iterator[dict[str, Any]]:
        offset = self._offsets.get(path, 0)
        with path.open("rb") as file:
            file.seek(offset)
            data = file.read()
        whole = data[: data.rfind(b"\n") + 1]
        self._offsets[path] = offset + len(whole)
        for line in whole.splitlines():
            yield from _iter_entries(line.decode())


def _iter_entries(line: str) -> Iterator[dict[str, Any]]:
    """Yield the entries of a line.

    A daemon that is killed between an entry and the end of its line leaves a line
    on which its successor goes on, so that one line holds two entries.
    """
    decoder = json.JSONDecoder()
    position = line.find("{")
    while position >= 0:
        try:
            entry, position = decoder.raw_decode(line, position)
        except ValueError:
            return
        yield entry
        position = line.find("{", position)


__all__ = ["FleetLogs"]
