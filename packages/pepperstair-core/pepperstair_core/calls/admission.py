"""Admission control of one target: run, queue or refuse each call.

Only the daemon on a target's VM sends it calls, so the slot count is exact and a
refusal proves that the call did not run.
"""

from __future__ import annotations

import heapq
import math
from enum import StrEnum
from typing import Final

from msgspec import Struct

from ..intent import PRIORITIES
from .fair_queue import Order, WaitingCall
from .kept_slot import KeptSlot
from .rate_limit import RateLimiter
from .running_calls import RunningCalls
from .service_times import ServiceTimes
from .standing_queue import StandingQueue
from .waiting_calls import RANKS, WaitingCalls

RETRY_AFTER_MIN_MS: Final = 10
RETRY_AFTER_MAX_MS: Final = 5_000
# Ageing: one in `AGED_GRANT_INTERVAL` grants goes to a call that has waited for
# `AGED_AFTER_MS` or longer, ahead of more urgent calls. The share of such grants is
# bounded because under overload every deferrable call is old, and running all of them
# first would invert priorities.
AGED_GRANT_INTERVAL: Final = 10
AGED_AFTER_MS: Final = 500.0
# Maximum time that a late call is queued if it may not wait until its deadline, as a
# share of the time between its arrival and its deadline. A call is late if its answer
# can no longer arrive within the wanted time; late calls are queued behind their
# customer's other calls. An early refusal leaves the caller time to try another target.
# Callers themselves wait up to a third of their time.
LATE_WAIT_SHARE: Final = 1 / 3
# Time without a refused call after which an overload is considered to be over.
OVERLOAD_GAP_MS: Final = 1_000.0
# With fewer slots, none is kept for short calls, as long calls need one themselves.
N_SLOTS_TO_KEEP_ONE: Final = 2
# Calls of a priority are considered to be still arriving for this time after the
# arrival of the last one.
LESS_URGENT_RECENT_MS: Final = 1_000.0


class RefusalCause(StrEnum):
    """Why a call was refused."""

    QUEUE_FULL = "queue full"
    TOO_LATE = "no slot before its deadline"
    NOT_IN_TIME = "no slot while its answer is still wanted"
    STANDING_QUEUE = "all calls of its kind start too late"
    DISPLACED = "displaced by a more urgent call"
    OVER_SHARE = "displaced by a customer with fewer calls"
    DRAINING = "the target is leaving"
    RATE_LIMIT = "the target's rate limit is reached"


class Admitted(Struct, frozen=True):
    """The call may run now."""

    ticket: int


class Refused(Struct, frozen=True):
    """The call does not run and is answered at once."""

    ticket: int
    cause: RefusalCause
    retry_after_ms: int


Verdict = Admitted | Refused


