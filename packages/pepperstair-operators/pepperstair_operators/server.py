"""The daemon's HTTP interface for operators and for the targets of its VM."""

from __future__ import annotations

import hmac
import json
from collections.abc import Awaitable, Callable
from typing import Any, Final
from urllib.parse import parse_qsl, unquote, urlsplit

import structlog
from msgspec import Struct
from result import Err, Ok, Result

from pepperstair_core.config import OperatorsSettings
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_http import Exchange, header_value

log = structlog.get_logger(__name__)

_VERSION_DIGITS_MAX: Final = 15


class OperatorRequest(Struct, frozen=True):
    """One request; `name` is the part of its path after the matched prefix."""

    method: str
    name: str
    query: dict[str, str]
    body: bytes


class OperatorReply(Struct, frozen=True):
    """An answer, whose content is sent as JSON."""

    status: int
    content: Any
    retry_after_ms: int = 0


class _Location(Struct, frozen=True):
    """The percent-encoded path and the decoded query of a request."""

    path: str
    query: dict[str, str]


OperatorHandler = Callable[[OperatorRequest], Awaitable[OperatorReply]]


class OperatorServer:
    """Dispatches each request to a handler by its method and path.

    For a path registered with a trailing slash, `name` is the decoded last segment
    of the request's path.
    """

    def __init__(self, settings: OperatorsSettings) -> None:
        self._settings = settings
        self._handlers: dict[tuple[str, str], OperatorHandler] = {}

    def add(self, method: str, path: str, handler: OperatorHandler) -> None:
        """Register the handler for a method and a path or path prefix."""
        self._handlers[(method, path)] = handler

    async def handle(self, exchange: Exchange) -> None:
        """Answer one HTTP request."""
        reply = await self._reply(exchange)
        headers = [(b"content-type", b"application/json")]
        if reply.retry_after_ms:
            seconds = -(-reply.retry_after_ms // 1000)
            headers.append((b"retry-after", str(seconds).encode()))
        body = json.dumps(reply.content, indent=2).encode() + b"\n"
        await exchange.respond(reply.status, tuple(headers), body)

    async def _reply(self, exchange: Exchange) -> OperatorReply:
        if not self._is_permitted(exchange):
            return failure_reply(Failure(ErrorKind.UNAUTHORIZED))
        parsed = _parse_location(exchange.request.path)
        if parsed.is_err():
            return failure_reply(parsed.unwrap_err())
        location = parsed.unwrap()
        found = self._find(exchange.request.method, location.path)
        if found is None:
            return failure_reply(Failure(ErrorKind.NOT_FOUND, location.path))
        body = await exchange.body.read_all(self._settings.body_max_bytes)
        if body is None:
            return failure_reply(Failure(ErrorKind.BODY_TOO_LARGE))
        handler, name = found
        request = OperatorRequest(exchange.request.method, name, location.query, body)
        return await handler(request)

    def _find(self, method: str, path: str) -> tuple[OperatorHandler, str] | None:
        handler = self._handlers.get((method, path))
        if handler is not None:
            return handler, ""
        prefix, _, name = path.rpartition("/")
        handler = self._handlers.get((method, f"{prefix}/"))
        return None if handler is None or not name else (handler, unquote(name))

    def _is_permitted(self, exchange: Exchange) -> bool:
        if not self._settings.token:
            return True
        given = header_value(exchange.request.headers, b"authorization")
        expected = f"Bearer {self._settings.token}".encode()
        return hmac.compare_digest(given, expected)


def _parse_location(target: str) -> Result[_Location, Failure]:
    """Split a request target into path and query, or return why it is invalid.

    A name with an invalid percent-escape would otherwise be decoded to another name,
    and the operator would change the wrong customer.
    """
    try:
        parts = urlsplit(target)
        unquote(parts.path, errors="strict")
        pairs = parse_qsl(
            parts.query, keep_blank_values=True, strict_parsing=True, errors="strict"
        )
    except ValueError as error:
        return Err(Failure(ErrorKind.BAD_REQUEST, f"invalid path or query: {error}"))
    return Ok(_Location(parts.path, dict(pairs)))


def query_version(request: OperatorRequest, name: str) -> Result[int | None, Failure]:
    """Parse the version in the query parameter `name`; None if it is absent.

    An invalid version must not be treated as absent: the change would then be accepted
    regardless of the newest version, and could undo the change of another operator.
    """
    text = request.query.get(name)
    if text is None:
        return Ok(None)
    if not (text.isascii() and text.isdecimal()) or len(text) > _VERSION_DIGITS_MAX:
        detail = f"{name}: expected a version, not {text!r}"
        return Err(Failure(ErrorKind.BAD_REQUEST, detail))
    return Ok(int(text))


def json_reply(content: Any, status: int = 200) -> OperatorReply:
    """Return a reply with JSON content."""
    return OperatorReply(status, content)


def failure_reply(failure: Failure, **more: Any) -> OperatorReply:
    """Return the reply that the `ANSWERS` table defines for a failure."""
    content = {"error": failure.kind.value, "text": failure.text, **more}
    return OperatorReply(failure.answer.status, content, failure.retry_after_ms)


__all__ = [
    "OperatorHandler",
    "OperatorReply",
    "OperatorRequest",
    "OperatorServer",
    "failure_reply",
    "json_reply",
    "query_version",
]
