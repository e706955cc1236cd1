"""The way of one request through the logs of several daemons."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from .documents import read_text
from .output import Refusal, Report, join_lines

# What every line has; the rest of a line is what decided the event.
_COMMON = frozenset({"event", "vm", "timestamp", "level", "request_id"})


def follow_request(request_id: str, files: Iterable[Path]) -> Result[Report, Refusal]:
    """Return every line about a request, the oldest first.

    A request that the logs don't mention is a refusal that says so: it went
    smoothly and was not one of the few that are logged all the same, or its
    lines are in other files.
    """
    found: list[dict[str, Any]] = []
    for file in files:
        read = read_text(file)
        if read.is_err():
            return read
        found += iter_events(read.unwrap(), request_id)
    if not found:
        return Err(Refusal((f"{request_id}: no line in these logs",)))
    found.sort(key=lambda event: str(event.get("timestamp", "")))
    return Ok(Report(found, join_lines(map(_show, found))))


def iter_events(text: str, request_id: str) -> Iterator[dict[str, Any]]:
    """Yield the events about a request; what else stands in a log is passed over.

    >>> log = '12.5 vm-1 {"event": "x", "request_id": "a"}'
    >>> [event["event"] for event in iter_events(log, "a")]
    ['x']
    """
    for line in text.splitlines():
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(event, dict) and event.get("request_id") == request_id:
            yield event


def _show(event: dict[str, Any]) -> str:
    grounds = ", ".join(
        f"{key} {_shown(value)}" for key, value in event.items() if key not in _COMMON
    )
    when, vm = event.get("timestamp", "?"), event.get("vm", "?")
    return f"{when}  {vm}  {event.get('event', '?')}: {grounds}"


def _shown(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


__all__ = ["follow_request", "iter_events"]
