"""Requests to a daemon's operators' interface."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_operators import DEFAULT_TIMEOUT_MS, OperatorClient, Reply

from .output import CommandFailure, ExitCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .connection import Connection

_EXIT_CODES: Final = {
    ErrorKind.CHANGE_OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.INVALID_INTENT: ExitCode.BAD_INPUT,
    ErrorKind.BAD_REQUEST: ExitCode.BAD_INPUT,
}


async def send_request(
    connection: Connection,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
) -> Result[Any, CommandFailure]:
    """Send one request and return the decoded JSON body of the answer.

    Transport errors and every status except 200 become a `CommandFailure`.
    """
    client = OperatorClient(connection.at, connection.token, timeout_ms)
    try:
        response = await client.send(method, path, body)
    finally:
        client.close()
    if response.is_err():
        return Err(_failure_from_error(connection.at, response.unwrap_err()))
    reply = response.unwrap()
    if reply.status != 200:
        return Err(_failure_from_reply(reply))
    return Ok(reply.content)


def operation_path(*parts: str, **query: object) -> str:
    """Return the path of an operation with its parts and query percent-encoded.

    Query values that are None or empty are omitted.

    >>> operation_path("intent", "a/b", from_version=3)
    '/v1/intent/a%2Fb?from_version=3'
    """
    path = "/".join(("/v1", *(quote(part, safe="") for part in parts)))
    query_values = {
        name: value for name, value in query.items() if value not in (None, "")
    }
    return f"{path}?{urlencode(query_values)}" if query_values else path


def _failure_from_error(address: str, failure: Failure) -> CommandFailure:
    line = f"{failure.kind}: {address}: {failure.text}"
    return CommandFailure((line,), _EXIT_CODES.get(failure.kind, ExitCode.FAILED))


def _failure_from_reply(reply: Reply) -> CommandFailure:
    content: Mapping[str, Any] = reply.content if type(reply.content) is dict else {}
    kind = content.get("error", f"status {reply.status}")
    faults = content.get("faults", ())
    lines = [f"{fault['where']}: expected {fault['expected']}" for fault in faults]
    lines = lines or [f"{kind}: {content.get('text', 'the daemon gave no reason')}"]
    return CommandFailure(tuple(lines), _EXIT_CODES.get(kind, ExitCode.FAILED))


__all__ = ["send_request", "operation_path"]
