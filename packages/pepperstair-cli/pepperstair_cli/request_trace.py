"""Traces one request through the logs of several daemons."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from .documents import read_text
from .output import CommandFailure, Report, join_lines

# Fields of every log line; the other fields are the details of the event.
_COMMON_FIELDS = frozenset({"event", "vm", "timestamp", "level", "request_id"})


def trace_request(
    request_id: str, files: Iterable[Path]
) -> Result[Report, CommandFailure]:
    """Return every log line about a request, oldest first.

    A request without any line is a failure. Either it succeeded and was not one
    of the few successful requests that are logged, or its lines are in other files.
    """
    events: list[dict[str, Any]] = []
    for file in files:
        read = read_text(file)
        if read.is_err():
            return read
        events += iter_events(read.unwrap(), request_id)
    if not events:
        return Err(CommandFailure((f"{request_id}: not found in these logs",)))
    events.sort(key=lambda event: str(event.get("timestamp", "")))
    return Ok(Report(events, join_lines(map(_format_event, events))))


def iter_events(text: str, request_id: str) -> Iterator[dict[str, Any]]:
    """Yield the log events about a request.

    Lines that are not JSON objects or belong to other requests are skipped.

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


def _format_event(event: dict[str, Any]) -> str:
    details = ", ".join(
        f"{key} {_format_value(value)}"
        for key, value in event.items()
        if key not in _COMMON_FIELDS
    )
    when, vm = event.get("timestamp", "?"), event.get("vm", "?")
    return f"{when}  {vm}  {event.get('event', '?')}: {details}"


def _format_value(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


__all__ = ["trace_request", "iter_events"]
