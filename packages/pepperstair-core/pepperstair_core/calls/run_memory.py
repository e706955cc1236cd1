"""Outcomes of the non-idempotent calls that this process has accepted.

A stream can be lost after a target ran a call and before the answer arrived. The
caller's daemon then queries the call by its id and must get the answer of that one run
or its true state: "not run" is returned only if the call can never run any more.

The memory is bounded by refusing new calls as not run. A call is evicted only when
its deadline and a margin have passed. From then on its id and all lower ids of the
same process count as unknown: they are neither run again nor reported as not run.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from enum import Enum
from typing import Final

from msgspec import Struct

from ..errors import Failure

ANSWER_KEPT_MAX_BYTES: Final = 262_144
KEPT_MAX_BYTES: Final = 4 * 1024 * 1024
EVICTION_MARGIN_MS: Final = 10_000
N_SENDERS_MAX: Final = 4096

Headers = tuple[tuple[bytes, bytes], ...]


class Sender(Struct, frozen=True):
    """One process of a daemon that sends calls."""

    vm: str
    start_id: int


class CallKey(Struct, frozen=True):
    """The identity of a call, which is the same in every copy of its head."""

    sender: Sender
    call_id: int


class KeptAnswer(Struct, frozen=True):
    """A target's complete answer, or the failure that ended the call."""

    status: int
    headers: Headers
    body: bytes
    failure: Failure | None = None

    @classmethod
    def of_failure(cls, failure: Failure) -> KeptAnswer:
        """Return the answer of a call that failed."""
        return cls(0, (), b"", failure)

    @property
    def n_bytes(self) -> int:
        """Return the approximate size of the answer in memory."""
        return len(self.body) + sum(len(k) + len(v) for k, v in self.headers)


class RunAdmission(Enum):
    """Whether an arriving call may run."""

    ACCEPTED = "taken"
    FULL = "full"
    REPEATED = "repeated"


class RunState(Enum):
    """The state of a call as far as this process knows it."""

    RUNNING = "running"
    ANSWERED = "answered"
    NOT_KEPT = "not_kept"
    NEVER_RUN = "never_run"
    UNKNOWN = "unknown"


class LookupResult(Struct, frozen=True):
    """The state of a call, with its answer if the answer is kept."""

    state: RunState
    answer: KeptAnswer | None = None


class _Run(Struct):
    state: RunState
    sequence: int
    expires_ms: int
    answer: KeptAnswer | None = None


