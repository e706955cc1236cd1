"""Sends a request to a random target and retries it after any failure."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Final

import structlog

from pepperstair_core.errors import ErrorKind, Failure, PepperstairError
from pepperstair_core.routing import CompiledRoute, Endpoint, RouteTable
from pepperstair_core.wire import CallHead
from pepperstair_http import (
    BodyBuffer,
    ConnectionLostError,
    Exchange,
    Headers,
    Request,
    StreamedResponse,
    end_to_end_headers,
    header_value,
)

log = structlog.get_logger(__name__)

_N_RETRIES: Final = 3

AttemptSender = Callable[[Endpoint, CallHead, BodyBuffer], Awaitable[StreamedResponse]]


@dataclass(frozen=True, slots=True)
class NaiveContext:
    """The interface between the proxy and the rest of the daemon.

    `choose` picks one of a service's endpoints and returns None if there is none.
    """

    vm: str
    route_table: Callable[[], RouteTable]
    endpoints: Callable[[CompiledRoute], Iterable[Endpoint]]
    choose: Callable[[list[Endpoint]], Endpoint | None]
    send_attempt: AttemptSender
    is_ready: Callable[[], bool]
    body_max_bytes: int


class NaiveProxy:
    """Handles the requests of callers."""

    def __init__(self, context: NaiveContext) -> None:
        self._context = context
        self._call_ids = itertools.count(1)
        self.n_calls = 0
        self.n_failed = 0
        self.n_retries = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request with the target's answer or with one failure."""
        self.n_calls += 1
        try:
            response = await self._call(exchange)
        except PepperstairError as error:
            self.n_failed += 1
            await _answer_failure(exchange, error.failure)
            return
        await _relay(exchange, response)

    async def _call(self, exchange: Exchange) -> StreamedResponse:
        request = exchange.request
        context = self._context
        if not context.is_ready():
            raise PepperstairError(Failure(ErrorKind.NOT_READY))
        compiled = context.route_table().match(request.host, request.path)
        if compiled is None:
            raise PepperstairError(Failure(ErrorKind.NO_ROUTE, request.path))
        if _content_length(request.headers) > context.body_max_bytes:
            raise PepperstairError(Failure(ErrorKind.BODY_TOO_LARGE))
        body = await exchange.body.read_all(context.body_max_bytes)
        if body is None:
            raise PepperstairError(Failure(ErrorKind.BODY_TOO_LARGE))
        for _ in range(_N_RETRIES):
            try:
                return await self._attempt(request, compiled, body)
            except PepperstairError:
                self.n_retries += 1
        return await self._attempt(request, compiled, body)

    async def _attempt(
        self, request: Request, compiled: CompiledRoute, body: bytes
    ) -> StreamedResponse:
        """Send the request once, to a random target and with its full timeout."""
        context = self._context
        endpoint = context.choose(list(context.endpoints(compiled)))
        if endpoint is None:
            failure = Failure(ErrorKind.NO_TARGET, compiled.service.name)
            raise PepperstairError(failure)
        head = self._call_head(request, compiled, endpoint)
        try:
            async with asyncio.timeout(head.time_left_ms / 1000):
                return await context.send_attempt(endpoint, head, BodyBuffer.of(body))
        except TimeoutError as error:
            raise PepperstairError(Failure(ErrorKind.TIMEOUT)) from error

    def _call_head(
        self, request: Request, compiled: CompiledRoute, endpoint: Endpoint
    ) -> CallHead:
        call_id = next(self._call_ids)
        request_id = header_value(request.headers, b"x-request-id").decode("latin-1")
        return CallHead(
            call_id=call_id,
            request_id=request_id or f"{self._context.vm}-{call_id}",
            customer=compiled.customer,
            target=endpoint.target.name,
            method=request.method,
            path=request.path,
            headers=_request_headers(request.headers),
            priority=compiled.route.priority,
            is_idempotent=_is_idempotent(request, compiled),
            time_left_ms=_timeout_ms(request.headers, compiled.route.timeout_ms),
            has_body=_has_body(request.headers),
        )


async def _relay(exchange: Exchange, response: StreamedResponse) -> None:
    """Forward the answer; abort the caller's connection if it is truncated."""
    headers = (*end_to_end_headers(response.headers), (b"pepperstair-run", b"yes"))
    if exchange.request.method != "HEAD" and not _has_length(response.headers):
        headers = (*headers, (b"transfer-encoding", b"chunked"))
    try:
        await exchange.stream(response.status, headers, response.body)
    except (PepperstairError, ConnectionLostError):
        exchange.abort()
    finally:
        response.cancel()


async def _answer_failure(exchange: Exchange, failure: Failure) -> None:
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"pepperstair-run", failure.run_status.encode()),
        (b"pepperstair-error", failure.kind.encode()),
    ]
    if failure.retry_after_ms:
        seconds = -(-failure.retry_after_ms // 1000)
        headers.append((b"retry-after", str(seconds).encode()))
        headers.append(
            (b"pepperstair-retry-after-ms", str(failure.retry_after_ms).encode())
        )
    body = f"{failure.text}\n".encode()
    await exchange.respond(failure.answer.status, tuple(headers), body)


def _request_headers(headers: Headers) -> Headers:
    kept = end_to_end_headers(headers)
    if header_value(headers, b"transfer-encoding"):
        kept = (*kept, (b"transfer-encoding", b"chunked"))
    return tuple(item for item in kept if not item[0].startswith(b"pepperstair-"))


def _has_body(headers: Headers) -> bool:
    return _content_length(headers) > 0 or bool(
        header_value(headers, b"transfer-encoding")
    )


def _has_length(headers: Headers) -> bool:
    return bool(header_value(headers, b"content-length"))


def _content_length(headers: Headers) -> int:
    value = header_value(headers, b"content-length")
    return int(value) if value else 0


def _is_idempotent(request: Request, compiled: CompiledRoute) -> bool:
    header = header_value(request.headers, b"pepperstair-idempotent")
    return compiled.route.is_idempotent or header.lower() == b"true"


def _timeout_ms(headers: Headers, route_timeout_ms: int) -> int:
    header = header_value(headers, b"pepperstair-timeout-ms")
    if not header.isdigit() or int(header) == 0:
        return route_timeout_ms
    return min(int(header), route_timeout_ms)


__all__ = ["AttemptSender", "NaiveContext", "NaiveProxy"]
