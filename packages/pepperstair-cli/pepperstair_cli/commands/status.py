"""`pepperstair status`: what one daemon holds and sees."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

from result import Result

from ..asking import ask, path_of
from ..connection import Connection
from ..output import ExitCode, Refusal, Report, finish, join_lines


def run(*, connection: Connection) -> ExitCode:
    """Show a daemon's readiness, versions, members and counters."""
    return finish(asyncio.run(_status(connection)), connection.output)


async def _status(connection: Connection) -> Result[Report, Refusal]:
    asked = await ask(connection, "GET", path_of("status"))
    return asked.map(lambda content: Report(content, join_lines(_iter_lines(content))))


def _iter_lines(content: dict[str, Any]) -> Iterator[str]:
    reached = f", reached by {content['reached_by']}" if content["reached_by"] else ""
    yield f"{content['vm']}: {'ready' if content['ready'] else 'not ready'}{reached}"
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
