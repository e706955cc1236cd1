"""Asking every member of the fleet for its counts."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

from result import Err, Ok, Result

from pepperstair_core.burn import DaemonCounts, read_counts
from pepperstair_core.config import parse_address

from .asking import ask, path_of
from .connection import Connection
from .output import Refusal

_N_ASKED_AT_ONCE: Final = 32
# A frozen member answers nothing, and many of them must not hold up the report.
_MEMBER_TIMEOUT_MS: Final = 2000
_GONE_STATES: Final = frozenset({"gone", "left"})


@dataclass(frozen=True, slots=True)
class FleetCounts:
    """The counts of the daemons that answered, and the VMs of the others."""

    daemons: tuple[DaemonCounts, ...]
    missing: tuple[str, ...]


async def collect_counts(
    addresses: Iterable[str], token: str
) -> Result[FleetCounts, Refusal]:
    """Ask the given daemons for the members, and each member for its counts."""
    given = [Connection(address, token) for address in addresses]
    answers = await asyncio.gather(*(_ask_status(each) for each in given))
    asked = list(zip(given, answers, strict=True))
    if all(answer.is_err() for answer in answers):
        return Err(answers[0].unwrap_err())
    silent = [connection.at for connection, answer in asked if answer.is_err()]
    statuses = [(each, answer.unwrap()) for each, answer in asked if answer.is_ok()]
    known = {status["vm"]: connection for connection, status in statuses}
    for _, status in statuses:
        for vm, address in _iter_members(status):
            known.setdefault(vm, Connection(address, token))
    return Ok(await _collect(known, silent))


async def _ask_status(connection: Connection) -> Result[Any, Refusal]:
    return await ask(connection, "GET", path_of("status"))


def _iter_members(status: dict[str, Any]) -> Iterator[tuple[str, str]]:
    """Yield each member that should answer, with its advertised address."""
    for member in status["members"]:
        if member["state"] not in _GONE_STATES:
            yield member["vm"], member["operators_address"]


async def _collect(known: dict[str, Connection], silent: list[str]) -> FleetCounts:
    limit = asyncio.Semaphore(_N_ASKED_AT_ONCE)
    found = await asyncio.gather(
        *(_fetch_counts(vm, connection, limit) for vm, connection in known.items())
    )
    daemons = tuple(counts for counts in found if counts is not None)
    answered = {counts.vm for counts in daemons}
    missing = sorted(vm for vm in known if vm not in answered)
    return FleetCounts(daemons, (*silent, *missing))


async def _fetch_counts(
    vm: str, connection: Connection, limit: asyncio.Semaphore
) -> DaemonCounts | None:
    """Fetch one member's counts, None where it does not answer as itself.

    An advertised loopback address leads to whatever runs on the operator's own
    machine: its counts would be taken for the member's, and the report would
    count one daemon twice and hide another.
    """
    if parse_address(connection.at) is None:
        return None
    async with limit:
        asked = await ask(
            connection, "GET", path_of("burn"), timeout_ms=_MEMBER_TIMEOUT_MS
        )
    if asked.is_err():
        return None
    read = read_counts(asked.unwrap())
    counts = read.ok()
    return counts if counts is not None and counts.vm == vm else None


__all__ = ["FleetCounts", "collect_counts"]
