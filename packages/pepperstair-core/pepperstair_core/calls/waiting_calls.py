"""The calls that wait for a slot of one target, in the order in which they start.

More urgent calls start first and, within a priority, short calls before long ones. A
short call is usually a look-up that another request waits for: behind long calls it
would come too late, and the run of that request would fail. Customers take turns within
each queue.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from msgspec import Struct

from ..intent import PRIORITIES
from .fair_queue import FairQueue, Order, WaitingCall

RANKS: Final = {priority: rank for rank, priority in enumerate(PRIORITIES)}


class _Place(Struct, frozen=True):
    call: WaitingCall
    queue: FairQueue


class WaitingCalls:
    """A queue of short and one of long calls for each priority."""

    def __init__(self) -> None:
        self._short = tuple(FairQueue() for _ in PRIORITIES)
        self._long = tuple(FairQueue() for _ in PRIORITIES)
        # All queues, in the order in which they are served.
        self._queues = tuple(
            queue
            for pair in zip(self._short, self._long, strict=True)
            for queue in pair
        )
        self._places: dict[int, _Place] = {}

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, ticket: int) -> bool:
        return ticket in self._places

    def __iter__(self) -> Iterator[WaitingCall]:
        return iter([place.call for place in self._places.values()])

    @property
    def n_short(self) -> int:
        """Return the number of short calls."""
        return sum(len(queue) for queue in self._short)

    @property
    def work_ms(self) -> float:
        """Return the expected service time of all calls together."""
        return sum(queue.work_ms for queue in self._queues)

    def get(self, ticket: int) -> WaitingCall | None:
        """Return a waiting call, or None if it does not wait."""
        place = self._places.get(ticket)
        return place.call if place is not None else None

    def push(
        self, call: WaitingCall, is_short: bool, order: Order, work_ms: float
    ) -> None:
        """Insert a call; `order` sorts it among the calls of its customer."""
        queue = self._queue_of(call, is_short)
        queue.push(call, order, work_ms)
        self._places[call.ticket] = _Place(call, queue)

    def remove(self, call: WaitingCall) -> None:
        """Remove a call that no longer waits."""
        self._places.pop(call.ticket).queue.remove(call)

    def has_turn(self, customer: str, priority: str) -> bool:
        """Return whether a customer takes part in the turns of a priority."""
        rank = RANKS[priority]
        return self._short[rank].has_turn(customer) or self._long[rank].has_turn(
            customer
        )

    def charge(self, customer: str, priority: str, is_short: bool, cost: float) -> None:
        """Charge a customer for the cost of a call beyond one mean service time."""
        queues = self._short if is_short else self._long
        queues[RANKS[priority]].charge(customer, cost)

    def pop_first(self, n_ranks_with_long: int) -> WaitingCall | None:
        """Remove and return the first call that may start.

        Long calls may start only if their priority is among the `n_ranks_with_long`
        most urgent ones.
        """
        for rank, queue in enumerate(self._short):
            if not queue:
                if rank >= n_ranks_with_long or not self._long[rank]:
                    continue
                queue = self._long[rank]
            call = queue.pop()
            del self._places[call.ticket]
            return call
        return None

    def oldest_behind_first(self, n_ranks_with_long: int) -> WaitingCall | None:
        """Return the oldest call that may start, outside the queue served next."""
        others = self._startable(n_ranks_with_long)[1:]
        calls = (queue.oldest() for queue in others)
        return min(calls, key=lambda call: call.arrived_ms, default=None)

    def work_ahead_ms(self, call: WaitingCall, is_short: bool, order: Order) -> float:
        """Return the expected service time of the calls ahead of a new call."""
        own = self._queue_of(call, is_short)
        ahead_ms = 0.0
        for queue in self._queues:
            if queue is own:
                break
            ahead_ms += queue.work_ms
        return ahead_ms + own.work_ahead_ms(call.customer, order)

    def victim(self, call: WaitingCall) -> WaitingCall | None:
        """Return the waiting call that a new call displaces, or None.

        Without displacement, a queue filled by one large customer would refuse every
        small customer for as long as the flood lasts.
        """
        rank = RANKS[call.priority]
        for queue in reversed(self._queues[2 * rank + 2 :]):
            if queue:
                return queue.newest_of_longest()
        filled = [q for q in (self._long[rank], self._short[rank]) if q]
        newest = [queue.newest_of_longest() for queue in filled]
        n_own = self._n_waiting_of(call.customer, rank)
        for other in newest:
            if self._n_waiting_of(other.customer, rank) > n_own + 1:
                return other
        return None

    def _n_waiting_of(self, customer: str, rank: int) -> int:
        n_short = self._short[rank].n_waiting_of(customer)
        return n_short + self._long[rank].n_waiting_of(customer)

    def _queue_of(self, call: WaitingCall, is_short: bool) -> FairQueue:
        queues = self._short if is_short else self._long
        return queues[RANKS[call.priority]]

    def _startable(self, n_ranks_with_long: int) -> list[FairQueue]:
        n_all = 2 * n_ranks_with_long
        queues = self._queues[:n_all] + self._queues[n_all::2]
        return [queue for queue in queues if queue]


__all__ = ["RANKS", "WaitingCalls"]
