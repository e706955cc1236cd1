"""Waiting for a slot of one target."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections import deque
from collections.abc import Callable, Iterable

import structlog
from msgspec import Struct

from pepperstair_core.calls import (
    Admission,
    Admitted,
    RefusalCause,
    Refused,
    Verdict,
    WaitingCall,
)
from pepperstair_core.errors import ErrorKind, Failure, PepperstairError, RunStatus
from pepperstair_core.wire import CallHead

log = structlog.get_logger(__name__)


class _Waiter(Struct, frozen=True):
    """A call that waits and the future that gets its verdict."""

    call: WaitingCall
    verdict: asyncio.Future[Verdict]


class SlotGate:
    """Carries out the verdicts of a target's admission.

    `on_refused` is told of every refusal, `now_ms` is a clock that never goes
    back.
    """

    def __init__(
        self,
        n_slots: int,
        now_ms: Callable[[], float],
        on_refused: Callable[[Refused], None],
    ) -> None:
        self.admission = Admission(n_slots)
        self._now_ms = now_ms
        self._on_refused = on_refused
        self._tickets = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}
        self._expiry_timer: asyncio.TimerHandle | None = None

    async def enter(
        self, head: CallHead, deadline_ms: float, n_queued_max: int
    ) -> None:
        """Return once the call holds a slot, or raise that it does not run."""
        arrived_ms = self._now_ms()
        call = WaitingCall(
            next(self._tickets),
            head.customer,
            head.priority,
            arrived_ms,
            deadline_ms,
            n_queued_max,
            _wanted_ms(head, arrived_ms),
            head.route,
        )
        verdicts = self.admission.arrive(call, call.arrived_ms)
        for verdict in verdicts:
            if verdict.ticket == call.ticket:
                self._report(verdict)
                _raise_if_refused(verdict, head.target)
                return
        waiter = _Waiter(call, asyncio.get_running_loop().create_future())
        self._waiters[call.ticket] = waiter
        self._carry_out(verdicts)
        await self._wait(waiter, head.target)

    def leave(self, head: CallHead, service_ms: float | None) -> None:
        """Free the slot of a call that has ended."""
        verdicts = self.admission.finish(
            head.customer, head.priority, service_ms, self._now_ms(), head.route
        )
        self._carry_out(verdicts)

    def resize(self, n_slots: int) -> None:
        """Take a changed number of slots."""
        if n_slots != self.admission.n_slots:
            self._carry_out(self.admission.resize(n_slots, self._now_ms()))

    def drain(self) -> None:
        """Refuse every waiting call; those in flight go on."""
        self._carry_out(self.admission.drain())

    async def _wait(self, waiter: _Waiter, target: str) -> None:
        try:
            verdict = await waiter.verdict
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise
        _raise_if_refused(verdict, target)

    def _give_up(self, waiter: _Waiter) -> None:
        """Take out a call whose caller has left.

        Its slot may have been granted in the same instant; without giving that
        back the target would lose it for good, and after some such callers run
        nothing at all.
        """
        call = waiter.call
        if self._waiters.pop(call.ticket, None) is not None:
            self.admission.withdraw(call.ticket)
            return
        is_granted = not waiter.verdict.cancelled() and isinstance(
            waiter.verdict.result(), Admitted
        )
        if is_granted:
            self._carry_out(self._free(call))

    def _carry_out(self, verdicts: Iterable[Verdict]) -> None:
        pending = deque(verdicts)
        while pending:
            verdict = pending.popleft()
            self._report(verdict)
            waiter = self._waiters.pop(verdict.ticket)
            if not waiter.verdict.done():
                waiter.verdict.set_result(verdict)
            elif isinstance(verdict, Admitted):
                pending.extend(self._free(waiter.call))
        self._restart_timer()

    def _free(self, call: WaitingCall) -> list[Verdict]:
        return self.admission.finish(call.customer, call.priority, None, self._now_ms())

    def _report(self, verdict: Verdict) -> None:
        if isinstance(verdict, Refused):
            self._on_refused(verdict)

    def _restart_timer(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        expiry_ms = self.admission.next_expiry_ms
        if expiry_ms is not None:
            delay_s = max(0.001, (expiry_ms - self._now_ms()) / 1000)
            loop = asyncio.get_running_loop()
            self._expiry_timer = loop.call_later(delay_s, self._expire)

    def _expire(self) -> None:
        self._expiry_timer = None
        self._carry_out(self.admission.expire(self._now_ms()))


def _wanted_ms(head: CallHead, now_ms: float) -> float:
    return now_ms + head.wanted_left_ms if head.wanted_left_ms >= 0 else math.inf


def _raise_if_refused(verdict: Verdict, target: str) -> None:
    if isinstance(verdict, Admitted):
        return
    is_leaving = verdict.cause is RefusalCause.DRAINING
    kind = ErrorKind.DRAINING if is_leaving else ErrorKind.OVERLOADED
    detail = f"{target}, {verdict.cause.value}"
    raise PepperstairError(Failure(kind, detail, verdict.retry_after_ms, RunStatus.NO))


__all__ = ["SlotGate"]
