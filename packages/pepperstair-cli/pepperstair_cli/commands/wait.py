"""`pepperstair wait`: wait until a version is in force everywhere."""

from __future__ import annotations

import asyncio

from result import Result

from ..changes import wait_until_in_force
from ..connection import Connection
from ..documents import fetch_intent
from ..output import ExitCode, Refusal, Report, finish


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
        Version to wait for; without it, the one in force at the asked daemon.
    timeout_ms
        Time to wait at the most; afterwards the exit code is 3.
    """
    waited = asyncio.run(_wait(customer, version, timeout_ms, connection))
    return finish(waited, connection.output)


async def _wait(
    customer: str, version: int | None, timeout_ms: int, connection: Connection
) -> Result[Report, Refusal]:
    if version is None:
        held = await fetch_intent(connection, customer)
        if held.is_err():
            return held
        version = held.unwrap().version
    return await wait_until_in_force(connection, customer, version, timeout_ms)


__all__ = ["run"]
