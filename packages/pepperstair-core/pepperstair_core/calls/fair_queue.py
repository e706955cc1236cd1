"""Calls that wait for a slot, fair between customers.

Deficit round robin (Shreedhar and Varghese, 1995) with the cost of a call
counted in mean service times: one is charged when the call is let in, and the
rest once it is known how long it really took.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

DEBT_MAX: Final = 20.0


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that asks for a slot; times are in milliseconds of one clock."""

    ticket: int
    customer: str
    priority: str
    arrived_ms: float
    deadline_ms: float
    n_queued_max: int


class FairQueue:
    """The waiting calls of one priority."""

    def __init__(self) -> None:
        self._queues: dict[str, deque[WaitingCall]] = {}
        self._deficits: dict[str, float] = {}
        self._turns: deque[str] = deque()
        self._n_calls = 0

    def __len__(self) -> int:
        return self._n_calls

    def push(self, call: WaitingCall) -> None:
        """Add a call behind the others of its customer.

        A customer that had nothing waiting has the next turn: it is using less
        than its share, and must not stand behind one that floods.
        """
        queue = self._queues.get(call.customer)
        if queue is None:
            queue = self._queues[call.customer] = deque()
            self._deficits[call.customer] = 0.0
            self._turns.appendleft(call.customer)
        queue.append(call)
        self._n_calls += 1

    def pop(self) -> WaitingCall:
        """Take the oldest call of the customer whose turn it is.

        A customer whose last call was taken keeps its place for one more round;
        else it could come back as a new one at once and pass all the others.
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
                self._n_calls -= 1
                return queue.popleft()

    def charge(self, customer: str, cost: float) -> None:
        """Charge a customer what its call cost beyond one mean service time."""
        if customer in self._deficits:
            deficit = self._deficits[customer] - cost
            self._deficits[customer] = max(-DEBT_MAX, min(0.0, deficit))

    def remove(self, call: WaitingCall) -> None:
        """Take a call out that no longer waits."""
        self._queues[call.customer].remove(call)
        self._n_calls -= 1

    def n_of(self, customer: str) -> int:
        """Return how many calls of a customer wait."""
        return len(self._queues.get(customer, ()))

    def n_ahead(self, customer: str) -> int:
        """Return how many calls come before a new one of a customer."""
        n_own = self.n_of(customer)
        return n_own + sum(
            min(len(queue), n_own + 1)
            for name, queue in self._queues.items()
            if name != customer
        )

    def newest_of_longest(self) -> WaitingCall:
        """Return the newest call of the customer with the most waiting."""
        return max(self._queues.values(), key=len)[-1]

    def oldest(self) -> WaitingCall:
        """Return the call that has waited longest."""
        heads = (queue[0] for queue in self._queues.values() if queue)
        return min(heads, key=lambda call: call.arrived_ms)


__all__ = ["FairQueue", "WaitingCall"]
