"""Targets with slots, speeds and faults, using the product's admission."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable
from random import Random

from pepperstair_core.calls import (
    Admission,
    Admitted,
    Load,
    Refused,
    RunLimits,
    WaitingCall,
)
from pepperstair_core.intent import Policy as TargetPolicy
from pepperstair_core.members import Target, TargetState
from pepperstair_core.routing import Endpoint

from .clock import VirtualClock
from .experiment import FaultModel, RouteModel, ServiceModel

CUSTOMER = "c"
N_QUEUED_MAX = 256
AdmissionCallback = Callable[[Refused | None], None]


class EmulatedTarget:
    """One target and the admission of its calls by the daemon on its VM."""

    def __init__(
        self,
        service: ServiceModel,
        index: int,
        zone: str,
        faults: tuple[FaultModel, ...],
        clock: VirtualClock,
        rng: Random,
    ) -> None:
        self.vm = f"{service.name}-{index}"
        self.speed = service.speeds[index]
        self.admission = Admission(service.n_slots)
        self.run_limits = RunLimits()
        self._faults = [fault for fault in faults if index < fault.n_targets]
        self._clock = clock
        self._rng = rng
        self._tickets = itertools.count(1)
        self._waiting: dict[int, AdmissionCallback] = {}
        self._expiry_ms = math.inf
        state = TargetState.SERVING
        target = Target(self.vm, "127.0.0.1:1", (), service.n_slots, 110, state)
        policy = TargetPolicy("p", "")
        self.endpoint = Endpoint(self.vm, zone, "127.0.0.1:2", target, policy)

    @property
    def load(self) -> Load:
        """Return the load of the target that its daemon reports."""
        return Load(self.admission.n_in_flight, self.admission.n_queued)

    def factor(self, kind: str) -> float:
        """Return the largest factor of the active faults of a kind, 0 for none."""
        now_s = self._clock.now_ms / 1000
        active_factors = (
            fault.factor
            for fault in self._faults
            if fault.kind == kind and fault.from_s <= now_s < fault.from_s + fault.for_s
        )
        return max(active_factors, default=0.0)

    def work_ms(self, route: RouteModel) -> float:
        """Draw the time that the target takes for one request."""
        work_factor = self._rng.lognormvariate(-(route.spread**2) / 2, route.spread)
        return route.work_ms * work_factor / self.speed * max(1.0, self.factor("slow"))

    def request_slot(
        self,
        route: RouteModel,
        deadline_ms: float,
        wanted_ms: float,
        on_verdict: AdmissionCallback,
    ) -> None:
        """Request a slot; `on_verdict` receives None if admitted, else the refusal."""
        ticket = next(self._tickets)
        self._waiting[ticket] = on_verdict
        now_ms = self._clock.now_ms
        call = WaitingCall(
            ticket,
            CUSTOMER,
            route.priority,
            now_ms,
            deadline_ms,
            N_QUEUED_MAX,
            wanted_ms,
            route.name,
        )
        self._deliver_verdicts(self.admission.arrive(call, now_ms))

    def release_slot(self, route: RouteModel, service_ms: float | None) -> None:
        """Release the slot of a call.

        `service_ms` is how long the target took for the call, or None if the call gives
        no information about the target's speed, as when the target is unreachable.
        """
        now_ms = self._clock.now_ms
        self._deliver_verdicts(
            self.admission.finish(
                CUSTOMER, route.priority, service_ms, now_ms, route.name
            )
        )

    def _deliver_verdicts(self, verdicts: list[Admitted | Refused]) -> None:
        for verdict in verdicts:
            on_verdict = self._waiting.pop(verdict.ticket)
            on_verdict(verdict if isinstance(verdict, Refused) else None)
        expiry_ms = self.admission.next_expiry_ms
        if expiry_ms is not None and expiry_ms < self._expiry_ms:
            self._expiry_ms = expiry_ms
            self._clock.call_at(expiry_ms, self._expire)

    def _expire(self) -> None:
        now_ms = self._clock.now_ms
        if now_ms >= self._expiry_ms:
            self._expiry_ms = math.inf
        self._deliver_verdicts(self.admission.expire(now_ms))


__all__ = ["EmulatedTarget"]
