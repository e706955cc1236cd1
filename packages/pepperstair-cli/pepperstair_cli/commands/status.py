"""`pepperstair status`: show the state of one daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

from result import Result

from ..connection import Connection
from ..daemon_client import operation_path, send_request
from ..output import CommandFailure, ExitCode, Report, join_lines, print_result


def run(*, connection: Connection) -> ExitCode:
    """Show a daemon's readiness, versions, members and counters."""
    return print_result(asyncio.run(_status(connection)), connection.output)


async def _status(connection: Connection) -> Result[Report, CommandFailure]:
    response = await send_request(connection, "GET", operation_path("status"))
    return response.map(
        lambda content: Report(content, join_lines(_iter_lines(content)))
    )


def _iter_lines(content: dict[str, Any]) -> Iterator[str]:
    reached_by = (
        f", reached by {content['reached_by']}" if content["reached_by"] else ""
    )
    yield f"{content['vm']}: {'ready' if content['ready'] else 'not ready'}{reached_by}"
    yield "versions in force"
    for customer, version in content["versions"].items():
        yield f"  {customer} {version}"
    for customer, rejected in content["rejected"].items():
        yield f"  {customer} {rejected['version']} was rejected: {rejected['cause']}"
    yield "members"
    for member in content["members"]:
        yield f"  {member['vm']} {member['state']} in {member['availability_zone']}"
        for target in member["targets"]:
            yield f"    target {target['name']} {target['state']}"
    yield "counters"
    for name, count in content["counters"].items():
        yield f"  {name} {count}"


__all__ = ["run"]
