"""`pepperstair get`: print a customer's intent as a document."""

from __future__ import annotations

import asyncio

from result import Result

from pepperstair_core.intent import intent_to_table

from ..connection import Connection
from ..documents import VersionedIntent, fetch_intent, intent_to_toml
from ..output import CommandFailure, ExitCode, Report, print_result


def run(customer: str, /, *, connection: Connection) -> ExitCode:
    """Print the intent in force as TOML that `apply` accepts unchanged.

    Parameters
    ----------
    customer
        Customer whose intent to print.
    """
    return print_result(asyncio.run(_get(customer, connection)), connection.output)


async def _get(customer: str, connection: Connection) -> Result[Report, CommandFailure]:
    return (await fetch_intent(connection, customer)).map(_report)


def _report(current: VersionedIntent) -> Report:
    content = {"version": current.version, "intent": intent_to_table(current.intent)}
    text = f"# version {current.version}\n{intent_to_toml(current.intent)}"
    return Report(content, text.rstrip("\n"))


__all__ = ["run"]
