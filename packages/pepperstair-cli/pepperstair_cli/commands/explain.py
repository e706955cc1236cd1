"""`pepperstair explain`: why a daemon did what it did."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from typing import Any

from result import Result

from ..asking import ask, path_of
from ..connection import Connection
from ..output import ExitCode, Refusal, Report, finish, join_lines, refuse_input
from ..showing import show_time


def run(
    *,
    subject: str = "",
    customer: str = "",
    route: str = "",
    connection: Connection,
) -> ExitCode:
    """Show a daemon's decisions, or where a customer's route leads.

    Parameters
    ----------
    subject
        VM, target, customer or route that the decisions are about; without it,
        all that the daemon remembers.
    customer
        Customer whose configuration to explain instead.
    route
        Route of that customer; without it, all routes.
    """
    if route and not customer or subject and customer:
        line = "expected --subject alone, or --customer with or without --route"
        return finish(refuse_input(line), connection.output)
    path = path_of("explain", subject=subject, customer=customer, route=route)
    return finish(asyncio.run(_explain(path, connection)), connection.output)


async def _explain(path: str, connection: Connection) -> Result[Report, Refusal]:
    asked = await ask(connection, "GET", path)
    return asked.map(lambda content: Report(content, _text(content)))


def _text(content: dict[str, Any]) -> str:
    if "configuration" in content:
        return json.dumps(content["configuration"], indent=2)
    return join_lines(_iter_decisions(content["decisions"])) or "no decision is known"


def _iter_decisions(decisions: list[dict[str, Any]]) -> Iterator[str]:
    for decision in decisions:
        figures = ", ".join(
            f"{name} {value:g}" for name, value in decision["figures"].items()
        )
        line = (
            f"{show_time(decision['at_ms'])}  {decision['kind']} "
            f"{decision['subject']}: {decision['cause']}"
        )
        yield f"{line} ({figures})" if figures else line


__all__ = ["run"]
