"""Exchange of rollouts and of their evidence with neighbours."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from typing import Final

import structlog

from pepperstair_core.rollout import Evidence, RolloutState
from pepperstair_core.wire import RolloutUpdate
from pepperstair_peers import ControlPlane

log = structlog.get_logger(__name__)

# Time during which evidence is collected to be sent together.
EVIDENCE_BATCH_S: Final = 0.25
_N_RECORDS_PER_FRAME_MAX: Final = 64


class RolloutExchange:
    """Forwards what is new to this daemon to its neighbours, but not to its sender.

    States are forwarded at once: on each stream, an order then precedes every
    confirmation that all orders up to a later moment are known. Evidence is sent in
    batches. `merge_state` and `merge_evidence` return whether a received record was
    new; `states` and `evidence` return everything that a new neighbour may lack.
    """

    def __init__(
        self,
        control: ControlPlane,
        merge_state: Callable[[RolloutState], bool],
        merge_evidence: Callable[[Evidence], bool],
        states: Callable[[], Iterable[RolloutState]],
        evidence: Callable[[], Iterable[Evidence]],
    ) -> None:
        self._control = control
        self._merge_state = merge_state
        self._merge_evidence = merge_evidence
        self._states = states
        self._evidence = evidence
        # The newest evidence of each process and service that waits to be sent, with
        # the neighbour from which it was received, or an empty string.
        self._pending: dict[tuple[str, int, str], tuple[Evidence, str]] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def has_neighbours(self) -> bool:
        """Return whether this daemon is connected to any other one."""
        return bool(self._control.neighbours)

    def start(self) -> None:
        """Register callbacks with the control plane."""
        self._control.frame_handlers[RolloutUpdate] = self._handle_frame
        self._control.neighbour_up_callbacks.append(self._send_all)

    def close(self) -> None:
        """Stop sending."""
        if self._timer is not None:
            self._timer.cancel()

    def publish_states(
        self, states: tuple[RolloutState, ...], sender: str = ""
    ) -> None:
        """Send states to the neighbours at once."""
        if not states:
            return
        for vm in self._control.neighbours:
            if vm != sender:
                self._control.send(vm, RolloutUpdate(states, ()))

    def queue_evidence(self, evidence: Evidence, sender: str = "") -> None:
        """Send evidence to the neighbours with the next batch."""
        key = (evidence.vm, evidence.start_id, evidence.service)
        self._pending[key] = (evidence, sender)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(EVIDENCE_BATCH_S, self._flush)

    def _handle_frame(self, vm: str, frame: RolloutUpdate) -> None:
        states = tuple(item for item in frame.states if self._merge_state(item))
        self.publish_states(states, vm)
        for item in frame.evidence:
            if self._merge_evidence(item):
                self.queue_evidence(item, vm)

    def _flush(self) -> None:
        self._timer = None
        pending, self._pending = self._pending, {}
        for vm in self._control.neighbours:
            self._send_evidence(
                vm, (item for item, sender in pending.values() if sender != vm)
            )

    def _send_all(self, vm: str) -> None:
        states = tuple(self._states())
        if states:
            self._control.send(vm, RolloutUpdate(states, ()))
        self._send_evidence(vm, self._evidence())

    def _send_evidence(self, vm: str, evidence: Iterable[Evidence]) -> None:
        remaining = iter(evidence)
        while batch := tuple(itertools.islice(remaining, _N_RECORDS_PER_FRAME_MAX)):
            self._control.send(vm, RolloutUpdate((), batch))


__all__ = ["EVIDENCE_BATCH_S", "RolloutExchange"]
