"""`pepperstair history`: list the accepted changes of a customer."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

from result import Result

from ..connection import Connection
from ..daemon_client import operation_path, send_request
from ..formatting import format_time
from ..output import CommandFailure, ExitCode, Report, join_lines, print_result


def run(customer: str, /, *, connection: Connection) -> ExitCode:
    """List the accepted changes of a customer.

    Parameters
    ----------
    customer
        Customer whose changes to list.
    """
    return print_result(asyncio.run(_history(customer, connection)), connection.output)


async def _history(
    customer: str, connection: Connection
) -> Result[Report, CommandFailure]:
    response = await send_request(
        connection, "GET", operation_path("history", customer)
    )
    return response.map(lambda content: Report(content, _text(customer, content)))


def _text(customer: str, content: dict[str, Any]) -> str:
    lines = join_lines(_iter_lines(content["changes"]))
    return lines or f"{customer}: no change is known"


def _iter_lines(changes: list[dict[str, Any]]) -> Iterator[str]:
    for change in changes:
        line = (
            f"version {change['version']}  {format_time(change['accepted_at_ms'])}  "
            f"by {change['accepted_by']}  change {change['change_id']}"
        )
        convergence_ms = change["convergence_ms"]
        if convergence_ms is not None:
            line = f"{line}  in force everywhere after {convergence_ms} ms"
        yield line


__all__ = ["run"]
