"""Carries a caller's request to a target and the answer back."""

from __future__ import annotations

import asyncio
from typing import Final

import structlog

from pepperstair_core.calls import CallOutcome, GiveUpCause, is_sampled
from pepperstair_core.errors import (
    ANSWERS,
    ErrorKind,
    Failure,
    PepperstairError,
    RunStatus,
)
from pepperstair_core.events import Event
from pepperstair_core.routing import pick_destination
from pepperstair_http import ConnectionLostError, Exchange, Request, StreamedResponse

from .attempts import ProxiedCall, count_call_ids
from .context import ProxyContext
from .relay import answer_failure, relay
from .request_body import RequestBody
from .request_heads import make_head_reader

log = structlog.get_logger(__name__)

# For how long a request waits for a daemon that has just started: targets announce
# themselves every 1.5 s, and half of them are known after half a second.
STARTUP_WAIT_MAX_MS: Final = 500.0
# Waiting longer than this share of what its caller allows would cost it its answer.
JOIN_WAIT_SHARE: Final = 0.25
JOIN_CHECK_MS: Final = 20


class Proxy:
    """The handler of callers' requests."""

    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        self._call_ids = count_call_ids()
        self._read_head = make_head_reader(context.header_names, context.service)
        self.n_calls = 0
        self.n_failed = 0
        self.n_retries = 0
        self.n_in_flight = 0
        self.n_held_at_start = 0
        self.n_quarantined = 0
        # Failed calls by why they were not sent to another target.
        self.n_given_up = dict.fromkeys(GiveUpCause, 0)
        self._scopes: set[asyncio.Timeout] = set()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request: the target's whole answer or one clear failure."""
        self.n_calls += 1
        self.n_in_flight += 1
        start_ms = self._context.now_ms() - exchange.held_s * 1000
        call: ProxiedCall | None = None
        # Where nothing else is learnt, as when this task is cancelled because
        # the connection went away, the caller has left.
        status, error = ANSWERS[ErrorKind.CANCELLED].status, ErrorKind.CANCELLED
        try:
            try:
                if self._context.is_starting():
                    await self._wait_to_join(exchange.request)
                call = self._begin(exchange, start_ms)
                response = await self._carry(call)
            except PepperstairError as failed:
                failure = failed.failure
                status, error = failure.answer.status, failure.kind
                if call is not None:
                    call.run = failure.run_status
                await answer_failure(exchange, failure, self._context.header_names)
                return
            call.run = RunStatus.YES
            is_whole = await self._pass_on(exchange, call, response)
            status = response.status
            error = None if is_whole else ErrorKind.TARGET_FAILED
        except ConnectionLostError:
            # The caller's own connection broke while its body was arriving.
            exchange.abort()
        finally:
            self._finish(call, status, error, start_ms)

    def is_repeatable(self, request: Request) -> bool:
        """Return whether a request may run side by side with others.

        One whose route is not known may find it by the time that it begins, as on a
        daemon that has just started; it could then run twice.
        """
        compiled = self._context.route_table().match(request.host, request.path)
        if compiled is None:
            return False
        if compiled.route.is_idempotent:
            return True
        return self._read_head(request.headers).is_idempotent

    def fail_pending(self) -> None:
        """Answer every request that still waits for its target, at once.

        A daemon that must go can't wait for the slowest target. A connection
        that is closed without an answer tells the caller nothing, not even
        whether it may send a request again that must not run twice.
        """
        now_s = asyncio.get_running_loop().time()
        for scope in self._scopes:
            scope.reschedule(now_s)

    async def _carry(self, call: ProxiedCall) -> StreamedResponse:
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scopes.add(scope)
                return await call.carry()
        except TimeoutError as error:
            kind = ErrorKind.DRAINING if call.run is RunStatus.NO else ErrorKind.TIMEOUT
            failure = Failure(kind, "this daemon is stopping", run=call.run)
            raise PepperstairError(failure) from error
        finally:
            self._scopes.discard(scope)

    async def _wait_to_join(self, request: Request) -> None:
        """Let a request wait a moment for what the starting daemon is about to learn.

        A daemon that was killed knows its configuration and its targets some tenths
        of a second after it listens. Refused meanwhile, its callers would spend one
        of their few retries and a second; after a kill of all daemons, all would.
        """
        timeout_ms = self._read_head(request.headers).timeout_ms
        longest_ms = STARTUP_WAIT_MAX_MS
        if timeout_ms:
            longest_ms = min(longest_ms, timeout_ms * JOIN_WAIT_SHARE)
        end_ms = self._context.now_ms() + longest_ms
        if self._can_carry(request):
            return
        self.n_held_at_start += 1
        while not self._can_carry(request) and self._context.now_ms() < end_ms:
            await asyncio.sleep(JOIN_CHECK_MS / 1000)

    def _can_carry(self, request: Request) -> bool:
        """Return whether all is known that a request needs, or it is refused anyway."""
        context = self._context
        if context.is_draining():
            return True
        if not context.is_ready():
            return False
        compiled = context.route_table().match(request.host, request.path)
        if compiled is None:
            return True
        destinations = [part for _, part in compiled.destinations] or [compiled]
        return all(context.endpoints(part) for part in destinations)

    def _begin(self, exchange: Exchange, arrived_ms: float) -> ProxiedCall:
        """Find the route of a request, or raise why it is not carried."""
        request = exchange.request
        context = self._context
        if context.is_draining():
            raise PepperstairError(Failure(ErrorKind.DRAINING, context.vm))
        if not context.is_ready():
            raise PepperstairError(Failure(ErrorKind.NOT_READY))
        if request.method == "CONNECT":
            raise PepperstairError(Failure(ErrorKind.BAD_REQUEST, "no tunnels"))
        compiled = context.route_table().match(request.host, request.path)
        if compiled is None:
            raise PepperstairError(Failure(ErrorKind.NO_ROUTE, request.path))
        compiled = pick_destination(compiled, context.rng)
        if context.chooser.typical_ms(compiled.route.name) > context.time_to_stop_ms():
            raise PepperstairError(Failure(ErrorKind.DRAINING, context.vm))
        head = self._read_head(request.headers)
        body_max_bytes = context.body_max_bytes()
        if head.n_body_bytes > body_max_bytes:
            raise PepperstairError(Failure(ErrorKind.BODY_TOO_LARGE))
        body = RequestBody(exchange.body, body_max_bytes)
        return ProxiedCall(
            context, request, head, compiled, body, self._call_ids, arrived_ms
        )

    async def _pass_on(
        self, exchange: Exchange, call: ProxiedCall, response: StreamedResponse
    ) -> bool:
        """Relay an answer; return whether the caller was given all of it.

        An answer that is whole already may still wait for that to an earlier
        request of its connection. It leaves the target's slot at once: held until
        then, the slot would do nothing, and the target would look busy.
        """
        if response.body.is_whole:
            response.cancel()
            n_bytes = response.body.n_bytes + response.body.n_read_bytes
            call.end_answered(response, True, n_bytes)
            return await relay(exchange, response)
        is_whole = False
        is_answered = False
        try:
            is_whole = await relay(exchange, response)
            is_answered = True
        finally:
            response.cancel()
            if is_answered:
                call.end_answered(response, is_whole, response.body.n_read_bytes)
            else:
                call.abandon()
        return is_whole

    def _finish(
        self,
        call: ProxiedCall | None,
        status: int,
        error: ErrorKind | None,
        start_ms: float,
    ) -> None:
        self.n_in_flight -= 1
        self.n_failed += error is not None
        self.n_quarantined += error is ErrorKind.QUARANTINED
        n_retries = max(0, call.n_attempts - 1) if call is not None else 0
        self.n_retries += n_retries
        outcome = CallOutcome(
            customer=call.compiled.customer if call is not None else "",
            route=call.compiled.route.name if call is not None else "",
            priority=call.compiled.route.priority if call is not None else "",
            status=status,
            error=error,
            run=call.run if call is not None else RunStatus.NO,
            duration_ms=self._context.now_ms() - start_ms,
            n_retries=n_retries,
        )
        self._context.on_outcome(outcome)
        if call is not None:
            if call.given_up is not None:
                self.n_given_up[call.given_up] += 1
            self._log(call, outcome)

    def _log(self, call: ProxiedCall, outcome: CallOutcome) -> None:
        """Log what became of a request and on what grounds.

        Every request that did not go smoothly has a line, and a few others.
        """
        is_routine = outcome.error is None and outcome.status < 500
        is_routine = is_routine and not outcome.n_retries
        if is_routine and not is_sampled(call.request_id):
            return
        log.info(
            Event.REQUEST_ANSWERED,
            request_id=call.request_id,
            fingerprint=call.fingerprint.hex(),
            route=outcome.route,
            service=call.compiled.service.name,
            version=call.compiled.version,
            status=outcome.status,
            error=outcome.error,
            run=outcome.run,
            duration_ms=round(outcome.duration_ms, 1),
            timeout_ms=call.timeout_ms,
            tried=call.tried,
            given_up=call.given_up,
        )


__all__ = ["Proxy"]
