"""`pepperstair wait`: wait until a version is in force everywhere."""

from __future__ import annotations

import asyncio

from result import Result

from ..changes import wait_until_in_force
from ..connection import Connection
from ..documents import fetch_intent
from ..output import CommandFailure, ExitCode, Report, print_result


def run(
    customer: str,
    /,
    *,
    version: int | None = None,
    timeout_ms: int = 30_000,
    connection: Connection,
) -> ExitCode:
    """Wait until a version is in force on every live daemon.

    Parameters
    ----------
    customer
        Customer whose version to wait for.
    version
        Version to wait for; default: the version in force at the queried daemon.
    timeout_ms
        Longest time to wait; when it is exceeded, the exit code is 3.
    """
    wait_result = asyncio.run(_wait(customer, version, timeout_ms, connection))
    return print_result(wait_result, connection.output)


async def _wait(
    customer: str, version: int | None, timeout_ms: int, connection: Connection
) -> Result[Report, CommandFailure]:
    if version is None:
        current = await fetch_intent(connection, customer)
        if current.is_err():
            return current
        version = current.unwrap().version
    return await wait_until_in_force(connection, customer, version, timeout_ms)


__all__ = ["run"]
