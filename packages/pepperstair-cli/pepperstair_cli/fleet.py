"""Collects the call counts of every member of the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

from result import Err, Ok, Result

from pepperstair_core.burn import DaemonCounts, read_counts
from pepperstair_core.config import parse_address

from .connection import Connection
from .daemon_client import operation_path, send_request
from .output import CommandFailure

_N_REQUESTS_IN_FLIGHT_MAX: Final = 32
# Timeout of the request to one member. A paused member never answers, and many paused
# members must not delay the report.
_MEMBER_TIMEOUT_MS: Final = 2000
_INACTIVE_STATES: Final = frozenset({"gone", "left"})


@dataclass(frozen=True, slots=True)
class FleetCounts:
    """Counts of the daemons that answered, and the daemons that did not.

    `missing` holds VM names, or addresses for daemons whose status request failed.
    """

    daemons: tuple[DaemonCounts, ...]
    missing: tuple[str, ...]


async def collect_counts(
    addresses: Iterable[str], token: str
) -> Result[FleetCounts, CommandFailure]:
    """Fetch the member lists of the given daemons, then the counts of each member."""
    connections = [Connection(address, token) for address in addresses]
    answers = await asyncio.gather(*(_fetch_status(each) for each in connections))
    responses = list(zip(connections, answers, strict=True))
    if all(answer.is_err() for answer in answers):
        return Err(answers[0].unwrap_err())
    unreachable = [connection.at for connection, answer in responses if answer.is_err()]
    statuses = [(each, answer.unwrap()) for each, answer in responses if answer.is_ok()]
    connections_by_vm = {status["vm"]: connection for connection, status in statuses}
    for _, status in statuses:
        for vm, address in _iter_members(status):
            connections_by_vm.setdefault(vm, Connection(address, token))
    return Ok(await _collect(connections_by_vm, unreachable))


async def _fetch_status(connection: Connection) -> Result[Any, CommandFailure]:
    return await send_request(connection, "GET", operation_path("status"))


def _iter_members(status: dict[str, Any]) -> Iterator[tuple[str, str]]:
    """Yield the VM and advertised operators' address of each active member."""
    for member in status["members"]:
        if member["state"] not in _INACTIVE_STATES:
            yield member["vm"], member["operators_address"]


async def _collect(
    connections_by_vm: dict[str, Connection], unreachable: list[str]
) -> FleetCounts:
    limit = asyncio.Semaphore(_N_REQUESTS_IN_FLIGHT_MAX)
    results = await asyncio.gather(
        *(
            _fetch_counts(vm, connection, limit)
            for vm, connection in connections_by_vm.items()
        )
    )
    daemons = tuple(counts for counts in results if counts is not None)
    answered = {counts.vm for counts in daemons}
    missing = sorted(vm for vm in connections_by_vm if vm not in answered)
    return FleetCounts(daemons, (*unreachable, *missing))


async def _fetch_counts(
    vm: str, connection: Connection, limit: asyncio.Semaphore
) -> DaemonCounts | None:
    """Return one member's counts, or None unless the member itself answers.

    An advertised loopback address leads to the operator's own machine. Counts of
    a daemon there would be attributed to the member, and the report would count
    one daemon twice and omit another.
    """
    if parse_address(connection.at) is None:
        return None
    async with limit:
        response = await send_request(
            connection, "GET", operation_path("burn"), timeout_ms=_MEMBER_TIMEOUT_MS
        )
    if response.is_err():
        return None
    read = read_counts(response.unwrap())
    counts = read.ok()
    return counts if counts is not None and counts.vm == vm else None


__all__ = ["FleetCounts", "collect_counts"]