class Admission:
    """The slots of one target and the queue of calls that wait for them.

    With `is_shared`, short calls start before long ones, the expected start of a call
    follows from the routes of the calls ahead of it, and a standing queue is shortened.
    Without it, all calls of a priority are alike and take one mean service time.

    Methods return the verdicts that result, which may concern calls other than the
    one passed in. Times are in milliseconds.

    >>> admission = Admission(n_slots=1)
    >>> call = WaitingCall(7, "lantern", "urgent", 0, 2000, 8)
    >>> list(admission.arrive(call, now_ms=0))
    [Admitted(ticket=7)]
    """

    def __init__(self, n_slots: int, is_shared: bool = True) -> None:
        self.n_slots = n_slots
        self.is_shared = is_shared
        self.n_in_flight = 0
        self.rate_limiter = RateLimiter()
        self._times = ServiceTimes()
        self._running = RunningCalls(self._times)
        self._late: set[int] = set()
        self._last_arrived_ms_of = dict.fromkeys(PRIORITIES, -math.inf)
        self._last_refused_ms = -math.inf
        self._overloaded_since_ms = 0.0
        self._kept_slot = KeptSlot()
        # By priority, of short calls and of long ones.
        self._standing = {
            priority: (StandingQueue(), StandingQueue()) for priority in PRIORITIES
        }
        self._waiting = WaitingCalls()
        self._wait_limits: list[tuple[float, int]] = []
        self._n_grants = 0

    @property
    def mean_service_ms(self) -> float:
        """Return the mean time for which calls hold a slot."""
        return self._times.mean_ms

    @property
    def n_queued(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting)

    @property
    def n_queued_short(self) -> int:
        """Return the number of waiting calls that start before long ones."""
        return self._waiting.n_short

    @property
    def next_expiry_ms(self) -> float | None:
        """Return when `expire` is next due, or None if no call waits."""
        limits = self._wait_limits
        while limits and limits[0][1] not in self._waiting:
            heapq.heappop(limits)
        if not limits:
            return None
        if self.n_in_flight < self.n_slots:
            # The free slot is kept for short calls.
            return min(limits[0][0], self._kept_slot.until_ms)
        return limits[0][0]

    def arrive(self, call: WaitingCall, now_ms: float) -> list[Verdict]:
        """Admit or queue a new call, or refuse it or the call that it displaces."""
        self._last_arrived_ms_of[call.priority] = now_ms
        is_short = self._is_short(call.route, call.priority)
        if is_short:
            service_ms = self._times.typical_ms(call.route, call.priority)
            self._kept_slot.keep(call.priority, now_ms, service_ms)
        if not self.rate_limiter.has_token(now_ms):
            return [self._refuse_over_limit(call, now_ms)]
        # While a slot is free, only long calls can be waiting.
        if self.n_in_flight < self.n_slots and (
            is_short or self._may_long_start(call, now_ms)
        ):
            return [self._admit(call, now_ms)]
        is_late = self._is_late(call, now_ms)
        cause = self._refusal_cause(call, now_ms, is_late)
        if cause is not None:
            return [self._refuse(call, cause, now_ms)]
        if len(self._waiting) < call.n_queued_max:
            self._push(call, is_late)
            return []
        return self._arrive_at_full_queue(call, now_ms, is_late)

    def finish(
        self,
        customer: str,
        priority: str,
        service_ms: float | None,
        now_ms: float,
        route: str = "",
    ) -> list[Verdict]:
        """Free the slot of a call that ended and admit waiting calls.

        `service_ms` is None if the call was not sent to the target, for example because
        the connection to the target could not be opened.
        """
        self.n_in_flight -= 1
        self._running.end(route)
        if service_ms is None:
            self.rate_limiter.refund()
        else:
            cost = service_ms / max(self._times.mean_ms, 0.01) - 1.0
            if self._waiting.has_turn(customer, priority):
                is_short = self._is_short(route, priority)
                self._waiting.charge(customer, priority, is_short, cost)
            self._times.record(priority, route, service_ms)
        return self._grant(now_ms)

    def resize(self, n_slots: int, now_ms: float) -> list[Verdict]:
        """Change the number of slots; calls in flight continue."""
        self.n_slots = n_slots
        return self._grant(now_ms)

    def limit_rate(
        self, rate_per_s: float | None, sent_ms: float, now_ms: float
    ) -> list[Verdict]:
        """Apply the rate limit that the target states in an answer, or None for none.

        `sent_ms` is when the request of the answer was sent.
        """
        self.rate_limiter.apply_statement(rate_per_s, sent_ms, now_ms)
        return self._refuse_waiting_over_limit(now_ms)

    def expire(self, now_ms: float) -> list[Verdict]:
        """Refuse the calls that can no longer be answered in time.

        Calls are refused as soon as this is certain rather than at their deadline, so
        that the caller still has time to try another target. A call that can still be
        answered before its deadline, although not in its wanted time, stays queued if
        no other call waits.
        """
        verdicts = self._refuse_expired(now_ms)
        if self.n_in_flight < self.n_slots and self._waiting:
            verdicts += self._grant(now_ms)
        return verdicts

    def withdraw(self, ticket: int) -> None:
        """Remove a waiting call whose caller has disconnected."""
        call = self._waiting.get(ticket)
        if call is not None:
            self._waiting.remove(call)
            self._late.discard(ticket)

    def drain(self) -> list[Verdict]:
        """Refuse every waiting call because the target is draining."""
        calls = list(self._waiting)
        for call in calls:
            self._waiting.remove(call)
            self._late.discard(call.ticket)
        return [Refused(call.ticket, RefusalCause.DRAINING, 0) for call in calls]

    def _refusal_cause(
        self, call: WaitingCall, now_ms: float, is_late: bool
    ) -> RefusalCause | None:
        """Return why a call must not be queued, or None if it may wait.

        Under overload some calls have to be refused. If every call could wait until
        its deadline, the queue would stay long and every answer would arrive shortly
        before the deadline, when it has little value. A shorter queue, whose calls can
        be answered in their wanted time, serves as many callers with the same slots,
        and serves them without this delay.
        """
        start_ms = self._expected_start_ms(call, now_ms, is_late)
        if start_ms > self._times.latest_start_ms(call):
            return RefusalCause.TOO_LATE
        if start_ms > self._wait_limit_ms(call, is_late):
            return RefusalCause.NOT_IN_TIME
        return None

    def _may_wait_until_deadline(self, call: WaitingCall) -> bool:
        """Return whether a call may wait past its wanted time, up to its deadline.

        A call may wait while less urgent calls arrive, because it is then assumed to
        be part of another request: if a service builds a page, a late look-up is as
        useful as a look-up in time, and refusing it makes the whole page fail. If the
        call were refused, its slot would only run a less urgent call.

        A call may also wait if it takes a fraction of the time of other calls:
        refusing it frees hardly any time for them, and such a short call is usually
        part of another request.

        In a standing queue no call may, as all of them would be late.
        """
        is_short = self._times.is_short(call.route, call.priority)
        standing = self._standing[call.priority][not is_short]
        if self.is_shared and standing.is_standing:
            return False
        if is_short:
            return True
        index = PRIORITIES.index(call.priority)
        return any(
            call.arrived_ms - self._last_arrived_ms_of[less_urgent]
            < LESS_URGENT_RECENT_MS
            for less_urgent in PRIORITIES[index + 1 :]
        )

    def _is_late(self, call: WaitingCall, now_ms: float) -> bool:
        """Return whether the answer can no longer arrive within the wanted time."""
        return self._times.latest_useful_start_ms(call) < now_ms

    def _wait_limit_ms(self, call: WaitingCall, is_late: bool) -> float:
        """Return the time at which a waiting call is refused."""
        if call.wanted_ms == math.inf or self._may_wait_until_deadline(call):
            return self._times.latest_start_ms(call)
        if not is_late:
            useful_ms = self._times.latest_useful_start_ms(call)
            return min(useful_ms, self._times.latest_start_ms(call))
        total_ms = call.deadline_ms - call.arrived_ms
        longest_ms = call.arrived_ms + total_ms * LATE_WAIT_SHARE
        return min(longest_ms, self._times.latest_start_ms(call))

    def _may_still_wait(self, call: WaitingCall, now_ms: float) -> bool:
        """Return whether a call that has just become late may stay queued.

        The call may stay if no other call waits, because no other call then needs the
        slot.
        """
        if call.ticket in self._late or self._waiting:
            return False
        return self._wait_limit_ms(call, True) > now_ms

    def _arrive_at_full_queue(
        self, call: WaitingCall, now_ms: float, is_late: bool
    ) -> list[Verdict]:
        victim = self._waiting.victim(call)
        if victim is None:
            return [self._refuse(call, RefusalCause.QUEUE_FULL, now_ms)]
        is_less_urgent = victim.priority != call.priority
        cause = RefusalCause.DISPLACED if is_less_urgent else RefusalCause.OVER_SHARE
        self._waiting.remove(victim)
        self._push(call, is_late)
        return [self._refuse(victim, cause, now_ms)]

    def _expected_start_ms(
        self, call: WaitingCall, now_ms: float, is_late: bool
    ) -> float:
        """Return when the call is expected to start if it is queued."""
        order = self._order(call, is_late)
        is_short = self._is_short(call.route, call.priority)
        ahead_ms = self._waiting.work_ahead_ms(call, is_short, order)
        if not self.is_shared:
            return now_ms + self._rounds_ms(ahead_ms)
        queue_ms = ahead_ms / max(1, self.n_slots)
        return now_ms + self._running.first_end_ms() + queue_ms

    def _rounds_ms(self, n_ahead: float) -> float:
        """Return the time until a call starts that `n_ahead` others start before."""
        return (n_ahead + 1) * self._times.mean_ms / max(1, self.n_slots)

    def _is_short(self, route: str, priority: str) -> bool:
        """Return whether calls of a route start before long ones."""
        return self.is_shared and self._times.is_short(route, priority)

    def _work(self, call: WaitingCall) -> float:
        """Return the expected work of a call: milliseconds, or 1 if all are alike."""
        if not self.is_shared:
            return 1.0
        return self._times.typical_ms(call.route, call.priority)

    def _must_not_start_late(self, call: WaitingCall, now_ms: float) -> bool:
        """Record the start of a waiting call and return whether it is refused instead.

        It is refused if it is late and its queue is standing.
        """
        if call.wanted_ms == math.inf or not self.is_shared:
            return False
        is_short = self._times.is_short(call.route, call.priority)
        standing = self._standing[call.priority][not is_short]
        is_late = self._is_late(call, now_ms)
        if call.ticket not in self._late:
            # Calls that were late on arrival say nothing about the queue.
            standing.record_start(is_late, call.wanted_ms - call.arrived_ms, now_ms)
        return is_late and standing.is_standing and bool(self._waiting)

    def _admit(self, call: WaitingCall, now_ms: float) -> Admitted:
        self.n_in_flight += 1
        self._running.start(call.route)
        self.rate_limiter.take(now_ms)
        return Admitted(call.ticket)

    def _grant(self, now_ms: float) -> list[Verdict]:
        verdicts = self._refuse_expired(now_ms)
        while self.n_in_flight < self.n_slots and self._waiting:
            if not self.rate_limiter.has_token(now_ms):
                return verdicts + self._refuse_waiting_over_limit(now_ms)
            call = self._next(now_ms)
            if call is None:
                break
            if self._must_not_start_late(call, now_ms):
                cause = RefusalCause.STANDING_QUEUE
                verdicts.append(self._refuse(call, cause, now_ms))
                continue
            self._late.discard(call.ticket)
            verdicts.append(self._admit(call, now_ms))
        return verdicts

    def _n_ranks_with_long(self, now_ms: float) -> int:
        """Return the number of priorities, from the most urgent, with long calls that
        may start.
        """
        n_ranks = self._kept_slot.n_unaffected_ranks(now_ms)
        if n_ranks == len(PRIORITIES) or self.n_slots < N_SLOTS_TO_KEEP_ONE:
            return len(PRIORITIES)
        is_slot_left = self._running.n_long() < self.n_slots - 1
        return len(PRIORITIES) if is_slot_left else n_ranks

    def _may_long_start(self, call: WaitingCall, now_ms: float) -> bool:
        """Return whether a new long call may take a free slot."""
        if self._waiting:
            return False
        if self._kept_slot.until_ms <= now_ms:
            return True
        return RANKS[call.priority] < self._n_ranks_with_long(now_ms)

    def _next(self, now_ms: float) -> WaitingCall | None:
        """Remove and return the call that starts next, or None if none may start."""
        n_ranks = self._n_ranks_with_long(now_ms)
        self._n_grants += 1
        if self._n_grants % AGED_GRANT_INTERVAL == 0:
            # Without these grants, deferrable calls would never run while more urgent
            # calls keep all slots busy, and a service that receives only deferrable
            # calls, such as an archive, would appear to be down.
            oldest = self._waiting.oldest_behind_first(n_ranks)
            if oldest and now_ms - oldest.arrived_ms >= AGED_AFTER_MS:
                self._waiting.remove(oldest)
                return oldest
        return self._waiting.pop_first(n_ranks)

    def _order(self, call: WaitingCall, is_late: bool) -> Order:
        """Return the sort key of a call among the calls of its customer.

        Calls that can still be answered in their wanted time come before late ones;
        both are ordered by the latest time at which they have to start. Calls without
        a wanted time are ordered by arrival.
        """
        if call.wanted_ms == math.inf:
            return (0, call.arrived_ms)
        if is_late and not self._may_wait_until_deadline(call):
            return (1, self._times.latest_start_ms(call))
        return (0, self._times.latest_useful_start_ms(call))

    def _push(self, call: WaitingCall, is_late: bool) -> None:
        if is_late:
            self._late.add(call.ticket)
        is_short = self._is_short(call.route, call.priority)
        order = self._order(call, is_late)
        self._waiting.push(call, is_short, order, self._work(call))
        entry = (self._wait_limit_ms(call, is_late), call.ticket)
        heapq.heappush(self._wait_limits, entry)

    def _refuse_waiting_over_limit(self, now_ms: float) -> list[Verdict]:
        """Refuse every waiting call if the rate limit lets none of them start."""
        if self.rate_limiter.has_token(now_ms):
            return []
        calls = list(self._waiting)
        for call in calls:
            self._waiting.remove(call)
        return [self._refuse_over_limit(call, now_ms) for call in calls]

    def _refuse_expired(self, now_ms: float) -> list[Verdict]:
        verdicts: list[Verdict] = []
        limits = self._wait_limits
        while limits and limits[0][0] <= now_ms:
            call = self._waiting.get(heapq.heappop(limits)[1])
            if call is None:
                continue
            self._waiting.remove(call)
            if self._may_still_wait(call, now_ms):
                self._push(call, is_late=True)
                continue
            verdicts.append(self._refuse(call, RefusalCause.TOO_LATE, now_ms))
        return verdicts

    def _refuse_over_limit(self, call: WaitingCall, now_ms: float) -> Refused:
        self._late.discard(call.ticket)
        retry_after_ms = max(
            RETRY_AFTER_MIN_MS, self.rate_limiter.retry_after_ms(now_ms)
        )
        return Refused(call.ticket, RefusalCause.RATE_LIMIT, retry_after_ms)

    def _refuse(self, call: WaitingCall, cause: RefusalCause, now_ms: float) -> Refused:
        """Return the refusal of a call, with the time after which to retry.

        The time is the longer of two: the expected time until the queue is empty, and
        the time for which the overload has lasted. An overload of seconds won't end
        within a few hundred milliseconds, and a caller that is refused twice is worse
        off than a caller that is given a realistic time.
        """
        self._late.discard(call.ticket)
        is_short = self._times.is_short(call.route, call.priority)
        self._standing[call.priority][not is_short].record_refusal(now_ms)
        if now_ms - self._last_refused_ms > OVERLOAD_GAP_MS:
            self._overloaded_since_ms = now_ms
        self._last_refused_ms = now_ms
        queue_ms = self._rounds_ms(len(self._waiting))
        if self.is_shared:
            work_ms = self._waiting.work_ms + self._work(call)
            queue_ms = work_ms / max(1, self.n_slots)
        lasted_ms = now_ms - self._overloaded_since_ms
        retry_after_ms = int(max(queue_ms, lasted_ms))
        bounded = min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, retry_after_ms))
        return Refused(call.ticket, cause, bounded)


__all__ = [
    "Admission",
    "Admitted",
    "RefusalCause",
    "Refused",
    "Verdict",
]
