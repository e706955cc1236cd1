"""`pepperstair get`: print a customer's intent as a document."""

from __future__ import annotations

import asyncio

from result import Result

from pepperstair_core.intent import intent_to_table

from ..connection import Connection
from ..documents import HeldIntent, fetch_intent, intent_to_toml
from ..output import ExitCode, Refusal, Report, finish


def run(customer: str, /, *, connection: Connection) -> ExitCode:
    """Print the intent in force as TOML that `apply` takes back unchanged.

    Parameters
    ----------
    customer
        Customer whose intent to print.
    """
    return finish(asyncio.run(_get(customer, connection)), connection.output)


async def _get(customer: str, connection: Connection) -> Result[Report, Refusal]:
    return (await fetch_intent(connection, customer)).map(_report)


def _report(held: HeldIntent) -> Report:
    content = {"version": held.version, "intent": intent_to_table(held.intent)}
    text = f"# version {held.version}\n{intent_to_toml(held.intent)}"
    return Report(content, text.rstrip("\n"))


__all__ = ["run"]