class RunMemory:
    """The accepted non-idempotent calls and their outcomes.

    >>> memory = RunMemory(n_runs_max=10)
    >>> key = CallKey(Sender("vm-1", 7), 1)
    >>> memory.begin(key, sequence=1, time_left_ms=2000, now_ms=0)
    <RunAdmission.ACCEPTED: 'taken'>
    >>> memory.look_up(key, sequence=1, now_ms=5).state
    <RunState.RUNNING: 'running'>
    """

    def __init__(self, n_runs_max: int, kept_max_bytes: int = KEPT_MAX_BYTES) -> None:
        self._n_runs_max = n_runs_max
        self._kept_max_bytes = kept_max_bytes
        self._runs: dict[CallKey, _Run] = {}
        self._expiries: list[tuple[int, int, CallKey]] = []
        self._n_expiries = 0
        self._highest_evicted_ids: dict[Sender, int] = {}
        self._highest_evicted_start_id = 0
        self.n_kept_bytes = 0

    def __len__(self) -> int:
        return len(self._runs)

    def begin(
        self, key: CallKey, sequence: int, time_left_ms: int, now_ms: int
    ) -> RunAdmission:
        """Accept an arriving call unless it is a repetition or the memory is full.

        `sequence` is the sequence number of the stream. A call that was reported as
        not run may be sent again on the stream on which it was looked up, or on a later
        stream. A call head on an earlier stream is the delayed original, which must not
        run any more.
        """
        self._evict_expired(now_ms)
        run = self._runs.get(key)
        if run is not None:
            if run.state is not RunState.NEVER_RUN or sequence < run.sequence:
                return RunAdmission.REPEATED
        elif self._may_have_been_evicted(key):
            return RunAdmission.REPEATED
        if len(self._runs) >= self._n_runs_max:
            return RunAdmission.FULL
        if self.n_kept_bytes >= self._kept_max_bytes:
            return RunAdmission.FULL
        expires_ms = now_ms + time_left_ms + EVICTION_MARGIN_MS
        self._add(key, RunState.RUNNING, sequence, expires_ms)
        return RunAdmission.ACCEPTED

    def finish(self, key: CallKey, answer: KeptAnswer | None) -> None:
        """Record the end of a run; `answer` is None if it was too large to keep."""
        run = self._runs[key]
        if answer is None or answer.n_bytes > ANSWER_KEPT_MAX_BYTES:
            run.state = RunState.NOT_KEPT
            return
        run.state = RunState.ANSWERED
        run.answer = answer
        self.n_kept_bytes += answer.n_bytes

    def release(self, key: CallKey) -> None:
        """Drop an answer that the caller has received, but keep the run's record."""
        run = self._runs.get(key)
        if run is not None and run.state is RunState.ANSWERED:
            self._drop_answer(run)
            run.state = RunState.NOT_KEPT

    def look_up(self, key: CallKey, sequence: int, now_ms: int) -> LookupResult:
        """Return the state of a call, and its answer if the answer is kept.

        A call that has not arrived is recorded as never run, because its head may
        still arrive on the lost stream and would run after it was reported to the
        caller as not run. The state is unknown if the call may have been evicted, or
        if too many calls are recorded.
        """
        self._evict_expired(now_ms)
        run = self._runs.get(key)
        if run is not None:
            run.sequence = max(run.sequence, sequence)
            return LookupResult(run.state, run.answer)
        if self._may_have_been_evicted(key) or len(self._runs) >= 2 * self._n_runs_max:
            return LookupResult(RunState.UNKNOWN)
        self._add(key, RunState.NEVER_RUN, sequence, now_ms + EVICTION_MARGIN_MS)
        return LookupResult(RunState.NEVER_RUN)

    def _add(
        self, key: CallKey, state: RunState, sequence: int, expires_ms: int
    ) -> None:
        self._runs[key] = _Run(state, sequence, expires_ms)
        self._push_expiry(key, expires_ms)

    def _push_expiry(self, key: CallKey, expires_ms: int) -> None:
        self._n_expiries += 1
        heapq.heappush(self._expiries, (expires_ms, self._n_expiries, key))

    def _evict_expired(self, now_ms: int) -> None:
        """Evict the calls that have ended and whose deadline and margin have passed."""
        for key in list(self._iter_expired(now_ms)):
            run = self._runs.get(key)
            if run is None or run.expires_ms > now_ms:
                continue
            if run.state is RunState.RUNNING:
                run.expires_ms = now_ms + EVICTION_MARGIN_MS
                self._push_expiry(key, run.expires_ms)
                continue
            self._drop_answer(run)
            del self._runs[key]
            self._record_eviction(key)

    def _iter_expired(self, now_ms: int) -> Iterator[CallKey]:
        while self._expiries and self._expiries[0][0] <= now_ms:
            yield heapq.heappop(self._expiries)[2]

    def _drop_answer(self, run: _Run) -> None:
        if run.answer is not None:
            self.n_kept_bytes -= run.answer.n_bytes
            run.answer = None

    def _record_eviction(self, key: CallKey) -> None:
        ids = self._highest_evicted_ids
        ids[key.sender] = max(ids.pop(key.sender, 0), key.call_id)
        if len(ids) > N_SENDERS_MAX:
            oldest = next(iter(ids))
            del ids[oldest]
            self._highest_evicted_start_id = max(
                self._highest_evicted_start_id, oldest.start_id
            )

    def _may_have_been_evicted(self, key: CallKey) -> bool:
        highest_evicted_id = self._highest_evicted_ids.get(key.sender)
        if highest_evicted_id is None:
            return key.sender.start_id <= self._highest_evicted_start_id
        return key.call_id <= highest_evicted_id


__all__ = [
    "ANSWER_KEPT_MAX_BYTES",
    "EVICTION_MARGIN_MS",
    "KEPT_MAX_BYTES",
    "RunAdmission",
    "CallKey",
    "KeptAnswer",
    "LookupResult",
    "RunMemory",
    "RunState",
    "Sender",
]
