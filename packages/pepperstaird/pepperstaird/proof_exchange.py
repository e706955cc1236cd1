"""Asks neighbours for proofs that the version in force is the newest, and answers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import structlog

from pepperstair_core.freshness import (
    ASK_SHARE,
    NEWER_MIN_MS,
    FreshnessProof,
    Proof,
    ProofQuestions,
)
from pepperstair_core.wire import DocumentAsk, DocumentProof
from pepperstair_peers import ControlPlane

from .clock import boot_ms

log = structlog.get_logger(__name__)

# Time for which a neighbour's question is answered again once this daemon gets a newer
# proof.
_WAIT_FOR_PROOF_MS: Final = 1_000
# Both this daemon's clock and the moment of a proof are truncated to milliseconds.
_ROUNDING_MS: Final = 1


class ProofExchange:
    """The proofs of this daemon, and the questions about them between neighbours.

    `version` returns the version in force and `limit_ms` the maximum age of a proof, 0
    if this daemon needs none; it then asks no questions.
    """

    def __init__(
        self,
        control: ControlPlane,
        version: Callable[[], int],
        limit_ms: Callable[[], int],
    ) -> None:
        self._control = control
        self._version = version
        self._limit_ms = limit_ms
        self._proof = FreshnessProof()
        self._questions = ProofQuestions()
        # Maps each neighbour whose question got an old proof to its number and time.
        self._waiting: dict[str, tuple[int, int]] = {}
        self.n_asked = 0

    def age_ms(self) -> float:
        """Return the age of the proof for the version in force."""
        return self._proof.age_ms(self._version(), boot_ms())

    def is_older_than(self, share: float) -> bool:
        """Return whether a proof is needed and older than a share of its limit."""
        limit_ms = self._limit_ms()
        return limit_ms > 0 and self.age_ms() > share * limit_ms

    def record(self, proof: Proof) -> None:
        """Record a proof, and answer the neighbours that wait for a newer one."""
        if not self._proof.prove(proof.version, proof.as_of_ms):
            return
        now_ms = boot_ms()
        waiting, self._waiting = self._waiting, {}
        for vm, (number, asked_ms) in waiting.items():
            if now_ms - asked_ms <= _WAIT_FOR_PROOF_MS:
                self._answer(vm, number, now_ms)

    def refresh(self) -> None:
        """Ask the next neighbour if the proof is getting old."""
        if self.is_older_than(ASK_SHARE):
            vm = self._questions.next_vm(self._control.neighbours)
            if vm is not None:
                self._ask(vm)

    def handle_confirmation(self, vm: str, as_of_ms: float) -> None:
        """Ask a neighbour that claims a newer confirmation than this daemon's proof."""
        if not self._limit_ms():
            return
        if as_of_ms - (boot_ms() - self.age_ms()) > NEWER_MIN_MS:
            self._ask(vm)

    def handle_question(self, vm: str, ask: DocumentAsk) -> None:
        """Answer a neighbour; if this daemon's proof is old, ask for a newer one."""
        now_ms = boot_ms()
        self._answer(vm, ask.number, now_ms)
        if self.is_older_than(ASK_SHARE):
            self._waiting[vm] = (ask.number, now_ms)
            self.refresh()

    def handle_answer(self, vm: str, answer: DocumentProof) -> None:
        """Record what a neighbour's answer proves."""
        proof = self._questions.read_answer(
            vm, answer.number, answer.version, answer.age_ms
        )
        if proof is not None:
            self.record(proof)

    def forget(self, vm: str) -> None:
        """Drop the question of a neighbour that was lost."""
        self._waiting.pop(vm, None)

    def _ask(self, vm: str) -> None:
        now_ms = boot_ms()
        if not self._questions.may_ask(now_ms):
            return
        self.n_asked += 1
        self._control.send(vm, DocumentAsk(self._questions.ask(vm, now_ms)))

    def _answer(self, vm: str, number: int, now_ms: int) -> None:
        proof = self._proof.newest(self._version())
        if proof is None:
            self._control.send(vm, DocumentProof(number, 0, -1))
            return
        age_ms = math.ceil(now_ms - proof.as_of_ms) + _ROUNDING_MS
        self._control.send(vm, DocumentProof(number, proof.version, max(0, age_ms)))


__all__ = ["ProofExchange"]
