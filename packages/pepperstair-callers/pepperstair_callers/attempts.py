"""Sends a call to a target, and to another one where that is safe."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from typing import Final

import structlog

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
from pepperstair_core.routing import CompiledRoute, Endpoint
from pepperstair_core.wire import CallHead
from pepperstair_http import Request, StreamedResponse, header_value

from .attempt_ends import (
    FAILED_STATUSES,
    RETRY_TIME_SHARE,
    WHOLE_TIMEOUT_SHARE,
    end_of_answer,
    end_of_failure,
    may_have_arrived,
)
from .attempt_reports import report_ejection, report_retry
from .context import ProxyContext
from .request_body import RequestBody
from .request_heads import RequestHead

log = structlog.get_logger(__name__)

# The daemon beside the target is given a little less time than is left here,
# so that its exact answer (not run, or unknown) comes before the own timeout,
# which can say `unknown` only.
HOP_MARGIN_MS: Final = 5
HOP_MARGIN_SHARE: Final = 0.1

# Time that the call waited beside the target, told by the daemon there.
WAITED_HEADER: Final = b"pepperstair-waited-ms"


class ProxiedCall:
    """One request on its way: its route, its deadline and its attempts."""

    __slots__ = (
        "_attempted_ms",
        "_body",
        "_call_ids",
        "_context",
        "_endpoint",
        "_excluded",
        "_has_arrived",
        "_head",
        "_is_idempotent",
        "_latency_ms",
        "_refused",
        "_request",
        "_waited_before_ms",
        "compiled",
        "deadline_ms",
        "fingerprint",
        "given_up",
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
        self._has_arrived = False
        self._refused: Failure | None = None
        self.compiled = compiled
        self.deadline_ms = arrived_ms + self.timeout_ms
        self._attempted_ms = 0.0
        self._latency_ms = 0.0
        self.n_attempts = 0
        self.fingerprint = b""
        self.given_up: GiveUpCause | None = None
        self.run = RunStatus.NO
        # Each attempt as the log shows it: where, how it ended, after how long.
        self.tried: list[tuple[str, str, str, float]] = []

    @property
    def request_id(self) -> str:
        """Return the id that the caller gave its request, or an empty string."""
        return self._head.request_id

    @property
    def time_left_ms(self) -> float:
        """Return the time until the answer is due."""
        return self.deadline_ms - self._context.now_ms()

    async def send_attempt(self) -> StreamedResponse:
        """Return the first answer of a target, or raise the last failure."""
        context = self._context
        percent = min(context.retry_budget_percent, self._budget_percent())
        self._budget.add_call(percent)
        await self._read_body()
        self.fingerprint = self._take_fingerprint()
        self._refuse_quarantined()
        return await self.carry_on()

    async def carry_on(self) -> StreamedResponse:
        """Send the call to one target after the other until one answers."""
        context = self._context
        while True:
            self._attempted_ms = context.now_ms()
            self._endpoint = self._choose()
            self.n_attempts += 1
            try:
                response = await self._attempt(self._endpoint)
                context.acceptance_rates.record(self.compiled.service.name, True)
                if self._may_end_better_elsewhere(response):
                    return await self._answer_from_another(response)
                self._latency_ms = context.now_ms() - self._attempted_ms
                context.chooser.record_answer(self._endpoint, self._attempted_ms)
                return response
            except PepperstairError as error:
                await self._back_off(error.failure)
            except BaseException:
                self.run = RunStatus.UNKNOWN
                self.abandon()
                raise

    @property
    def _budget(self) -> RetryBudget:
        return self._context.budget_of(self.compiled.service.name)

    @property
    def _is_whole_timeout(self) -> bool:
        """Return whether the caller allows about as much time as the route.

        One that allows less has learnt nothing of the target when that is over:
        its short timeouts must not eject a target that others use.
        """
        whole_ms = self.compiled.route.timeout_ms * WHOLE_TIMEOUT_SHARE
        return self.timeout_ms >= whole_ms

    def _may_end_better_elsewhere(self, response: StreamedResponse) -> bool:
        """Return whether a target's failure is worth asking another target.

        A target that fails part of its requests looks healthy otherwise, and
        its callers would see errors that no other target gives.
        """
        return (
            response.status in FAILED_STATUSES
            and self._is_idempotent
            and response.body.is_whole
            and self.time_left_ms > self.timeout_ms * RETRY_TIME_SHARE
        )

    async def _answer_from_another(self, failed: StreamedResponse) -> StreamedResponse:
        """Return another target's answer, or the failed one where there is none."""
        failed_endpoint = self._endpoint
        failed.cancel()
        self._has_arrived = True
        self.run = RunStatus.YES
        failure = Failure(ErrorKind.TARGET_FAILED, f"status {failed.status}")
        try:
            await self._back_off(failure)
            return await self.carry_on()
        except PepperstairError:
            # The target's own answer says more than that of the second try.
            self._endpoint = None
            self._excluded = self._excluded | {failed_endpoint.key}
            return failed

    def end(self, end: CallEnd) -> None:
        """Tell the choice of targets how the last attempt ended, once."""
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

    def _note_tried(self, ended: str, latency_ms: float) -> None:
        endpoint = self._endpoint
        if endpoint is not None:
            target = endpoint.target.name
            self.tried.append((endpoint.vm, target, ended, round(latency_ms, 1)))

    def _end(self, kind: EndKind, latency_ms: float = 0.0, avoided_ms: int = 0) -> None:
        route = self.compiled.route.name
        self.end(CallEnd(kind, self._attempted_ms, latency_ms, avoided_ms, route))

    def end_answered(
        self, response: StreamedResponse, is_whole: bool, n_bytes: int
    ) -> None:
        """Take the end of an answer that was passed on.

        What the target announced or says on a health endpoint plays no part:
        errors and cut answers count against it, whatever it says of itself.
        """
        kind = end_of_answer(response.status, is_whole)
        self._note_tried(str(response.status), self._latency_ms)
        waited = header_value(response.headers, WAITED_HEADER)
        waited_ms = int(waited) if waited.isdigit() else 0
        self._end(kind, max(0.0, self._latency_ms - waited_ms))
        self._context.answer_sizes.record(self.compiled.route.name, n_bytes)

    def abandon(self) -> None:
        """Take the end of an answer that the caller did not wait for."""
        self._end(EndKind.ABANDONED)

    async def _read_body(self) -> None:
        if not self._head.has_body or self._body.keep_nowait():
            return
        try:
            async with asyncio.timeout(self.time_left_ms / 1000):
                await self._body.keep()
        except TimeoutError as error:
            failure = Failure(ErrorKind.DEADLINE_BEFORE_RUN, "reading the body")
            raise PepperstairError(failure) from error

    def _take_fingerprint(self) -> bytes:
        request = self._request
        return fingerprint(
            request.method,
            request.host,
            request.path,
            self._context.service,
            self._body.beginning,
        )

    def _refuse_quarantined(self) -> None:
        """Refuse what no target may run, without asking one."""
        context = self._context
        refusal = context.quarantine.refusal(self.fingerprint, context.now_ms())
        if refusal is not None:
            raise PepperstairError(refusal)

    def _choose(self) -> Endpoint:
        context = self._context
        chosen = context.chooser.choose(
            context.endpoints(self.compiled),
            context.load_of,
            self._attempted_ms,
            self._excluded,
            is_urgent=self.compiled.route.priority == "urgent",
            route=self.compiled.route.name,
            n_answer_bytes=context.answer_sizes.of(self.compiled.route.name),
            objective_ms=self.compiled.route.objective_ms,
            is_free_slot_required=self._refused is not None,
        )
        if chosen is None and self._refused is not None:
            self.given_up = GiveUpCause.NO_ROOM
            raise PepperstairError(self._refused)
        if chosen is None:
            failure = Failure(ErrorKind.NO_TARGET, self.compiled.service.name)
            raise PepperstairError(failure)
        return chosen

    async def _attempt(self, endpoint: Endpoint) -> StreamedResponse:
        head = self._call_head(endpoint)
        body = self._body.for_attempt()
        if endpoint.vm == self._context.vm:
            # The runner beside the target holds the deadline itself.
            return await self._context.send_attempt(endpoint, head, body)
        try:
            async with asyncio.timeout(max(0.0, self.time_left_ms) / 1000) as scope:
                loop = asyncio.get_running_loop()
                self._body.on_failed = lambda: scope.reschedule(loop.time())
                return await self._context.send_attempt(endpoint, head, body)
        except TimeoutError as error:
            failure = self._body.failure or Failure(ErrorKind.TIMEOUT)
            raise PepperstairError(failure) from error

    async def _back_off(self, failure: Failure) -> None:
        """Wait before another attempt, or raise the failure at once."""
        failed = self._endpoint
        latency_ms = self._context.now_ms() - self._attempted_ms
        kind = end_of_failure(failure, self._is_whole_timeout)
        self._has_arrived |= may_have_arrived(failure)
        avoided_ms = failure.retry_after_ms
        if failure.kind is ErrorKind.OVERLOADED:
            avoided_ms = FULL_AVOIDED_MS
        self._note_tried(failure.kind, latency_ms)
        self._end(kind, latency_ms, avoided_ms)
        attempt = Attempt(
            failure,
            self.compiled.route.priority,
            self.n_attempts,
            self._is_idempotent,
            self._body.is_replayable,
            self.time_left_ms,
            self.run,
            self.compiled.route.n_attempts_max,
            self._has_arrived,
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
        # Where one target has no room, another one is asked only if it has: in an
        # overload each call would otherwise be refused several times over.
        self._refused = final if failure.kind is ErrorKind.OVERLOADED else None
        self._excluded = excluded
        report_retry(self._context, failed, failure, self.n_attempts)
        await asyncio.sleep(decision.delay_ms / 1000)

    def _retry_after_ms(self, failure: Failure) -> int:
        """Return when the caller should come back, 0 where nothing tells."""
        if failure.kind is not ErrorKind.TARGET_REFUSED:
            return failure.retry_after_ms
        service = self.compiled.service.name
        self._context.acceptance_rates.record(service, False)
        return self._context.acceptance_rates.retry_after_ms(service)

    def _call_head(self, endpoint: Endpoint) -> CallHead:
        request = self._request
        call_id = next(self._call_ids)
        return CallHead(
            call_id=call_id,
            request_id=self._head.request_id or f"{self._context.vm}-{call_id}",
            customer=self.compiled.customer,
            target=endpoint.target.name,
            method=request.method,
            path=request.path,
            headers=self._head.passed,
            priority=self.compiled.route.priority,
            is_idempotent=self._is_idempotent,
            time_left_ms=self._time_for(endpoint),
            has_body=self._head.has_body,
            route=self.compiled.route.name,
            wanted_left_ms=self._wanted_left_ms(),
            fingerprint=self.fingerprint,
        )

    def _wanted_left_ms(self) -> int:
        """Return how long the answer is worth most, negative if that is unknown."""
        objective_ms = self.compiled.route.objective_ms
        if not objective_ms:
            return -1
        waited_ms = self.timeout_ms - self.time_left_ms + self._waited_before_ms
        return max(0, int(objective_ms - waited_ms))

    def _time_for(self, endpoint: Endpoint) -> int:
        left_ms = self.time_left_ms
        if endpoint.vm != self._context.vm:
            left_ms -= min(HOP_MARGIN_MS, left_ms * HOP_MARGIN_SHARE)
        return max(0, int(left_ms))

    def _budget_percent(self) -> int:
        endpoints = self._context.endpoints(self.compiled)
        return endpoints[0].policy.retry_budget_percent if endpoints else 0


def count_call_ids() -> Iterator[int]:
    """Return the ids of a daemon's calls; each attempt has its own."""
    return itertools.count(1)


__all__ = ["ProxiedCall", "count_call_ids"]
