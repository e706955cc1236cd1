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
    """One request: its path without the matched prefix, its query and body."""

    method: str
    name: str
    query: dict[str, str]
    body: bytes


class OperatorReply(Struct, frozen=True):
    """What is answered, as JSON."""

    status: int
    content: Any
    retry_after_ms: int = 0


class _Location(Struct, frozen=True):
    """The path, still encoded, and the query of a request."""

    path: str
    query: dict[str, str]


Handle = Callable[[OperatorRequest], Awaitable[OperatorReply]]


class OperatorServer:
    """Finds the handle for a request by method and path prefix.

    A prefix that ends with a slash takes the rest of the path as `name`.
    """

    def __init__(self, settings: OperatorsSettings) -> None:
        self._settings = settings
        self._handles: dict[tuple[str, str], Handle] = {}

    def add(self, method: str, path: str, handle: Handle) -> None:
        """Serve a method and path, or path prefix, with a handle."""
        self._handles[(method, path)] = handle

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
        read = _read_location(exchange.request.path)
        if read.is_err():
            return failure_reply(read.unwrap_err())
        location = read.unwrap()
        found = self._find(exchange.request.method, location.path)
        if found is None:
            return failure_reply(Failure(ErrorKind.NOT_FOUND, location.path))
        body = await exchange.body.read_all(self._settings.body_max_bytes)
        if body is None:
            return failure_reply(Failure(ErrorKind.BODY_TOO_LARGE))
        handle, name = found
        request = OperatorRequest(exchange.request.method, name, location.query, body)
        return await handle(request)

    def _find(self, method: str, path: str) -> tuple[Handle, str] | None:
        handle = self._handles.get((method, path))
        if handle is not None:
            return handle, ""
        prefix, _, name = path.rpartition("/")
        handle = self._handles.get((method, f"{prefix}/"))
        return None if handle is None or not name else (handle, unquote(name))

    def _is_permitted(self, exchange: Exchange) -> bool:
        if not self._settings.token:
            return True
        given = header_value(exchange.request.headers, b"authorization")
        wanted = f"Bearer {self._settings.token}".encode()
        return hmac.compare_digest(given, wanted)


def _read_location(target: str) -> Result[_Location, Failure]:
    """Split a request's target, or refuse one that does not decode.

    A name with a broken escape would otherwise be taken for another name, and
    the operator would change a customer that nobody asked to change.
    """
    try:
        parts = urlsplit(target)
        unquote(parts.path, errors="strict")
        pairs = parse_qsl(
            parts.query, keep_blank_values=True, strict_parsing=True, errors="strict"
        )
    except ValueError as error:
        return Err(Failure(ErrorKind.BAD_REQUEST, f"path or query ({error})"))
    return Ok(_Location(parts.path, dict(pairs)))


def query_version(request: OperatorRequest, name: str) -> Result[int | None, Failure]:
    """Read a version from the query; None where it is not given.

    A version that can't be read must not count as none: a change would then be
    made whatever the newest version is, and undo another operator's.
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
    """Return the reply to a failure, by the one table of answers."""
    content = {"error": failure.kind.value, "text": failure.text, **more}
    return OperatorReply(failure.answer.status, content, failure.retry_after_ms)


__all__ = [
    "Handle",
    "OperatorReply",
    "OperatorRequest",
    "OperatorServer",
    "failure_reply",
    "json_reply",
    "query_version",
]
