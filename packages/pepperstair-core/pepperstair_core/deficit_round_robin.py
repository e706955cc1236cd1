"""Deficit round robin over customers, and a token bucket.

Each customer has its own queue, so a large customer's burst does not delay the others:
a small customer's item is taken after at most one turn of each other customer
(Shreedhar and Varghese 1995).

>>> queue = DeficitRoundRobin(quantum=10)
>>> for number in range(3):
...     queue.put("sayaw", f"sayaw {number}", 10)
>>> queue.put("lantern", "lantern 0", 10)
>>> [queue.take() for _ in range(2)]
['sayaw 0', 'lantern 0']
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

Item = TypeVar("Item")


class DeficitRoundRobin(Generic[Item]):
    """One queue of items per customer, served in turns of equal cost."""

    def __init__(self, quantum: int) -> None:
        self._quantum = quantum
        self._queues: dict[str, deque[tuple[int, Item]]] = {}
        self._turns: deque[str] = deque()
        self._deficits: dict[str, int] = {}
        self._costs: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def put(self, customer: str, item: Item, cost: int) -> None:
        """Add an item to the end of a customer's queue."""
        if customer not in self._queues:
            self._queues[customer] = deque()
            self._turns.append(customer)
            self._deficits[customer] = 0
            self._costs[customer] = 0
        self._queues[customer].append((cost, item))
        self._costs[customer] += cost

    def take(self) -> Item | None:
        """Remove and return the next item, or None if all queues are empty."""
        while self._turns:
            customer = self._turns[0]
            cost, item = self._queues[customer][0]
            if self._deficits[customer] >= cost:
                return self._remove_first(customer, cost, item)
            self._deficits[customer] += self._quantum
            self._turns.rotate(-1)
        return None

    def cost_of(self, customer: str) -> int:
        """Return the total cost of a customer's queued items."""
        return self._costs.get(customer, 0)

    def drop(self, customer: str) -> tuple[Item, ...]:
        """Remove a customer's queue and return its items."""
        queue = self._queues.get(customer, ())
        items = tuple(item for _, item in queue)
        if queue:
            self._remove_queue(customer)
        return items

    def _remove_first(self, customer: str, cost: int, item: Item) -> Item:
        self._deficits[customer] -= cost
        self._costs[customer] -= cost
        queue = self._queues[customer]
        queue.popleft()
        if not queue:
            self._remove_queue(customer)
        return item

    def _remove_queue(self, customer: str) -> None:
        """Remove a queue with its deficit, so that an idle customer gains no credit."""
        del self._queues[customer], self._deficits[customer], self._costs[customer]
        self._turns.remove(customer)


class TokenBucket:
    """A rate limiter that allows bursts of up to one second's worth of tokens."""

    def __init__(self, n_per_s: float, now_ms: int) -> None:
        self._n_per_s = n_per_s
        self._n_tokens = float(n_per_s)
        self._refilled_at_ms = now_ms

    def take(self, now_ms: int) -> int:
        """Take a token and return 0, or return the time in ms until there is one."""
        elapsed_ms = max(0, now_ms - self._refilled_at_ms)
        self._refilled_at_ms = now_ms
        filled = self._n_tokens + elapsed_ms * self._n_per_s / 1000
        self._n_tokens = min(self._n_per_s, filled)
        if self._n_tokens >= 1:
            self._n_tokens -= 1
            return 0
        return int((1 - self._n_tokens) * 1000 / self._n_per_s) + 1


__all__ = ["DeficitRoundRobin", "TokenBucket"]
