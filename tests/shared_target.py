"""One target under a drawn load, in virtual time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from pepperstair_core.calls import Admission, Admitted, Refused, WaitingCall

N_QUEUED_MAX = 256


@dataclass(frozen=True)
class Source:
    """The calls of one customer on one route; `factor` scales the rate over time."""

    customer: str
    per_s: float
    work_ms: float = 40.0
    objective_ms: float = 300.0
    deadline_ms: float = 1_500.0
    route: str = "r"
    priority: str = "normal"
    spread: float = 0.5
    factor: Callable[[float], float] = lambda at_ms: 1.0
    # Times that a refused call is sent again at once.
    n_returns: int = 0


@dataclass(frozen=True)
class Ended:
    """The end of a call; `latency_ms` is infinite if it was refused."""

    source: Source
    sent_ms: float
    latency_ms: float

    @property
    def is_in_time(self) -> bool:
        """Return whether the answer arrived within the objective."""
        return self.latency_ms <= self.source.objective_ms


class FirstComeFirstServed:
    """Admission without turns: calls start in the order of their arrival."""

    def __init__(self, n_slots: int) -> None:
        self._n_free = n_slots
        self._waiting: list[WaitingCall] = []
        self.next_expiry_ms = None

    def arrive(self, call: WaitingCall, now_ms: float) -> list:
        """Admit or queue a call."""
        self._waiting.append(call)
        return self._grant(now_ms)

    def finish(self, customer, priority, service_ms, now_ms, route) -> list:
        """Free a slot."""
        self._n_free += 1
        return self._grant(now_ms)

    def _grant(self, now_ms: float) -> list:
        verdicts = []
        while self._n_free and self._waiting:
            call = self._waiting.pop(0)
            if call.deadline_ms <= now_ms:
                verdicts.append(Refused(call.ticket, "late", 0))
                continue
            self._n_free -= 1
            verdicts.append(Admitted(call.ticket))
        return verdicts


class SharedTarget:
    """Runs calls on one target, decided by an admission."""

    def __init__(self, admission, seed: int) -> None:
        self._admission = admission
        self._rng = Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._n_events = 0
        self._now_ms = 0.0
        self._calls: dict[int, tuple[Source, float, WaitingCall, int]] = {}
        self.ended: list[Ended] = []

    def run(self, sources: Iterable[Source], until_ms: float) -> list[Ended]:
        """Send calls until a time and return how each of them ended."""
        for source in sources:
            self._schedule_arrivals(source, until_ms)
        while self._events:
            self._now_ms, _, handle = heapq.heappop(self._events)
            handle()
        return self.ended

    def _schedule_arrivals(self, source: Source, until_ms: float) -> None:
        """Schedule Poisson arrivals, thinned where the factor is below its maximum."""
        factors = [source.factor(at_ms) for at_ms in range(0, int(until_ms), 100)]
        highest = max(factors)
        at_ms = 0.0
        while True:
            at_ms += self._rng.expovariate(source.per_s * highest / 1000)
            if at_ms >= until_ms:
                return
            if self._rng.random() < source.factor(at_ms) / highest:
                sent_ms = at_ms
                self._at(
                    at_ms, lambda s=sent_ms: self._send(source, s, source.n_returns)
                )

    def _at(self, at_ms: float, handle: Callable[[], None]) -> None:
        self._n_events += 1
        heapq.heappush(self._events, (at_ms, self._n_events, handle))

    def _send(self, source: Source, sent_ms: float, n_returns: int) -> None:
        ticket = len(self._calls)
        call = WaitingCall(
            ticket,
            source.customer,
            source.priority,
            self._now_ms,
            sent_ms + source.deadline_ms,
            N_QUEUED_MAX,
            max(self._now_ms, sent_ms + source.objective_ms),
            source.route,
        )
        self._calls[ticket] = (source, sent_ms, call, n_returns)
        self._apply(self._admission.arrive(call, self._now_ms))

    def _apply(self, verdicts) -> None:
        for verdict in verdicts:
            source, sent_ms, call, n_returns = self._calls[verdict.ticket]
            if isinstance(verdict, Admitted):
                self._start(source, sent_ms)
            elif n_returns and self._now_ms + 5.0 < call.deadline_ms:
                self._at(
                    self._now_ms + 5.0,
                    lambda a=source, b=sent_ms, c=n_returns - 1: self._send(a, b, c),
                )
            else:
                self.ended.append(Ended(source, sent_ms, math.inf))
        expiry_ms = self._admission.next_expiry_ms
        if expiry_ms is not None:
            self._at(max(expiry_ms, self._now_ms), self._expire)

    def _expire(self) -> None:
        if verdicts := self._admission.expire(self._now_ms):
            self._apply(verdicts)

    def _start(self, source: Source, sent_ms: float) -> None:
        spread = source.spread
        work_ms = source.work_ms * self._rng.lognormvariate(-(spread**2) / 2, spread)

        def end() -> None:
            self.ended.append(Ended(source, sent_ms, self._now_ms - sent_ms))
            self._apply(
                self._admission.finish(
                    source.customer,
                    source.priority,
                    work_ms,
                    self._now_ms,
                    source.route,
                )
            )

        self._at(self._now_ms + work_ms, end)


def run_shared(sources, seed=0, until_ms=12_000.0, n_slots=6, make=Admission):
    """Return the ends of the calls of some sources at one target."""
    return SharedTarget(make(n_slots), seed).run(sources, until_ms)


def share_in_time(ended: Iterable[Ended]) -> float:
    """Return the share of calls that were answered within their objective."""
    ended = list(ended)
    return sum(each.is_in_time for each in ended) / max(1, len(ended))


def jain_index(values: Iterable[float]) -> float:
    """Return Jain's index of fairness: 1 if all values are equal."""
    values = list(values)
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0
