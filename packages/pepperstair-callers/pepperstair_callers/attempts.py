"""Send a call to a target and retry it on another target if a retry is safe."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from typing import Final

import structlog
from msgspec.structs import replace

from pepperstair_core.accounts import effective_priority
from pepperstair_core.calls import (
    FULL_AVOIDED_MS,
    Attempt,
    CallEnd,
    EndKind,
    GiveUp,
    GiveUpCause,
    RetryBudget,
    decide_retry,
    fingerprint,
)
from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, RunStatus
from pepperstair_core.intent import Account
from pepperstair_core.routing import CompiledRoute, Endpoint
from pepperstair_core.wire import CallHead
from pepperstair_http import (
    KNOWN_LIMIT_HEADER,
    MISDIRECTED_STATUS,
    Request,
    StreamedResponse,
    header_value,
    is_signed,
    read_statement,
)

from .attempt_ends import (
    FAILED_STATUSES,
    FULL_TIMEOUT_SHARE,
    RETRY_MIN_TIME_SHARE,
    classify_answer,
    classify_failure,
    may_have_reached_target,
)
from .attempt_reports import report_ejection, report_retry
from .authorization import find_account, is_inner_call
from .context import ProxyContext
from .request_body import RequestBody
from .request_heads import RequestHead

log = structlog.get_logger(__name__)

# The timeout sent to the daemon on the target's VM is the remaining time less a margin:
# the smaller of `HOP_MARGIN_MS` and `HOP_MARGIN_SHARE` of the remaining time. With this
# margin, the exact answer of that daemon (not run, or unknown) arrives before this
# daemon times out and can only report `unknown`.
HOP_MARGIN_MS: Final = 5
HOP_MARGIN_SHARE: Final = 0.1

# Maximum number of attempts that do not count as attempts because the daemon at the
# target's address refused them, by the target's rate limit or as it has no such target.
# The route limits the number of targets that a call is sent to.
N_BEFORE_TARGET_MAX: Final = 3

# Maximum number of refusals for a target's version that do not count as attempts. After
# each, the call goes on with another version, so more than one occurs only if a rollout
# changes its phase at the same time.
N_VERSION_REFUSALS_MAX: Final = 2
_VERSION_REFUSAL_KINDS: Final = frozenset(
    {ErrorKind.VERSION_HELD, ErrorKind.VERSION_SUPERSEDED}
)

_BEFORE_TARGET_KINDS: Final = (ErrorKind.BUSY, ErrorKind.NO_TARGET)

# Time that the call waited for a slot, set by the daemon on the target's VM.
WAITED_HEADER: Final = b"pepperstair-waited-ms"


class ProxiedCall:
    """One proxied request with its route, its deadline and its attempts."""

    __slots__ = (
        "_attempt_start_ms",
        "_body",
        "_call_ids",
        "_context",
        "_destination",
        "_endpoint",
        "_excluded",
        "_head",
        "_is_idempotent",
        "_latency_ms",
        "_may_have_reached_target",
        "_n_before_target",
        "_n_version_refusals",
        "_overload_failure",
        "_request",
        "_waited_before_ms",
        "account",
        "compiled",
        "deadline_ms",
        "fingerprint",
        "given_up",
        "is_inner_call",
        "n_attempts",
        "run",
        "timeout_ms",
        "tried",
    )

    def __init__(
        self,
        context: ProxyContext,
        request: Request,
        head: RequestHead,
        compiled: CompiledRoute,
        account: Account | None,
        body: RequestBody,
        call_ids: Iterator[int],
        arrived_ms: float,
    ) -> None:
        self._context = context
        self._request = request
        self._body = body
        self._call_ids = call_ids
        self._head = head
        self._is_idempotent = compiled.route.is_idempotent or head.is_idempotent
        route_timeout_ms = compiled.route.timeout_ms
        self.timeout_ms = min(head.timeout_ms or route_timeout_ms, route_timeout_ms)
        self._waited_before_ms = context.caller_timeouts.waited_ms(
            compiled.route.name, head.timeout_ms
        )
        self._endpoint: Endpoint | None = None
        self._excluded: frozenset[tuple[str, str]] = frozenset()
        self._may_have_reached_target = False
        self._n_before_target = 0
        self._n_version_refusals = 0
        self._overload_failure: Failure | None = None
        # The route with all versions of its targets; `compiled` is restricted to one.
        self._destination = compiled
        self.compiled = context.pick_version(compiled)
        self.account = account
        self.is_inner_call = is_inner_call(context, account)
        self.deadline_ms = arrived_ms + self.timeout_ms
        self._attempt_start_ms = 0.0
        self._latency_ms = 0.0
        self.n_attempts = 0
        self.fingerprint = b""
        self.given_up: GiveUpCause | None = None
        self.run = RunStatus.NO
        # Finished attempts, for the log: the VM, the target, how the attempt ended, and
        # its latency in milliseconds.
        self.tried: list[tuple[str, str, str, float]] = []

    @property
    def request_id(self) -> str:
        """Return the caller's request id, or an empty string if it is not set."""
        return self._head.request_id

    @property
    def priority(self) -> str:
        """Return the priority of the request."""
        return effective_priority(
            self.compiled.route.priority, self.account, self.is_inner_call
        )

    @property
    def time_left_ms(self) -> float:
        """Return the time until the deadline."""
        return self.deadline_ms - self._context.now_ms()

    async def send(self) -> StreamedResponse:
        """Return the answer of a target, or raise the failure of the last attempt."""
        context = self._context
        percent = min(context.retry_budget_percent, self._budget_percent())
        self._budget.add_call(percent)
        await self._read_body()
        self.fingerprint = self._compute_fingerprint()
        self._refuse_quarantined()
        return await self.send_until_answered()

    async def send_until_answered(self) -> StreamedResponse:
        """Send the call to one target after another until one answers."""
        context = self._context
        while True:
            self._attempt_start_ms = context.now_ms()
            self._update_account()
            self._endpoint = self._choose()
            self.n_attempts += 1
            try:
                response = await self._attempt(self._endpoint)
                self._record_statement(self._endpoint, response)
                context.acceptance_rates.record(self.compiled.service.name, True)
                if self._is_retry_worthwhile(response):
                    return await self._retry_elsewhere(response)
                self._latency_ms = context.now_ms() - self._attempt_start_ms
                context.chooser.record_answer(self._endpoint, self._attempt_start_ms)
                return response
            except PepperstairError as error:
                await self._prepare_retry(error.failure)
            except BaseException:
                self.run = RunStatus.UNKNOWN
                self.abandon()
                raise

    def _update_account(self) -> None:
        """Raise if the request's key was removed while the request waited."""
        try:
            self.account = find_account(self._context, self._head, self.compiled)
        except PepperstairError as error:
            failure = replace(error.failure, run=self.run)
            raise PepperstairError(failure) from error

    def _record_statement(self, endpoint: Endpoint, response: StreamedResponse) -> None:
        """Record what a target states about itself in an answer of its own."""
        context = self._context
        headers, names = response.headers, context.header_names
        if response.status == MISDIRECTED_STATUS or not is_signed(headers, names):
            return
        statement = read_statement(headers, names)
        if statement.is_leaving:
            context.on_leaving(endpoint)
        if not statement.invalid_limit:
            context.chooser.record_limit(
                endpoint,
                statement.rate_limit_per_s,
                self._attempt_start_ms,
                context.now_ms(),
            )

    @property
    def _budget(self) -> RetryBudget:
        return self._context.budget_of(self.compiled.service.name)

    @property
    def _is_full_timeout(self) -> bool:
        """Return whether the caller's timeout is about as long as the route's timeout.

        The expiry of a much shorter timeout does not show that the target is faulty,
        so it must not cause the ejection of a target that other callers use.
        """
        full_ms = self.compiled.route.timeout_ms * FULL_TIMEOUT_SHARE
        return self.timeout_ms >= full_ms

    def _is_retry_worthwhile(self, response: StreamedResponse) -> bool:
        """Return whether to retry a failure answer on another target.

        A target that fails only some of its requests appears healthy. Without the
        retry, callers would receive errors that other targets would not have returned.
        """
        return (
            response.status in FAILED_STATUSES
            and self._is_idempotent
            and response.body.is_complete
            and self.time_left_ms > self.timeout_ms * RETRY_MIN_TIME_SHARE
        )

    async def _retry_elsewhere(self, failed: StreamedResponse) -> StreamedResponse:
        """Return another target's answer, or `failed` if the retry fails too."""
        failed_endpoint = self._endpoint
        failed.cancel()
        self._may_have_reached_target = True
        self.run = RunStatus.YES
        failure = Failure(ErrorKind.TARGET_FAILED, f"status {failed.status}")
        try:
            await self._prepare_retry(failure)
            return await self.send_until_answered()
        except PepperstairError:
            # If the retry fails too, the first target's answer is returned, as it is
            # more specific than the failure of the retry.
            self._endpoint = None
            self._excluded = self._excluded | {failed_endpoint.key}
            return failed

    def end(self, end: CallEnd) -> None:
        """Report the end of the current attempt to the target chooser.

        Further calls for the same attempt do nothing.
        """
        endpoint = self._endpoint
        if endpoint is None:
            return
        self._endpoint = None
        context = self._context
        ejection = context.chooser.end(
            endpoint,
            context.endpoints(self.compiled),
            end,
            context.now_ms(),
        )
        if ejection is not None:
            report_ejection(context, ejection)

    def _record_tried(self, ended: str, latency_ms: float) -> None:
        endpoint = self._endpoint
        if endpoint is not None:
            target = endpoint.target.name
            self.tried.append((endpoint.vm, target, ended, round(latency_ms, 1)))

    def _end(self, kind: EndKind, latency_ms: float = 0.0, avoid_ms: int = 0) -> None:
        route = self.compiled.route.name
        self.end(CallEnd(kind, self._attempt_start_ms, latency_ms, avoid_ms, route))

    def end_answered(
        self, response: StreamedResponse, is_complete: bool, n_bytes: int
    ) -> None:
        """Record the end of an answer that was relayed to the caller.

        Errors and truncated answers count against the target, regardless of the state
        that the target announces or reports on a health endpoint.
        """
        kind = classify_answer(response.status, is_complete)
        self._record_tried(str(response.status), self._latency_ms)
        waited = header_value(response.headers, WAITED_HEADER)
        waited_ms = int(waited) if waited.isdigit() else 0
        self._end(kind, max(0.0, self._latency_ms - waited_ms))
        self._context.answer_sizes.record(self.compiled.route.name, n_bytes)

    def abandon(self) -> None:
        """Record an attempt whose caller disconnected before the end of the answer."""
        self._end(EndKind.ABANDONED)

    async def _read_body(self) -> None:
        if not self._head.has_body or self._body.buffer_nowait():
            return
        try:
            async with asyncio.timeout(self.time_left_ms / 1000):
                await self._body.buffer()
        except TimeoutError as error:
            failure = Failure(
                ErrorKind.DEADLINE_BEFORE_RUN, "request body not received"
            )
            raise PepperstairError(failure) from error

    def _compute_fingerprint(self) -> bytes:
        request = self._request
        return fingerprint(
            request.method,
            request.host,
            request.path,
            self._context.service,
            self._body.prefix,
        )

    def _refuse_quarantined(self) -> None:
        """Raise if the request is quarantined, without contacting a target."""
        context = self._context
        refusal = context.quarantine.refusal(self.fingerprint, context.now_ms())
        if refusal is not None:
            raise PepperstairError(refusal)

    def _choose(self) -> Endpoint:
        context = self._context
        chosen = context.chooser.choose(
            context.endpoints(self.compiled),
            context.load_of,
            self._attempt_start_ms,
            self._excluded,
            is_urgent=self.priority == "urgent",
            route=self.compiled.route.name,
            n_answer_bytes=context.answer_sizes.of(self.compiled.route.name),
            objective_ms=self.compiled.route.objective_ms,
            is_free_slot_required=self._overload_failure is not None,
        )
        if chosen is None and self._overload_failure is not None:
            self.given_up = GiveUpCause.NO_ROOM
            raise PepperstairError(self._overload_failure)
        if chosen is None:
            failure = Failure(ErrorKind.NO_TARGET, self.compiled.service.name)
            raise PepperstairError(failure)
        return chosen

    async def _attempt(self, endpoint: Endpoint) -> StreamedResponse:
        head = self._call_head(endpoint)
        body = self._body.body_for_attempt()
        if endpoint.vm == self._context.vm:
            # The local runner enforces the deadline itself.
            return await self._context.send_attempt(endpoint, head, body)
        try:
            async with asyncio.timeout(max(0.0, self.time_left_ms) / 1000) as scope:
                loop = asyncio.get_running_loop()
                self._body.on_failed = lambda: scope.reschedule(loop.time())
                return await self._context.send_attempt(endpoint, head, body)
        except TimeoutError as error:
            failure = self._body.failure or Failure(ErrorKind.TIMEOUT)
            raise PepperstairError(failure) from error

    async def _prepare_retry(self, failure: Failure) -> None:
        """Wait until the retry may start, or raise the failure if no retry follows."""
        failed = self._endpoint
        latency_ms = self._context.now_ms() - self._attempt_start_ms
        kind = classify_failure(failure, self._is_full_timeout)
        self._may_have_reached_target |= may_have_reached_target(failure)
        avoid_ms = failure.retry_after_ms
        if failure.kind is ErrorKind.OVERLOADED:
            avoid_ms = FULL_AVOIDED_MS
        elif failure.kind in _BEFORE_TARGET_KINDS:
            self._n_before_target = min(self._n_before_target + 1, N_BEFORE_TARGET_MAX)
        if failure.kind is ErrorKind.NO_TARGET:
            self._context.on_absent(failed, self._attempt_start_ms)
        self._record_tried(failure.kind, latency_ms)
        self._end(kind, latency_ms, avoid_ms)
        if self._switch_version(failed, failure):
            return
        attempt = Attempt(
            failure,
            self.priority,
            self.n_attempts - self._n_before_target,
            self._is_idempotent,
            self._body.is_replayable,
            self.time_left_ms,
            self.run,
            self.compiled.route.n_attempts_max,
            self._may_have_reached_target,
        )
        self.run = attempt.run_status
        excluded = self._excluded | {failed.key}
        known = self._context.endpoints(self.compiled)
        has_other = any(endpoint.key not in excluded for endpoint in known)
        final = Failure(
            failure.kind,
            failure.detail,
            self._retry_after_ms(failure),
            attempt.run_status,
        )
        if not has_other:
            self.given_up = GiveUpCause.NO_OTHER
            raise PepperstairError(final)
        decision = decide_retry(attempt, self._budget, self._context.rng)
        if isinstance(decision, GiveUp):
            self.given_up = decision.cause
            raise PepperstairError(final)
        # A call that an overloaded target refused is retried only on a target with a
        # free slot. Otherwise each call would be refused several times in an overload.
        self._overload_failure = final if failure.kind is ErrorKind.OVERLOADED else None
        self._excluded = excluded
        report_retry(self._context, failed, failure, self.n_attempts)
        await asyncio.sleep(decision.delay_ms / 1000)

    def _switch_version(self, failed: Endpoint, failure: Failure) -> bool:
        """Continue with another version of the targets after a failed attempt.

        Return whether the next attempt starts at once and does not count as a retry,
        because the target was refused only for its version.
        """
        context = self._context
        other = context.pick_other_version(self._destination, failed, failure)
        if other is None:
            return False
        self.compiled = other
        if failure.kind not in _VERSION_REFUSAL_KINDS or self.time_left_ms <= 0:
            return False
        if self._n_version_refusals >= N_VERSION_REFUSALS_MAX:
            return False
        self._n_version_refusals += 1
        self.n_attempts -= 1
        self._excluded = self._excluded | {failed.key}
        return True

    def _retry_after_ms(self, failure: Failure) -> int:
        """Return the time after which the caller should retry, or 0 if unknown."""
        if failure.kind is not ErrorKind.TARGET_REFUSED:
            return failure.retry_after_ms
        service = self.compiled.service.name
        self._context.acceptance_rates.record(service, False)
        return self._context.acceptance_rates.retry_after_ms(service)

    def _call_head(self, endpoint: Endpoint) -> CallHead:
        request = self._request
        call_id = next(self._call_ids)
        headers = self._head.forwarded
        limit_per_s = self._context.chooser.limit_of(endpoint)
        if limit_per_s is not None:
            headers = (*headers, (KNOWN_LIMIT_HEADER, b"%.3f" % limit_per_s))
        account_header = self._context.header_names.account
        if self.account is not None and account_header:
            headers = (*headers, (account_header, self.account.name.encode()))
        return CallHead(
            call_id=call_id,
            request_id=self._head.request_id or f"{self._context.vm}-{call_id}",
            customer=self.compiled.customer,
            target=endpoint.target.name,
            method=request.method,
            path=request.path,
            headers=headers,
            priority=self.priority,
            is_idempotent=self._is_idempotent,
            time_left_ms=self._timeout_for_ms(endpoint),
            has_body=self._head.has_body,
            route=self.compiled.route.name,
            wanted_left_ms=self._objective_left_ms(),
            fingerprint=self.fingerprint,
        )

    def _objective_left_ms(self) -> int:
        """Return the time left of the route's latency objective, or -1 if it has none.

        If the caller resends a request, the time that it waited before the resend is
        subtracted too.
        """
        objective_ms = self.compiled.route.objective_ms
        if not objective_ms:
            return -1
        waited_ms = self.timeout_ms - self.time_left_ms + self._waited_before_ms
        return max(0, int(objective_ms - waited_ms))

    def _timeout_for_ms(self, endpoint: Endpoint) -> int:
        left_ms = self.time_left_ms
        if endpoint.vm != self._context.vm:
            left_ms -= min(HOP_MARGIN_MS, left_ms * HOP_MARGIN_SHARE)
        return max(0, int(left_ms))

    def _budget_percent(self) -> int:
        endpoints = self._context.endpoints(self.compiled)
        return endpoints[0].policy.retry_budget_percent if endpoints else 0


def count_call_ids() -> Iterator[int]:
    """Return an iterator over call ids; each attempt takes the next one."""
    return itertools.count(1)


__all__ = ["ProxiedCall", "count_call_ids"]
