"""`pepperstair explain`: why a daemon did what it did."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from result import Result

from ..asking import ask, path_of
from ..connection import Connection
from ..output import ExitCode, Refusal, Report, finish, join_lines, refuse_input
from ..request_path import follow_request
from ..showing import show_time


def run(
    files: tuple[Path, ...] = (),
    /,
    *,
    subject: str = "",
    customer: str = "",
    route: str = "",
    request: str = "",
    connection: Connection | None = None,
) -> ExitCode:
    """Show a daemon's decisions, where a route leads, or what a request met.

    Parameters
    ----------
    files
        Logs of daemons, with `--request`.
    subject
        VM, target, customer or route that the decisions are about; without it,
        all that the daemon remembers.
    customer
        Customer whose configuration to explain instead.
    route
        Route of that customer; without it, all routes.
    request
        Id of a request whose way through the logs to show instead; no daemon is
        asked.
    """
    if request or files:
        return _explain_request(request, files, subject or customer or route)
    if connection is None:
        return finish(refuse_input("expected --at, or --request with logs"), "text")
    if route and not customer or subject and customer:
        line = "expected --subject alone, or --customer with or without --route"
        return finish(refuse_input(line), connection.output)
    path = path_of("explain", subject=subject, customer=customer, route=route)
    return finish(asyncio.run(_explain(path, connection)), connection.output)


def _explain_request(request: str, files: tuple[Path, ...], other: str) -> ExitCode:
    if not request or not files or other:
        line = "expected --request with at least one log, and no other option"
        return finish(refuse_input(line), "text")
    return finish(follow_request(request, files), "text")


async def _explain(path: str, connection: Connection) -> Result[Report, Refusal]:
    asked = await ask(connection, "GET", path)
    return asked.map(lambda content: Report(content, _text(content)))


def _text(content: dict[str, Any]) -> str:
    if "configuration" in content:
        return join_lines(_iter_configuration(content["configuration"]))
    return join_lines(_iter_decisions(content["decisions"])) or "no decision is known"


def _iter_configuration(configuration: dict[str, Any]) -> Iterator[str]:
    yield (
        f"{configuration['customer']}: version {configuration['version']} in force, "
        f"accepted {show_time(configuration['accepted_at_ms'])} by "
        f"{configuration['accepted_by']} (change {configuration['change_id']})"
    )
    if configuration.get("learnt_from"):
        yield f"  learnt from {configuration['learnt_from']}"
    if configuration["rejected"]:
        rejected = configuration["rejected"]
        yield f"  version {rejected['version']} was rejected: {rejected['cause']}"
    if "route" in configuration:
        yield from _iter_route(configuration["route"])


def _iter_route(route: dict[str, Any] | None) -> Iterator[str]:
    if route is None:
        yield "  that version has no such route"
        return
    labels = ", ".join(f"{key}={value}" for key, value in route["proxy_labels"].items())
    verb = "carries" if route["is_carried"] else "does not carry"
    selector = route["proxies"] or "every proxy"
    yield f"  this proxy {verb} route {route['name']}: it is for {selector}"
    yield f"  labels of this proxy: {labels or 'none'}"
    yield f"  goes to service {route['service']}: {route['service_selector']}"


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
