"""Reads from the daemons' logs when each version was accepted and put in force."""

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
class _LoggedVersion:
    """A version of a customer, and when a daemon logged it."""

    at_s: float
    customer: str
    version: int


class FleetLogs:
    """Reads the logs of a fleet's daemons incrementally.

    The daemons of one machine share its clock, so the times in their logs can be
    compared. Polling the status of 40 daemons instead would slow down the system
    under measurement.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._offsets: dict[Path, int] = {}
        self._in_force: dict[str, list[_LoggedVersion]] = {}
        self._accepted: list[_LoggedVersion] = []

    def read_new_lines(self) -> None:
        """Read the lines that were written since the last call."""
        for daemon in self._fleet.daemons:
            for entry in self._iter_new(daemon.log):
                self._record(daemon, entry)

    def accepted_at_s(self, customer: str, version: int) -> float | None:
        """Return when a version was accepted, or None if no daemon has logged it."""
        for logged in reversed(self._accepted):
            if logged.customer == customer and logged.version == version:
                return logged.at_s
        return None

    def in_force_at_s(
        self, vm: str, customer: str, version: int, since_s: float
    ) -> float | None:
        """Return when a daemon first had a version or a later one in force.

        Entries before `since_s` are ignored. None if there is no such entry.
        """
        for logged in self._in_force.get(vm, ()):
            if logged.at_s < since_s or logged.customer != customer:
                continue
            if logged.version >= version:
                return logged.at_s
        return None

    def _record(self, daemon: DaemonProcess, entry: dict[str, Any]) -> None:
        event = entry.get("event")
        if event not in (Event.VERSION_IN_FORCE, Event.CHANGE_ACCEPTED):
            return
        at_s = datetime.fromisoformat(entry["timestamp"]).timestamp()
        logged = _LoggedVersion(at_s, entry["customer"], entry["version"])
        if event == Event.CHANGE_ACCEPTED:
            self._accepted.append(logged)
            return
        self._in_force.setdefault(daemon.vm, []).append(logged)

    def _iter_new(self, path: Path) -> Iterator[dict[str, Any]]:
        offset = self._offsets.get(path, 0)
        with path.open("rb") as file:
            file.seek(offset)
            data = file.read()
        complete_lines = data[: data.rfind(b"\n") + 1]
        self._offsets[path] = offset + len(complete_lines)
        for line in complete_lines.splitlines():
            yield from _iter_entries(line.decode())


def _iter_entries(line: str) -> Iterator[dict[str, Any]]:
    """Yield the entries of a line.

    If a daemon is killed between writing an entry and its line break, the restarted
    daemon appends to the same line, which then holds two entries.
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
