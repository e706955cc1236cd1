"""Sends a change and waits until it is in force on every live daemon."""

from __future__ import annotations

import asyncio
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Any, Final

from cyclopts import Parameter
from result import Err, Ok, Result

from .daemon_client import operation_path, send_request
from .documents import intent_to_toml
from .output import CommandFailure, ExitCode, Report

if TYPE_CHECKING:
    from pepperstair_core.intent import Intent

    from .connection import Connection

_POLL_INTERVAL_S: Final = 0.1


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Options of every command that changes intent."""

    change_id: Annotated[
        str, Parameter(help="Id of the change; repeat it to retry after a lost answer.")
    ] = ""
    from_version: Annotated[
        int | None, Parameter(help="Version that was edited; refused if outdated.")
    ] = None
    wait: Annotated[
        bool, Parameter(negative="", help="Wait until it is in force everywhere.")
    ] = False
    timeout_ms: Annotated[int, Parameter(help="Longest time to wait.")] = 30_000


async def send_change(
    connection: Connection, intent: Intent, options: ChangeOptions
) -> Result[Report, CommandFailure]:
    """Send a change, and wait until it is in force if `options.wait` is set."""
    change_id = options.change_id or uuid.uuid4().hex
    path = operation_path(
        "intent",
        intent.customer,
        change_id=change_id,
        from_version=options.from_version,
        # An explicit change id may belong to an earlier attempt, perhaps sent to
        # another daemon. During a platform outage, only the daemon that received the
        # earlier attempt knows for certain that the change was not accepted.
        is_asked_again="true" if options.change_id else None,
    )
    body = intent_to_toml(intent).encode()
    response = await send_request(connection, "PUT", path, body)
    if response.is_err():
        return response.map_err(lambda failure: _add_change_id(failure, change_id))
    content = response.unwrap()
    customer, version = content["customer"], content["version"]
    text = f"{customer}: version {version} accepted (change {content['change_id']})"
    accepted = Report(content, text)
    if not options.wait:
        return Ok(accepted)
    wait_result = await wait_until_in_force(
        connection, customer, version, options.timeout_ms
    )
    if wait_result.is_err():
        lines = (text, *wait_result.unwrap_err().lines)
        return Err(CommandFailure(lines, ExitCode.OUTCOME_UNKNOWN))
    return Ok(_join_reports(accepted, wait_result.unwrap()))


async def wait_until_in_force(
    connection: Connection, customer: str, version: int, timeout_ms: int
) -> Result[Report, CommandFailure]:
    """Poll until a version is in force everywhere, or fail after `timeout_ms`."""
    deadline_s = time.monotonic() + timeout_ms / 1000
    path = operation_path("wait", customer, version=version)
    while True:
        response = await send_request(connection, "GET", path)
        if response.is_err():
            return response
        content = response.unwrap()
        if content["is_converged"]:
            return Ok(Report(content, _converged_text(content)))
        if time.monotonic() >= deadline_s:
            return Err(_not_in_force(content))
        await asyncio.sleep(_POLL_INTERVAL_S)


def _add_change_id(failure: CommandFailure, change_id: str) -> CommandFailure:
    """Add the change id to a failure with an unknown outcome.

    Only a retry with the same change id shows whether the change took effect.
    """
    if failure.exit_code is not ExitCode.OUTCOME_UNKNOWN:
        return failure
    hint = f"retry with --change-id {change_id}"
    return CommandFailure((f"{failure.lines[0]}; {hint}",), failure.exit_code)


def _converged_text(content: dict[str, Any]) -> str:
    text = f"{content['customer']}: version {content['version']} in force everywhere"
    if content["convergence_ms"] is None:
        return text
    return f"{text} after {content['convergence_ms']} ms"


def _not_in_force(content: dict[str, Any]) -> CommandFailure:
    missing = ", ".join(content["missing"]) or "members not yet discovered"
    line = (
        f"{content['customer']}: version {content['version']} is not in force on "
        f"{missing}"
    )
    return CommandFailure((line,), ExitCode.OUTCOME_UNKNOWN)


def _join_reports(accepted: Report, wait_result: Report) -> Report:
    content = {**accepted.content, **wait_result.content}
    return Report(content, f"{accepted.text}\n{wait_result.text}")


__all__ = ["ChangeOptions", "send_change", "wait_until_in_force"]
