"""The queue of the calls that wait for a slot of one target."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

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
from pepperstair_http import header_value

log = structlog.get_logger(__name__)


_KIND_OF_CAUSE: Final = {
    RefusalCause.DRAINING: ErrorKind.DRAINING,
    RefusalCause.RATE_LIMIT: ErrorKind.BUSY,
}


class _Waiter(Struct, frozen=True):
    """A waiting call and the future that receives its verdict."""

    call: WaitingCall
    verdict: asyncio.Future[Verdict]


class SlotQueue:
    """Lets calls wait for the slots of one target and applies admission verdicts.

    `on_refused` is called with every refusal. `now_ms` is a monotonic clock. Calls with
    an `account_header` share the slots by its value instead of by customer.
    """

    def __init__(
        self,
        n_slots: int,
        now_ms: Callable[[], float],
        on_refused: Callable[[Refused], None],
        account_header: bytes = b"",
    ) -> None:
        self._account_header = account_header
        self.admission = Admission(n_slots, is_shared=False)
        self._now_ms = now_ms
        self._on_refused = on_refused
        self._tickets = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}
        self._expiry_timer: asyncio.TimerHandle | None = None

    def share(self, is_shared: bool) -> None:
        """Decide whether client accounts share the slots, once no call waits."""
        admission = self.admission
        if admission.is_shared != is_shared and not admission.n_queued:
            admission.is_shared = is_shared

    async def acquire(
        self, head: CallHead, deadline_ms: float, n_queued_max: int
    ) -> None:
        """Return when the call holds a slot, or raise if it is refused as not run."""
        arrived_ms = self._now_ms()
        call = WaitingCall(
            next(self._tickets),
            self._sharer(head),
            head.priority,
            arrived_ms,
            deadline_ms,
            n_queued_max,
            _wanted_ms(head, arrived_ms),
            head.route,
        )
        verdicts = self.admission.arrive(call, call.arrived_ms)
        if len(verdicts) == 1 and verdicts[0].ticket == call.ticket:
            self._report_if_refused(verdicts[0])
            _raise_if_refused(verdicts[0], head.target)
            return
        waiter = _Waiter(call, asyncio.get_running_loop().create_future())
        self._waiters[call.ticket] = waiter
        self._apply_verdicts(verdicts)
        await self._wait(waiter, head.target)

    def release(self, head: CallHead, service_ms: float | None) -> None:
        """Free the slot of a call that has ended.

        `service_ms` is how long the call ran, or None if it was not sent to the target.
        """
        verdicts = self.admission.finish(
            self._sharer(head), head.priority, service_ms, self._now_ms(), head.route
        )
        self._apply_verdicts(verdicts)

    def resize(self, n_slots: int) -> None:
        """Change the number of slots."""
        if n_slots != self.admission.n_slots:
            self._apply_verdicts(self.admission.resize(n_slots, self._now_ms()))

    def limit_rate(self, rate_per_s: float | None, sent_ms: float) -> None:
        """Apply the rate limit that the target states in an answer, or None for none.

        `sent_ms` is when the request of the answer was sent.
        """
        self._apply_verdicts(
            self.admission.limit_rate(rate_per_s, sent_ms, self._now_ms())
        )

    def drain(self) -> None:
        """Refuse every waiting call; running calls continue."""
        self._apply_verdicts(self.admission.drain())

    def _sharer(self, head: CallHead) -> str:
        """Return the account or else the customer that a call counts for."""
        account = header_value(head.headers, self._account_header)
        return f"{head.customer}/{account.decode()}" if account else head.customer

    async def _wait(self, waiter: _Waiter, target: str) -> None:
        try:
            verdict = await waiter.verdict
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise
        _raise_if_refused(verdict, target)

    def _withdraw(self, waiter: _Waiter) -> None:
        """Remove a call whose caller has disconnected.

        Its slot may have been granted at the same moment. If that slot were not freed,
        the target would lose it permanently, and after several such calls the target
        would have no slots left.
        """
        call = waiter.call
        if self._waiters.pop(call.ticket, None) is not None:
            self.admission.withdraw(call.ticket)
            return
        is_granted = not waiter.verdict.cancelled() and isinstance(
            waiter.verdict.result(), Admitted
        )
        if is_granted:
            self._apply_verdicts(self._free_slot(call))

    def _apply_verdicts(self, verdicts: Iterable[Verdict]) -> None:
        pending = deque(verdicts)
        while pending:
            verdict = pending.popleft()
            self._report_if_refused(verdict)
            waiter = self._waiters.pop(verdict.ticket)
            if not waiter.verdict.done():
                waiter.verdict.set_result(verdict)
            elif isinstance(verdict, Admitted):
                pending.extend(self._free_slot(waiter.call))
        self._restart_timer()

    def _free_slot(self, call: WaitingCall) -> list[Verdict]:
        return self.admission.finish(
            call.customer, call.priority, None, self._now_ms(), call.route
        )

    def _report_if_refused(self, verdict: Verdict) -> None:
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
        self._apply_verdicts(self.admission.expire(self._now_ms()))


def _wanted_ms(head: CallHead, now_ms: float) -> float:
    return now_ms + head.wanted_left_ms if head.wanted_left_ms >= 0 else math.inf


def _raise_if_refused(verdict: Verdict, target: str) -> None:
    if isinstance(verdict, Admitted):
        return
    kind = _KIND_OF_CAUSE.get(verdict.cause, ErrorKind.OVERLOADED)
    detail = f"{target}, {verdict.cause.value}"
    raise PepperstairError(Failure(kind, detail, verdict.retry_after_ms, RunStatus.NO))


__all__ = ["SlotQueue"]
