"""Forward callers' requests to targets and relay the answers."""

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
from pepperstair_core.intent import Account
from pepperstair_core.quota import Token
from pepperstair_core.routing import CompiledRoute, pick_destination
from pepperstair_http import ConnectionLostError, Exchange, Request, StreamedResponse

from .attempts import ProxiedCall, count_call_ids
from .authorization import find_account, is_out_of_date
from .context import ProxyContext
from .relay import answer_failure, relay
from .request_body import RequestBody
from .request_heads import RequestHead, make_head_reader
from .unrouted import UnroutedRequests

log = structlog.get_logger(__name__)

# Maximum time that a request waits in a daemon that has just started until the request
# can be routed. Targets announce themselves every 1.5 s; half of them are known after
# half a second.
STARTUP_WAIT_MAX_MS: Final = 500.0
# Maximum share of the caller's timeout that a request waits in a daemon that has just
# started. After a longer wait, the request would miss its deadline.
STARTUP_WAIT_SHARE: Final = 0.25
STARTUP_POLL_INTERVAL_MS: Final = 20


class Proxy:
    """Handles the requests of callers."""

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
        self.n_unauthorized = 0
        # Number of requests refused because the client accounts may be out of date.
        self.n_unproved = 0
        # Number of failed calls that were not retried, by the reason.
        self.n_given_up = dict.fromkeys(GiveUpCause, 0)
        self.unrouted = UnroutedRequests(context)
        self._scopes: set[asyncio.Timeout] = set()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request with the target's complete answer or with a failure."""
        self.n_calls += 1
        self.n_in_flight += 1
        start_ms = self._context.now_ms() - exchange.queued_s * 1000
        call: ProxiedCall | None = None
        token: Token | None = None
        # The outcome that is recorded if the caller disconnects: this task is then
        # cancelled before it sets another outcome below.
        status, error = ANSWERS[ErrorKind.CANCELLED].status, ErrorKind.CANCELLED
        try:
            try:
                if self._context.is_starting():
                    await self._wait_for_startup(exchange.request)
                call = self._create_call(exchange, start_ms)
                if call.account is not None and call.account.has_quota:
                    token = await self._context.take_quota(call.account)
                response = await self._send(call)
            except PepperstairError as failed:
                failure = failed.failure
                status, error = failure.answer.status, failure.kind
                if call is not None:
                    call.run = failure.run_status
                    if call.is_inner_call and _is_refused(failure):
                        self._context.on_inner_call_refused()
                if token is not None and failure.run_status is RunStatus.NO:
                    self._context.refund_quota(token)
                await answer_failure(exchange, failure, self._context.header_names)
                return
            call.run = RunStatus.YES
            is_complete = await self._relay_answer(exchange, call, response)
            status = response.status
            error = None if is_complete else ErrorKind.TARGET_FAILED
        except ConnectionLostError:
            # The caller's connection closed before the request body was complete.
            exchange.abort()
        finally:
            self._finish(call, status, error, start_ms)

    def is_repeatable(self, request: Request) -> bool:
        """Return whether a request may run concurrently with others.

        A request without a known route is not repeatable: on a daemon that has just
        started, the route may become known before the request begins, and a
        non-idempotent request could then run twice.
        """
        compiled = self._context.route_table().match(request.host, request.path)
        if compiled is None:
            return False
        if compiled.route.is_idempotent:
            return True
        return self._read_head(request.headers).is_idempotent

    def fail_pending(self) -> None:
        """Answer every request that still waits for its target with a failure.

        A daemon that must exit can't wait for the slowest target. If it closed the
        connections without an answer, callers could not tell whether a
        non-idempotent request may be retried.
        """
        now_s = asyncio.get_running_loop().time()
        for scope in self._scopes:
            scope.reschedule(now_s)

    async def _send(self, call: ProxiedCall) -> StreamedResponse:
        scope = asyncio.timeout(None)
        try:
            async with scope:
                self._scopes.add(scope)
                return await call.send()
        except TimeoutError as error:
            kind = ErrorKind.DRAINING if call.run is RunStatus.NO else ErrorKind.TIMEOUT
            failure = Failure(kind, "this daemon is stopping", run=call.run)
            raise PepperstairError(failure) from error
        finally:
            self._scopes.discard(scope)

    async def _wait_for_startup(self, request: Request) -> None:
        """Delay a request until the starting daemon can route it, up to a limit.

        A daemon that restarts after a kill receives its configuration and targets some
        tenths of a second after it starts to listen. If it refused requests until then,
        each of its callers would lose a second and use up one of its few retries; after
        a kill of all daemons, this would affect every caller.
        """
        head = self._read_head(request.headers)
        wait_max_ms = STARTUP_WAIT_MAX_MS
        if head.timeout_ms:
            wait_max_ms = min(wait_max_ms, head.timeout_ms * STARTUP_WAIT_SHARE)
        end_ms = self._context.now_ms() + wait_max_ms
        if self._can_route(request, head):
            return
        self.n_held_at_start += 1
        while not self._can_route(request, head) and self._context.now_ms() < end_ms:
            await asyncio.sleep(STARTUP_POLL_INTERVAL_MS / 1000)

    def _can_route(self, request: Request, head: RequestHead) -> bool:
        """Return True if a request can be routed or is certain to be refused.

        In both cases, a longer wait for the startup would not help the request.
        """
        context = self._context
        if context.is_draining():
            return True
        if not context.is_ready():
            return False
        compiled = context.route_table().match(request.host, request.path)
        if compiled is None:
            basis = context.version_basis()
            return basis is None or not basis.may_be_superseded
        if is_out_of_date(context, head, compiled):
            return False
        destinations = [part for _, part in compiled.destinations] or [compiled]
        return all(context.endpoints(part) for part in destinations)

    def _create_call(self, exchange: Exchange, arrived_ms: float) -> ProxiedCall:
        """Return the call for a request, or raise if the request is refused."""
        request = exchange.request
        context = self._context
        if context.is_draining():
            raise PepperstairError(Failure(ErrorKind.DRAINING, context.vm))
        if not context.is_ready():
            raise PepperstairError(Failure(ErrorKind.NOT_READY))
        if request.method == "CONNECT":
            raise PepperstairError(
                Failure(ErrorKind.BAD_REQUEST, "CONNECT is not supported")
            )
        head = self._read_head(request.headers)
        compiled = context.route_table().match(request.host, request.path)
        if compiled is None:
            raise PepperstairError(self.unrouted.refuse(request, head))
        account = self._find_account(head, compiled)
        compiled = pick_destination(compiled, context.rng)
        if context.chooser.typical_ms(compiled.route.name) > context.time_to_stop_ms():
            raise PepperstairError(Failure(ErrorKind.DRAINING, context.vm))
        body_max_bytes = context.body_max_bytes()
        if head.n_body_bytes > body_max_bytes:
            raise PepperstairError(Failure(ErrorKind.BODY_TOO_LARGE))
        body = RequestBody(exchange.body, body_max_bytes)
        return ProxiedCall(
            context, request, head, compiled, account, body, self._call_ids, arrived_ms
        )

    def _find_account(
        self, head: RequestHead, compiled: CompiledRoute
    ) -> Account | None:
        try:
            return find_account(self._context, head, compiled)
        except PepperstairError as error:
            self.n_unproved += error.failure.kind is ErrorKind.NOT_READY
            raise

    async def _relay_answer(
        self, exchange: Exchange, call: ProxiedCall, response: StreamedResponse
    ) -> bool:
        """Relay an answer and return whether it was relayed completely.

        If the answer has arrived completely, the target's slot is freed before the
        answer is relayed. The relay may have to wait for the answer to an earlier
        request on the caller's connection; if the slot were held until then, it would
        be idle, but the target would appear busy.
        """
        if response.body.is_complete:
            response.cancel()
            n_bytes = response.body.n_bytes + response.body.n_read_bytes
            call.end_answered(response, True, n_bytes)
            return await relay(exchange, response)
        is_complete = False
        is_answered = False
        try:
            is_complete = await relay(exchange, response)
            is_answered = True
        finally:
            response.cancel()
            if is_answered:
                call.end_answered(response, is_complete, response.body.n_read_bytes)
            else:
                call.abandon()
        return is_complete

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
        self.n_unauthorized += error is ErrorKind.UNAUTHORIZED
        n_retries = max(0, call.n_attempts - 1) if call is not None else 0
        self.n_retries += n_retries
        outcome = CallOutcome(
            customer=call.compiled.customer if call is not None else "",
            route=call.compiled.route.name if call is not None else "",
            priority=call.priority if call is not None else "",
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
        """Log the outcome of a request and the attempts that led to it.

        Requests with an error, a 5xx status or a retry are always logged, other
        requests only if they are sampled. Those above a quota are routine, as clients
        may send many of them; `quota_exceeded` reports them once a second.
        """
        is_routine = outcome.error in (None, ErrorKind.QUOTA_EXCEEDED)
        is_routine = is_routine and outcome.status < 500
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
            **_version_fields(call),
        )


def _version_fields(call: ProxiedCall) -> dict[str, str]:
    """Return why a request went to one version of the targets, if it did."""
    cause = call.compiled.version_cause
    return {"version_cause": cause} if cause else {}


def _is_refused(failure: Failure) -> bool:
    """Return whether a request was refused as not run and may be sent again."""
    return failure.answer.is_retryable and failure.run_status is RunStatus.NO


__all__ = ["Proxy"]
