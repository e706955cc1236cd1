"""Sending a change, and waiting until it is in force everywhere."""

from __future__ import annotations

import asyncio
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Any, Final

from cyclopts import Parameter
from result import Err, Ok, Result

from .asking import ask, path_of
from .documents import intent_to_toml
from .output import ExitCode, Refusal, Report

if TYPE_CHECKING:
    from pepperstair_core.intent import Intent

    from .connection import Connection

_POLL_INTERVAL_S: Final = 0.1


@Parameter(name="*")
@dataclass(frozen=True, slots=True)
class ChangeOptions:
    """How a command that changes intent names and follows its change."""

    change_id: Annotated[
        str, Parameter(help="Name of the change; the same asks again after a loss.")
    ] = ""
    from_version: Annotated[
        int | None, Parameter(help="Version it started from; refused if not newest.")
    ] = None
    wait: Annotated[
        bool, Parameter(negative="", help="Wait until it is in force everywhere.")
    ] = False
    timeout_ms: Annotated[int, Parameter(help="Time to wait at the most.")] = 30_000


async def send_change(
    connection: Connection, intent: Intent, options: ChangeOptions
) -> Result[Report, Refusal]:
    """Have a change accepted, and wait for it where that was asked for."""
    change_id = options.change_id or uuid.uuid4().hex
    path = path_of(
        "intent",
        intent.customer,
        change_id=change_id,
        from_version=options.from_version,
        # Who names a change may have sent it before, perhaps to another daemon.
        # In an outage that daemon alone could tell "not accepted" for certain.
        is_asked_again="true" if options.change_id else None,
    )
    body = intent_to_toml(intent).encode()
    asked = await ask(connection, "PUT", path, body)
    if asked.is_err():
        return asked.map_err(lambda refusal: _name_change(refusal, change_id))
    content = asked.unwrap()
    customer, version = content["customer"], content["version"]
    text = f"{customer}: version {version} accepted (change {content['change_id']})"
    accepted = Report(content, text)
    if not options.wait:
        return Ok(accepted)
    waited = await wait_until_in_force(
        connection, customer, version, options.timeout_ms
    )
    if waited.is_err():
        lines = (text, *waited.unwrap_err().lines)
        return Err(Refusal(lines, ExitCode.OUTCOME_UNKNOWN))
    return Ok(_join_reports(accepted, waited.unwrap()))


async def wait_until_in_force(
    connection: Connection, customer: str, version: int, timeout_ms: int
) -> Result[Report, Refusal]:
    """Ask until a version is in force everywhere or the time is over."""
    deadline_s = time.monotonic() + timeout_ms / 1000
    path = path_of("wait", customer, version=version)
    while True:
        asked = await ask(connection, "GET", path)
        if asked.is_err():
            return asked
        content = asked.unwrap()
        if content["is_converged"]:
            return Ok(Report(content, _converged_text(content)))
        if time.monotonic() >= deadline_s:
            return Err(_not_in_force(content))
        await asyncio.sleep(_POLL_INTERVAL_S)


def _name_change(refusal: Refusal, change_id: str) -> Refusal:
    """Add how to ask again, as only the change id tells whether it took effect."""
    if refusal.exit_code is not ExitCode.OUTCOME_UNKNOWN:
        return refusal
    again = f"ask again with --change-id {change_id}"
    return Refusal((f"{refusal.lines[0]}; {again}",), refusal.exit_code)


def _converged_text(content: dict[str, Any]) -> str:
    text = f"{content['customer']}: version {content['version']} in force everywhere"
    if content["convergence_ms"] is None:
        return text
    return f"{text} after {content['convergence_ms']} ms"


def _not_in_force(content: dict[str, Any]) -> Refusal:
    missing = ", ".join(content["missing"]) or "members that are not known yet"
    line = (
        f"{content['customer']}: version {content['version']} is not in force on "
        f"{missing}"
    )
    return Refusal((line,), ExitCode.OUTCOME_UNKNOWN)


def _join_reports(accepted: Report, waited: Report) -> Report:
    content = {**accepted.content, **waited.content}
    return Report(content, f"{accepted.text}\n{waited.text}")


__all__ = ["ChangeOptions", "send_change", "wait_until_in_force"]
