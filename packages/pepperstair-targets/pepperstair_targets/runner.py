"""Run calls on the targets of this VM."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Final

import structlog

from pepperstair_core.calls import (
    CrashRecord,
    Load,
    Quarantine,
    Refused,
    RunLimits,
    TrustLevel,
)
from pepperstair_core.decisions import DecisionKind, DecisionLog
from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, RunStatus
from pepperstair_core.events import Event
from pepperstair_core.intent import Policy
from pepperstair_core.members import Target, TargetState
from pepperstair_core.wire import CallHead
from pepperstair_http import (
    BodyBuffer,
    StreamedResponse,
    TargetStatement,
)

from .answer_body import AnswerBody
from .local_target import LocalTarget
from .own_headers import take_known_limit, with_wait_header
from .registry import TargetRegistry
from .run_logs import log_failed, log_refused
from .target_call import DEFAULT_OPTIONS, TargetCall, TargetOptions

log = structlog.get_logger(__name__)

_REFUSAL_LOG_INTERVAL_MS: Final = 1000
_FAILED_STATUS: Final = 500
_SHEDDING_STATUS: Final = 503

# Failure kinds of a call whose target exits while running it.
_EXIT_FAILURE_KINDS: Final = frozenset(
    {ErrorKind.TARGET_FAILED, ErrorKind.TARGET_UNREACHABLE}
)
# Retry time of a suspect call that is refused while another suspect is running.
_SUSPECT_RETRY_AFTER_MS: Final = 200

PolicyOf = Callable[[str, Target], Policy]


class TargetRunner:
    """Runs calls on local targets, within the slots of each target.

    `policy_of` returns the policy of a customer for a target. Refusals are added to the
    decision log, at most one entry a second for each target; an entry states the number
    of refusals since the previous entry.
    `on_crash` is called with a target that has exited and the fingerprints of the calls
    it was running, `on_cleared` with the record of a suspect request that was answered,
    `on_leaving` with a target that states in an answer that it is leaving. `on_run` is
    called with each call whose outcome shows how well its target works: the target, the
    route, whether the target failed and the time that it took. `version_refusal`
    returns why a target's version takes no calls, or None if it takes them.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        now_ms: Callable[[], float],
        policy_of: PolicyOf,
        decisions: DecisionLog,
        options: TargetOptions = DEFAULT_OPTIONS,
        quarantine: Quarantine | None = None,
    ) -> None:
        self._options = options
        self._quarantine = quarantine or Quarantine()
        self.on_crash: Callable[[str, tuple[bytes, ...]], None] = lambda *args: None
        self.on_leaving: Callable[[str], None] = lambda name: None
        self.on_cleared: Callable[[CrashRecord], None] = lambda record: None
        self.on_run: Callable[[Target, str, bool, float], None] = lambda *args: None
        self.version_refusal: Callable[[Target], ErrorKind | None] = lambda target: None
        self._registry = registry
        self._now_ms = now_ms
        self._policy_of = policy_of
        self._decisions = decisions
        self._local_targets: dict[str, LocalTarget] = {}
        self._retired: list[LocalTarget] = []
        self._refusals: dict[str, tuple[float, int]] = {}
        self._not_registered_logged_ms = -math.inf
        self.run_limits = RunLimits()
        # Whether client accounts share the slots of the targets.
        self.is_shared = False
        self.link_backlog_ms: Callable[[], float] = lambda: 0.0
        self.is_draining = False
        self.n_refused = 0
        self.n_version_refusals = 0
        self.n_crashes = 0
        self.n_sent = 0

    @property
    def n_limited(self) -> int:
        """Return the number of targets that state a rate limit."""
        return sum(
            local.statement.rate_limit_per_s is not None
            for local in self._local_targets.values()
        )

    @property
    def n_in_flight(self) -> int:
        """Return the number of calls that targets are running."""
        return sum(local.n_in_flight for local in self._iter_all())

    def loads(self) -> tuple[tuple[str, int, int], ...]:
        """Return each target's name and its numbers of running and waiting calls.

        Where client accounts share the targets, the backlog of this VM's link counts as
        waiting calls.
        """
        backlog_ms = self.link_backlog_ms() if self.is_shared else 0.0
        return tuple(
            (name, local.n_in_flight, local.n_waiting(backlog_ms))
            for name, local in self._local_targets.items()
        )

    def load_of(self, name: str) -> Load | None:
        """Return the exact load of a local target, or None before its first call."""
        local = self._local_targets.get(name)
        if local is None:
            return None
        return Load(local.n_in_flight, local.slots.admission.n_queued)

    def n_unfinished(self, is_counted: Callable[[Target], bool]) -> int:
        """Return the number of calls that run on some targets or wait for them."""
        return sum(
            local.n_in_flight + local.slots.admission.n_queued
            for local in self._iter_all()
            if is_counted(local.target)
        )

    async def run(self, head: CallHead, body: BodyBuffer) -> StreamedResponse:
        """Run a call and return its answer, or raise PepperstairError."""
        start_ms = self._now_ms()
        self._refuse_quarantined(head, start_ms)
        deadline_ms = start_ms + head.time_left_ms
        target = self._require_target(head, start_ms)
        local = self._ensure_local_target(target)
        self._refuse_beyond_run_limit(head, local, start_ms)
        head = take_known_limit(head, local, start_ms)
        policy = self._policy_of(head.customer, target)
        local.slots.share(self.is_shared)
        try:
            await local.slots.acquire(head, deadline_ms, policy.n_queued_max)
        except PepperstairError as error:
            log_refused(head, local, error.failure, self._now_ms() - start_ms)
            raise
        admitted_ms = self._now_ms()
        try:
            # Another version may have replaced the target's while the call waited.
            self._refuse_version(target)
            self._refuse_unsafe(head, local, admitted_ms)
        except PepperstairError:
            local.slots.release(head, None)
            raise

        streamed: StreamedResponse | None = None

        def free_slot(was_sent: bool) -> None:
            service_ms = self._now_ms() - admitted_ms if was_sent else None
            local.slots.release(head, service_ms)
            if streamed is not None:
                self._report_run(target, head, streamed, answered_ms - admitted_ms)

        call = TargetCall(
            local.pool,
            head,
            body,
            free_slot,
            self._options,
            *self._make_observers(local),
        )
        local.crashes.begin(call)
        try:
            response = await call.run(deadline_ms - admitted_ms)
        except PepperstairError as error:
            failure = error.failure
            if call.is_sent and failure.kind in _EXIT_FAILURE_KINDS:
                failure = await self._classify_broken_call(local, call, failure)
            lasted_ms = self._now_ms() - admitted_ms
            if call.is_sent:
                self._report_failed_run(target, head, failure, lasted_ms)
            log_failed(head, failure, lasted_ms)
            raise PepperstairError(failure) from error
        finally:
            local.crashes.end(call)
        self._record_answer(head, response)
        answered_ms = self._now_ms()
        has_failed = response.status >= _FAILED_STATUS
        self.run_limits.record_run(head.route, admitted_ms, has_failed, answered_ms)
        if response.body.is_complete:
            self._report_run(target, head, response, answered_ms - admitted_ms)
        else:
            streamed = response
        return with_wait_header(response, int(admitted_ms - start_ms))

    def sync_with_registry(self) -> None:
        """Apply the changes of the target registry.

        Calls that wait for a draining target are refused at once as not run, so that
        the daemons that sent them still have time to retry them on another target.
        """
        for name, local in list(self._local_targets.items()):
            target = self._find_target(name)
            if target is None or target.address != local.target.address:
                self._retire(name)
            elif target.state is TargetState.DRAINING or self.is_draining:
                local.slots.drain()
            else:
                local.update(target)
        self._retired = [local for local in self._retired if local.n_in_flight]

    def drain(self) -> None:
        """Refuse new and waiting calls from now on; calls in flight continue."""
        self.is_draining = True
        for local in self._local_targets.values():
            local.slots.drain()

    def close(self) -> None:
        """Close the idle connections to every target."""
        for local in self._iter_all():
            local.pool.close()

    def _refuse_quarantined(self, head: CallHead, now_ms: float) -> None:
        refusal = self._quarantine.refusal(head.fingerprint, now_ms)
        if refusal is not None:
            raise PepperstairError(refusal)

    def _refuse_beyond_run_limit(
        self, head: CallHead, local: LocalTarget, now_ms: float
    ) -> None:
        """Refuse a call that would fail because the target's own calls are refused."""
        limits = self.run_limits
        if limits.admits(head.route, now_ms):
            return
        share = limits.admitted_share(head.route)
        detail = f"{head.target}, calls that it makes are refused, admitted {share:.2f}"
        failure = Failure(
            ErrorKind.OVERLOADED,
            detail,
            limits.retry_after_ms(head.route),
            RunStatus.NO,
        )
        log_refused(head, local, failure, 0.0)
        raise PepperstairError(failure)

    def _refuse_unsafe(self, head: CallHead, local: LocalTarget, now_ms: float) -> None:
        """Refuse a quarantined call, or a suspect call while another one is running.

        Suspect calls run one at a time on a target.
        """
        self._refuse_quarantined(head, now_ms)

        def is_suspect(fingerprint: bytes) -> bool:
            trust_level = self._quarantine.trust_level(fingerprint, now_ms)
            return trust_level is not TrustLevel.TRUSTED

        if is_suspect(head.fingerprint) and local.crashes.is_any_running(is_suspect):
            detail = f"{head.target}, another suspect request is running"
            failure = Failure(
                ErrorKind.OVERLOADED, detail, _SUSPECT_RETRY_AFTER_MS, RunStatus.NO
            )
            raise PepperstairError(failure)

    def _refuse_version(self, target: Target) -> None:
        """Refuse a call for a target whose version takes no calls."""
        kind = self.version_refusal(target)
        if kind is not None:
            self.n_version_refusals += 1
            raise _not_run(kind, target.name)

    def _is_shedding(self, response: StreamedResponse) -> bool:
        """Return whether an answer may be the refusal of a full target.

        Targets that mark their refusals with a header give no other answer for them.
        """
        is_marked = bool(self._options.names.not_run)
        return response.status == _SHEDDING_STATUS and not is_marked

    def _report_run(
        self,
        target: Target,
        head: CallHead,
        response: StreamedResponse,
        service_ms: float,
    ) -> None:
        """Report an answered call, unless its caller left before the end."""
        body = response.body
        is_broken = isinstance(body, AnswerBody) and body.is_broken
        if not body.is_complete and not is_broken:
            return
        is_failed = response.status >= _FAILED_STATUS
        is_bad = is_broken or (is_failed and not self._is_shedding(response))
        self.on_run(target, head.route, is_bad, service_ms)

    def _report_failed_run(
        self, target: Target, head: CallHead, failure: Failure, lasted_ms: float
    ) -> None:
        """Report a failed call if its end shows how well the target works.

        A call that timed out is reported with its duration, which the target would have
        exceeded. A target that is leaving may break calls that it can't finish.
        """
        if failure.kind is ErrorKind.TIMEOUT:
            self.on_run(target, head.route, False, lasted_ms)
        elif failure.kind is ErrorKind.TARGET_CRASHED:
            self.on_run(target, head.route, True, lasted_ms)
        elif failure.kind is ErrorKind.TARGET_FAILED:
            current = self._find_target(target.name)
            if current is not None and current.state is not TargetState.DRAINING:
                self.on_run(target, head.route, True, lasted_ms)

    async def _classify_broken_call(
        self, local: LocalTarget, call: TargetCall, failure: Failure
    ) -> Failure:
        """Return the failure of a call whose connection broke.

        A draining or deregistered target may exit with unfinished calls; this is
        not a crash.
        """
        target = self._find_target(local.target.name)
        if target is None or target.state is TargetState.DRAINING:
            return failure
        if not await local.crashes.has_exited(call):
            return failure
        return Failure(ErrorKind.TARGET_CRASHED, failure.detail)

    def _on_exited(self, local: LocalTarget, running: tuple[bytes, ...]) -> None:
        """Report the calls that may have crashed a target and deregister the target.

        Without the deregistration, every other daemon would detect the exit only when
        its own calls fail.
        """
        self.n_crashes += 1
        self.on_crash(local.target.name, running)
        self._registry.deregister(local.target.name)

    def _make_observers(
        self, local: LocalTarget
    ) -> tuple[Callable[[bool], None], Callable[[TargetStatement, bool], None]]:
        """Return the functions that a call to a target reports to.

        They are `on_sent` and `on_statement` of `TargetCall`.
        """
        sent_ms = -math.inf

        def count_sent(is_resend: bool) -> None:
            nonlocal sent_ms
            sent_ms = self._now_ms()
            self.n_sent += 1
            if is_resend:
                local.slots.admission.rate_limiter.take(sent_ms)

        def record_statement(statement: TargetStatement, is_signed: bool) -> None:
            is_leaving_new = statement.is_leaving and not local.statement.is_leaving
            self._renew_lease(local)
            self._log_statement(local, statement)
            if is_leaving_new:
                self.on_leaving(local.target.name)
            self._apply_limit(local, statement, is_signed, sent_ms)

        return count_sent, record_statement

    def _renew_lease(self, local: LocalTarget) -> None:
        """Renew the lease of a target whose answer proves that it is running."""
        name = local.target.name
        is_current = self._local_targets.get(name) is local
        if is_current and self._options.names.is_target_named:
            self._registry.renew(name, self._now_ms())

    def _apply_limit(
        self,
        local: LocalTarget,
        statement: TargetStatement,
        is_signed: bool,
        sent_ms: float,
    ) -> None:
        """Apply the rate limit of an answer, or its end if the answer states none.

        An unsigned refusal does not end a limit, as it may lack the target's headers.
        """
        limit_per_s = statement.rate_limit_per_s
        if limit_per_s is None and (not is_signed or statement.invalid_limit):
            return
        local.slots.limit_rate(limit_per_s, sent_ms)

    def _log_statement(self, local: LocalTarget, statement: TargetStatement) -> None:
        """Log what a target states about itself if it differs from before."""
        known = local.statement
        if statement == known:
            return
        local.statement = statement
        name = local.target.name
        if statement.rate_limit_per_s != known.rate_limit_per_s:
            limit_per_s = statement.rate_limit_per_s
            log.info(Event.TARGET_LIMIT_CHANGED, target=name, limit_per_s=limit_per_s)
        if statement.invalid_limit:
            value = statement.invalid_limit[:40].decode("latin-1")
            log.warning(Event.TARGET_LIMIT_INVALID, target=name, value=value)
        if statement.is_leaving and not known.is_leaving:
            log.info(Event.TARGET_LEAVING, target=name)

    def _record_answer(self, head: CallHead, response: StreamedResponse) -> None:
        if response.status >= _FAILED_STATUS or not response.body.is_complete:
            return
        cleared = self._quarantine.record_answer(head.fingerprint)
        if cleared is not None:
            self.on_cleared(cleared)

    def _require_target(self, head: CallHead, now_ms: float) -> Target:
        """Return the target of a call, or refuse the call as not run.

        Calls for a draining target are refused here: a daemon that has not received the
        draining state yet is notified by the refusal, and no work is lost. Leases are
        checked for each call because, after a pause of this process, a lease may have
        lapsed although the timer that removes the target has not run yet.
        """
        if self.is_draining:
            raise _not_run(ErrorKind.DRAINING, head.target)
        self._registry.expire(now_ms)
        target = self._find_target(head.target)
        if target is None:
            self._log_not_registered(head.target, now_ms)
            raise _not_run(ErrorKind.NO_TARGET, head.target)
        if target.state is TargetState.DRAINING:
            raise _not_run(ErrorKind.DRAINING, head.target)
        self._refuse_version(target)
        if head.time_left_ms <= 0:
            raise _not_run(ErrorKind.DEADLINE_BEFORE_RUN, head.target)
        return target

    def _find_target(self, name: str) -> Target | None:
        """Return the target to which calls for a name may be sent, or None.

        Daemons that have not received a lapse yet still send calls. These calls are run
        if another target that has taken over the address would refuse them.
        """
        target = self._registry.get(name)
        if target is None and self._options.names.is_target_named:
            return self._registry.get_lapsed(name)
        return target

    def _ensure_local_target(self, target: Target) -> LocalTarget:
        local = self._local_targets.get(target.name)
        if local is None:
            local = LocalTarget(
                target,
                self._now_ms,
                self._on_refused,
                self._on_exited,
                self._options.names.account,
            )
            self._local_targets[target.name] = local
        return local

    def _retire(self, name: str) -> None:
        local = self._local_targets.pop(name)
        local.retire()
        self._refusals.pop(name, None)
        self._retired.append(local)

    def _iter_all(self) -> Iterator[LocalTarget]:
        yield from self._local_targets.values()
        yield from self._retired

    def _log_not_registered(self, name: str, now_ms: float) -> None:
        """Log a refusal of a call for an unknown target, at most once a second."""
        if now_ms - self._not_registered_logged_ms < _REFUSAL_LOG_INTERVAL_MS:
            return
        self._not_registered_logged_ms = now_ms
        log.info(Event.TARGET_NOT_REGISTERED, target=name)

    def _on_refused(self, name: str, refused: Refused) -> None:
        self.n_refused += 1
        now_ms = self._now_ms()
        logged_ms, n_refused = self._refusals.get(name, (float("-inf"), 0))
        if now_ms - logged_ms < _REFUSAL_LOG_INTERVAL_MS:
            self._refusals[name] = (logged_ms, n_refused + 1)
            return
        self._refusals[name] = (now_ms, 0)
        figures = (
            ("n_refused", float(n_refused + 1)),
            ("retry_after_ms", float(refused.retry_after_ms)),
        )
        self._decisions.record(DecisionKind.REFUSED, name, refused.cause.value, figures)


def _not_run(kind: ErrorKind, detail: str) -> PepperstairError:
    return PepperstairError(Failure(kind, detail, run=RunStatus.NO))


__all__ = ["PolicyOf", "TargetRunner"]
