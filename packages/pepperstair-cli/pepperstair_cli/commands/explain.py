"""`pepperstair explain`: show the reasons for a daemon's decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from result import Result

from ..connection import Connection
from ..daemon_client import operation_path, send_request
from ..formatting import format_time
from ..output import (
    CommandFailure,
    ExitCode,
    Report,
    invalid_input,
    join_lines,
    print_result,
)
from ..request_trace import trace_request


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
    """Show a daemon's decisions, the destination of a route, or a request's log lines.

    Parameters
    ----------
    files
        Log files of daemons to search with `--request`.
    subject
        VM, target, customer or route of the decisions; default: all recent decisions.
    customer
        Customer whose configuration to explain instead of decisions.
    route
        Route of that customer to explain as well; default: none.
    request
        Id of a request to trace through log files, without contacting a daemon.
    """
    if request or files:
        return _explain_request(request, files, subject or customer or route)
    if connection is None:
        return print_result(
            invalid_input("expected --at, or --request with log files"), "text"
        )
    if route and not customer or subject and customer:
        line = "expected --subject alone, or --customer with or without --route"
        return print_result(invalid_input(line), connection.output)
    path = operation_path("explain", subject=subject, customer=customer, route=route)
    return print_result(asyncio.run(_explain(path, connection)), connection.output)


def _explain_request(request: str, files: tuple[Path, ...], other: str) -> ExitCode:
    if not request or not files or other:
        line = "expected --request with at least one log file, and no other option"
        return print_result(invalid_input(line), "text")
    return print_result(trace_request(request, files), "text")


async def _explain(path: str, connection: Connection) -> Result[Report, CommandFailure]:
    response = await send_request(connection, "GET", path)
    return response.map(lambda content: Report(content, _text(content)))


def _text(content: dict[str, Any]) -> str:
    if "configuration" in content:
        return join_lines(_iter_configuration(content["configuration"]))
    return join_lines(_iter_decisions(content["decisions"])) or "no decision is known"


def _iter_configuration(configuration: dict[str, Any]) -> Iterator[str]:
    yield (
        f"{configuration['customer']}: version {configuration['version']} in force, "
        f"accepted {format_time(configuration['accepted_at_ms'])} by "
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
            f"{format_time(decision['at_ms'])}  {decision['kind']} "
            f"{decision['subject']}: {decision['cause']}"
        )
        yield f"{line} ({figures})" if figures else line


__all__ = ["run"]
