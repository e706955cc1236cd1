"""Which calls a target runs now, which wait, and which are refused.

The daemon beside the target is the only one that sends it work, so that its
slots are exact and a refusal proves that the call did not run.
"""

from __future__ import annotations

import heapq
import math
from enum import StrEnum
from typing import Final

from msgspec import Struct

from ..intent import PRIORITIES
from .fair_queue import FairQueue, Order, WaitingCall
from .service_times import ServiceTimes

RETRY_AFTER_MIN_MS: Final = 10
RETRY_AFTER_MAX_MS: Final = 5_000
# Ageing: one grant in so many goes to a less urgent call that has waited for
# longer than its bound. A bounded share, as under overload every deferrable
# call is old, and letting all of them pass first would turn priorities over.
AGED_GRANT_INTERVAL: Final = 10
AGED_AFTER_MS: Final = 500.0
# Calls that can't be in time any more wait behind those that can, for at most
# this share of the time they have left: told early, their callers can still go
# elsewhere, and a third is what they would wait by themselves.
LATE_WAIT_SHARE: Final = 1 / 3
# An overload ends when no call was refused for so long.
OVERLOAD_GAP_MS: Final = 1_000.0
# For how long a less urgent call shows that there are such calls.
LESS_URGENT_SEEN_MS: Final = 1_000.0


class RefusalCause(StrEnum):
    """Why a call was refused."""

    QUEUE_FULL = "queue full"
    TOO_LATE = "no slot before its deadline"
    NOT_IN_TIME = "no slot while its answer is still wanted"
    DISPLACED = "displaced by a more urgent call"
    OVER_SHARE = "displaced by a customer with fewer calls"
    DRAINING = "the target is leaving"


class Admitted(Struct, frozen=True):
    """The call may run now."""

    ticket: int


class Refused(Struct, frozen=True):
    """The call does not run and gets its answer at once."""

    ticket: int
    cause: RefusalCause
    retry_after_ms: int


Verdict = Admitted | Refused


