"""Fair queueing between customers for calls that wait for a slot.

Deficit round robin (Shreedhar and Varghese, 1995) in which the cost of a call is
counted in mean service times. When a call is admitted, its customer is charged one mean
service time; when the call has ended, the difference between its real duration and
that mean is charged.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from typing import Final

from msgspec import Struct

# Maximum debt of a customer, in mean service times. A call that takes longer than the
# mean service time adds the excess to its customer's debt.
DEBT_MAX: Final = 20.0

Order = tuple[int, float]


class WaitingCall(Struct, frozen=True):
    """A call that requests a slot; times are in milliseconds of one clock.

    After `wanted_ms` the answer is worth less to the caller, and after `deadline_ms` it
    is worth nothing. Calls of one `route` take about the same time.
    """

    ticket: int
    customer: str
    priority: str
    arrived_ms: float
    deadline_ms: float
    n_queued_max: int
    wanted_ms: float = math.inf
    route: str = ""


class _QueuedCall(Struct, frozen=True):
    """A waiting call and its position among the calls of its customer."""

    order: Order
    ticket: int
    call: WaitingCall
    work_ms: float = 0.0

    def __lt__(self, other: _QueuedCall) -> bool:
        """Return whether this call comes before the other one."""
        return (self.order, self.ticket) < (other.order, other.ticket)


class FairQueue:
    """The waiting calls of one priority.

    Customers take turns; a customer's own calls are sorted by the `order` that is
    passed to `push`, lowest first. `work_ms` is the expected service time of all
    waiting calls together.
    """

    def __init__(self) -> None:
        self._queues: dict[str, list[_QueuedCall]] = {}
        self._deficits: dict[str, float] = {}
        self._turns: deque[str] = deque()
        self._n_calls = 0
        self.work_ms = 0.0

    def __len__(self) -> int:
        return self._n_calls

    def push(
        self, call: WaitingCall, order: Order = (0, 0.0), work_ms: float = 0.0
    ) -> None:
        """Insert a call among the others of its customer.

        `work_ms` is the expected service time of the call.
        A customer without waiting calls gets the next turn: it uses less than its
        share and must not wait behind a customer that floods the queue.
        """
        queue = self._queues.get(call.customer)
        if queue is None:
            queue = self._queues[call.customer] = []
            self._deficits[call.customer] = 0.0
            self._turns.appendleft(call.customer)
        bisect.insort(queue, _QueuedCall(order, call.ticket, call, work_ms))
        self._n_calls += 1
        self.work_ms += work_ms

    def pop(self) -> WaitingCall:
        """Remove and return the first call of the customer whose turn it is.

        A customer whose last call was removed stays in the rotation for one more
        round. Otherwise its next call would make it a new customer, and a new customer
        gets the next turn, ahead of all others.
        """
        while True:
            customer = self._turns.popleft()
            queue = self._queues[customer]
            if not queue:
                del self._queues[customer]
                del self._deficits[customer]
                continue
            self._turns.append(customer)
            self._deficits[customer] += 1.0
            if self._deficits[customer] >= 1.0:
                self._deficits[customer] -= 1.0
                queued = queue.pop(0)
                self._subtract(queued)
                return queued.call

    def has_turn(self, customer: str) -> bool:
        """Return whether a customer takes part in the turns."""
        return customer in self._deficits

    def charge(self, customer: str, cost: float) -> None:
        """Charge a customer for the cost of a call beyond one mean service time."""
        if customer in self._deficits:
            deficit = self._deficits[customer] - cost
            self._deficits[customer] = max(-DEBT_MAX, min(0.0, deficit))

    def remove(self, call: WaitingCall) -> None:
        """Remove a call that no longer waits."""
        queue = self._queues[call.customer]
        for index, queued in enumerate(queue):
            if queued.ticket == call.ticket:
                self._subtract(queue.pop(index))
                return

    def n_waiting_of(self, customer: str) -> int:
        """Return the number of waiting calls of a customer."""
        return len(self._queues.get(customer, ()))

    def n_ahead(self, customer: str, order: Order = (0, math.inf)) -> int:
        """Return how many waiting calls are ahead of a new call of a customer."""
        own = self._queues.get(customer, ())
        n_own = bisect.bisect_right(own, order, key=lambda queued: queued.order)
        return n_own + sum(
            min(len(queue), n_own + 1)
            for name, queue in self._queues.items()
            if name != customer
        )

    def work_ahead_ms(self, customer: str, order: Order) -> float:
        """Return the expected service time of the calls ahead of a new call.

        The calls of one queue differ little, so it is their number times their mean.
        """
        if not self._n_calls:
            return 0.0
        return self.n_ahead(customer, order) * self.work_ms / self._n_calls

    def newest_of_longest(self) -> WaitingCall:
        """Return the last call of the customer with the most waiting calls."""
        return max(self._queues.values(), key=len)[-1].call

    def oldest(self) -> WaitingCall:
        """Return the call that arrived first among the customers' next calls."""
        next_calls = (queue[0].call for queue in self._queues.values() if queue)
        return min(next_calls, key=lambda call: call.arrived_ms)

    def _subtract(self, queued: _QueuedCall) -> None:
        self._n_calls -= 1
        # An empty queue is set to zero exactly, as rounding errors would add up.
        self.work_ms = self.work_ms - queued.work_ms if self._n_calls else 0.0


__all__ = ["FairQueue", "WaitingCall"]
