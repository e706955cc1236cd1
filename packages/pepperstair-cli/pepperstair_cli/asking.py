"""One request to a daemon: its content, or a refusal ready to print."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote, urlencode

from result import Err, Ok, Result

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_operators import DEFAULT_TIMEOUT_MS, OperatorClient, Reply

from .output import ExitCode, Refusal

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .connection import Connection

_EXIT_CODES: Final = {
    ErrorKind.CHANGE_OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
    ErrorKind.INVALID_INTENT: ExitCode.BAD_INPUT,
    ErrorKind.BAD_REQUEST: ExitCode.BAD_INPUT,
}


async def ask(
    connection: Connection,
    method: str,
    path: str,
    body: bytes = b"",
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
) -> Result[Any, Refusal]:
    """Send one request and return the content of the answer."""
    client = OperatorClient(connection.at, connection.token, timeout_ms)
    try:
        sent = await client.send(method, path, body)
    finally:
        client.close()
    if sent.is_err():
        return Err(_failure_refusal(connection.at, sent.unwrap_err()))
    reply = sent.unwrap()
    if reply.status != 200:
        return Err(_reply_refusal(reply))
    return Ok(reply.content)


def path_of(*parts: str, **query: object) -> str:
    """Return the path of an operation, its parts and query encoded.

    >>> path_of("intent", "a/b", from_version=3)
    '/v1/intent/a%2Fb?from_version=3'
    """
    path = "/".join(("/v1", *(quote(part, safe="") for part in parts)))
    given = {name: value for name, value in query.items() if value not in (None, "")}
    return f"{path}?{urlencode(given)}" if given else path


def _failure_refusal(address: str, failure: Failure) -> Refusal:
    line = f"{failure.kind}: {address}: {failure.text}"
    return Refusal((line,), _EXIT_CODES.get(failure.kind, ExitCode.REFUSED))


def _reply_refusal(reply: Reply) -> Refusal:
    content: Mapping[str, Any] = reply.content if type(reply.content) is dict else {}
    kind = content.get("error", f"status {reply.status}")
    faults = content.get("faults", ())
    lines = [f"{fault['where']}: expected {fault['expected']}" for fault in faults]
    lines = lines or [f"{kind}: {content.get('text', 'no reason was given')}"]
    return Refusal(tuple(lines), _EXIT_CODES.get(kind, ExitCode.REFUSED))


__all__ = ["ask", "path_of"]