class Admission:
    """The slots of one target and the calls that wait for them.

    Every method returns the verdicts that follow, which may concern other
    calls than the one it was called for. Times are in milliseconds.

    >>> admission = Admission(n_slots=1)
    >>> call = WaitingCall(7, "lantern", "urgent", 0, 2000, 8)
    >>> list(admission.arrive(call, now_ms=0))
    [Admitted(ticket=7)]
    """

    def __init__(self, n_slots: int) -> None:
        self.n_slots = n_slots
        self.n_in_flight = 0
        self._times = ServiceTimes()
        self._late: set[int] = set()
        self._arrived_ms_of = dict.fromkeys(PRIORITIES, -math.inf)
        self._refused_ms = -math.inf
        self._overloaded_since_ms = 0.0
        self._queues = {priority: FairQueue() for priority in PRIORITIES}
        self._waiting: dict[int, WaitingCall] = {}
        self._latest_starts: list[tuple[float, int]] = []
        self._n_grants = 0

    @property
    def n_queued(self) -> int:
        """Return how many calls wait."""
        return len(self._waiting)

    @property
    def next_expiry_ms(self) -> float | None:
        """Return when `expire` should be called, or None with nothing waiting."""
        latest = self._latest_starts
        while latest and latest[0][1] not in self._waiting:
            heapq.heappop(latest)
        return latest[0][0] if latest else None

    def arrive(self, call: WaitingCall, now_ms: float) -> list[Verdict]:
        """Take a new call: run it, let it wait, or refuse it or another."""
        self._arrived_ms_of[call.priority] = now_ms
        if self.n_in_flight < self.n_slots and not self._waiting:
            self.n_in_flight += 1
            return [Admitted(call.ticket)]
        cause = self._cause_to_refuse(call, now_ms)
        if cause is not None:
            return [self._refuse(call, cause, now_ms)]
        if len(self._waiting) < call.n_queued_max:
            self._push(call)
            return []
        return self._arrive_at_full_queue(call, now_ms)

    def finish(
        self,
        customer: str,
        priority: str,
        service_ms: float | None,
        now_ms: float,
        route: str = "",
    ) -> list[Verdict]:
        """Take the end of a running call and let the next ones in.

        `service_ms` is None where the call says nothing of the target's speed,
        as when its connection could not be opened.
        """
        self.n_in_flight -= 1
        if service_ms is not None:
            cost = service_ms / max(self._times.mean_ms, 0.01) - 1.0
            self._queues[priority].charge(customer, cost)
            self._times.record(priority, route, service_ms)
        return self._grant(now_ms)

    def resize(self, n_slots: int, now_ms: float) -> list[Verdict]:
        """Take a changed number of slots; calls in flight go on."""
        self.n_slots = n_slots
        return self._grant(now_ms)

    def expire(self, now_ms: float) -> list[Verdict]:
        """Refuse the calls that can no longer be answered in time.

        They are refused in that instant, not at their deadline: a caller that
        knows early can still go elsewhere.
        """
        verdicts: list[Verdict] = []
        while (expiry_ms := self.next_expiry_ms) is not None and expiry_ms <= now_ms:
            _, ticket = heapq.heappop(self._latest_starts)
            call = self._waiting[ticket]
            self._remove(call)
            if self._may_still_wait(call, now_ms):
                self._push(call, is_late=True)
                continue
            verdicts.append(self._refuse(call, RefusalCause.TOO_LATE, now_ms))
        return verdicts

    def withdraw(self, ticket: int) -> None:
        """Forget a waiting call whose caller has left."""
        call = self._waiting.get(ticket)
        if call is not None:
            self._remove(call)
            self._late.discard(ticket)

    def drain(self) -> list[Verdict]:
        """Refuse every waiting call, as the target is leaving."""
        calls = list(self._waiting.values())
        for call in calls:
            self._remove(call)
            self._late.discard(call.ticket)
        return [Refused(call.ticket, RefusalCause.DRAINING, 0) for call in calls]

    def _cause_to_refuse(self, call: WaitingCall, now_ms: float) -> RefusalCause | None:
        """Return why a call should not wait, or None where it should.

        More calls than slots means that some are refused. Were all let in up to
        their deadlines, the queue would stand at that length, and every answer
        would come when it is hardly wanted any more; with the queue held so
        short that its calls are in time, the same slots serve as many callers,
        and those at once.
        """
        is_late = self._is_late(call, now_ms)
        start_ms = self._expected_start_ms(call, now_ms, is_late)
        if start_ms > self._times.latest_start_ms(call):
            return RefusalCause.TOO_LATE
        if start_ms > self._give_up_ms(call, is_late):
            return RefusalCause.NOT_IN_TIME
        return None

    def _waits_till_deadline(self, call: WaitingCall) -> bool:
        """Return whether a call may wait for longer than its answer is wanted most.

        That is so while less urgent calls come, which is how other requests
        depend on it: the look-up of a page that a service builds is worth as
        much late as in time, and refused it takes the whole page with it. The
        slots that it waits for are those of the less urgent calls.

        It is so as well for a call that takes a fraction of what others take: refused,
        it frees hardly anything for them, and such a short call is mostly part of
        another request.
        """
        if self._times.is_short(call):
            return True
        place = PRIORITIES.index(call.priority)
        return any(
            call.arrived_ms - self._arrived_ms_of[less_urgent] < LESS_URGENT_SEEN_MS
            for less_urgent in PRIORITIES[place + 1 :]
        )

    def _is_late(self, call: WaitingCall, now_ms: float) -> bool:
        """Return whether the answer can't come while it is wanted most."""
        return self._times.latest_useful_start_ms(call) < now_ms

    def _give_up_ms(self, call: WaitingCall, is_late: bool) -> float:
        """Return until when a call waits before it is refused."""
        if call.wanted_ms == math.inf or self._waits_till_deadline(call):
            return self._times.latest_start_ms(call)
        if not is_late:
            useful_ms = self._times.latest_useful_start_ms(call)
            return min(useful_ms, self._times.latest_start_ms(call))
        total_ms = call.deadline_ms - call.arrived_ms
        longest_ms = call.arrived_ms + total_ms * LATE_WAIT_SHARE
        return min(longest_ms, self._times.latest_start_ms(call))

    def _may_still_wait(self, call: WaitingCall, now_ms: float) -> bool:
        """Return whether a call that is late from now on keeps its place.

        With nothing else waiting, its slot is taken from nobody.
        """
        if call.ticket in self._late or self._waiting:
            return False
        return self._give_up_ms(call, True) > now_ms

    def _arrive_at_full_queue(self, call: WaitingCall, now_ms: float) -> list[Verdict]:
        victim = self._victim(call)
        if victim is None:
            return [self._refuse(call, RefusalCause.QUEUE_FULL, now_ms)]
        is_less_urgent = victim.priority != call.priority
        cause = RefusalCause.DISPLACED if is_less_urgent else RefusalCause.OVER_SHARE
        self._remove(victim)
        self._push(call)
        return [self._refuse(victim, cause, now_ms)]

    def _victim(self, call: WaitingCall) -> WaitingCall | None:
        """Return the waiting call that a new one displaces, if any.

        A queue filled by one large customer would else refuse every small one
        for as long as the flood lasts.
        """
        for priority in reversed(PRIORITIES):
            queue = self._queues[priority]
            if priority == call.priority:
                return _over_share(queue, call)
            if queue:
                return queue.newest_of_longest()
        return None

    def _expected_start_ms(
        self, call: WaitingCall, now_ms: float, is_late: bool
    ) -> float:
        """Return when the call would run, if it had to wait."""
        order = self._order(call, is_late)
        n_ahead = 0
        for priority in PRIORITIES:
            queue = self._queues[priority]
            if priority == call.priority:
                n_ahead += queue.n_ahead(call.customer, order)
                break
            n_ahead += len(queue)
        n_turns = (n_ahead + 1) / max(1, self.n_slots)
        return now_ms + n_turns * self._times.mean_ms

    def _grant(self, now_ms: float) -> list[Verdict]:
        verdicts = self.expire(now_ms)
        while self.n_in_flight < self.n_slots and self._waiting:
            call = self._next(now_ms)
            del self._waiting[call.ticket]
            self._late.discard(call.ticket)
            self.n_in_flight += 1
            verdicts.append(Admitted(call.ticket))
        return verdicts

    def _next(self, now_ms: float) -> WaitingCall:
        self._n_grants += 1
        filled = [queue for queue in self._queues.values() if queue]
        if self._n_grants % AGED_GRANT_INTERVAL == 0 and len(filled) > 1:
            # Without this share, deferrable calls would never run while more
            # urgent ones keep all slots busy; an archive would seem to be gone.
            oldest = min((q.oldest() for q in filled[1:]), key=lambda c: c.arrived_ms)
            if now_ms - oldest.arrived_ms >= AGED_AFTER_MS:
                self._queues[oldest.priority].remove(oldest)
                return oldest
        return filled[0].pop()

    def _order(self, call: WaitingCall, is_late: bool) -> Order:
        """Return the place of a call: those in time first, by how soon they start.

        Calls without a wanted time keep the order of their arrival.
        """
        if call.wanted_ms == math.inf:
            return (0, call.arrived_ms)
        if is_late and not self._waits_till_deadline(call):
            return (1, self._times.latest_start_ms(call))
        return (0, self._times.latest_useful_start_ms(call))

    def _push(self, call: WaitingCall, is_late: bool | None = None) -> None:
        if is_late is None:
            is_late = self._is_late(call, call.arrived_ms)
        if is_late:
            self._late.add(call.ticket)
        self._waiting[call.ticket] = call
        self._queues[call.priority].push(call, self._order(call, is_late))
        entry = (self._give_up_ms(call, is_late), call.ticket)
        heapq.heappush(self._latest_starts, entry)

    def _remove(self, call: WaitingCall) -> None:
        del self._waiting[call.ticket]
        self._queues[call.priority].remove(call)

    def _refuse(self, call: WaitingCall, cause: RefusalCause, now_ms: float) -> Refused:
        """Refuse a call, with the time after which another try makes sense.

        That is when the queue should have run down, or, where calls have been
        refused for longer than that, once more as long as they have been: an
        overload that has lasted for seconds won't be over in a few hundred
        milliseconds, and a caller who is sent away twice is worse off than one
        who knows.
        """
        self._late.discard(call.ticket)
        if now_ms - self._refused_ms > OVERLOAD_GAP_MS:
            self._overloaded_since_ms = now_ms
        self._refused_ms = now_ms
        n_turns = (len(self._waiting) + 1) / max(1, self.n_slots)
        lasted_ms = now_ms - self._overloaded_since_ms
        retry_after_ms = int(max(n_turns * self._times.mean_ms, lasted_ms))
        bounded = min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, retry_after_ms))
        return Refused(call.ticket, cause, bounded)


def _over_share(queue: FairQueue, call: WaitingCall) -> WaitingCall | None:
    if not queue:
        return None
    newest = queue.newest_of_longest()
    if queue.n_of(newest.customer) > queue.n_of(call.customer) + 1:
        return newest
    return None


__all__ = [
    "Admission",
    "Admitted",
    "RefusalCause",
    "Refused",
    "Verdict",
]
