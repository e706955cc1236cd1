"""Writes the agreed states of rollouts to the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import structlog
from result import Result

from pepperstair_core.errors import Failure
from pepperstair_core.rollout import Phase, RolloutState

from .rollout_rows import RolloutRows, StoredRollout
from .row_calls import call_until_answered

log = structlog.get_logger(__name__)

# Delay of each daemon after the one before it in the order of writers, so that a dead
# writer costs this time.
RANK_DELAY_MS: Final = 300
# Number of daemons that write a phase after the first at the same time; of these, the
# expected version of the row lets one succeed. With a third of the daemons cut off from
# the store, one after the other would often be too late for the deadline.
N_WRITERS_AT_ONCE: Final = 4
_RETRY_MIN_MS: Final = 200
_RETRY_MAX_MS: Final = 2_000

ReadStates = Callable[[], Awaitable[Result[tuple[StoredRollout, ...], Failure]]]


class RolloutWriter:
    """Writes the states that this daemon proposes when its turn has come.

    `rank_of` returns this daemon's rank among the writers for a service. `adopt` is
    called with each agreed state that was read or written, and `on_unanswered` with
    each state that the platform did not answer for. `add_records` completes a state
    with what this daemon knows once it has adopted the agreed one. Every write begins
    with a read, so that a daemon whose answer was lost sees its own write.
    """

    def __init__(
        self,
        rows: RolloutRows,
        rank_of: Callable[[str], int],
        adopt: Callable[[RolloutState], None],
        add_records: Callable[[RolloutState], RolloutState],
        on_unanswered: Callable[[RolloutState], None],
        now_ms: Callable[[], float],
    ) -> None:
        self._rows = rows
        self._rank_of = rank_of
        self._adopt = adopt
        self._add_records = add_records
        self._on_unanswered = on_unanswered
        self._now_ms = now_ms
        self._proposed_ms: dict[str, tuple[tuple[int, Phase], float]] = {}
        self._retries: dict[str, tuple[float, float]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._restore_task: asyncio.Task[None] | None = None
        self.n_writes = 0

    def start(self, on_restored: Callable[[], None], read: ReadStates) -> None:
        """Read the agreed states, then call `on_restored`; cancel an earlier start."""
        if self._restore_task is not None:
            self._restore_task.cancel()
        restoring = self._restore(on_restored, read)
        self._restore_task = asyncio.get_running_loop().create_task(restoring)

    def close(self) -> None:
        """Stop reading and writing."""
        for task in (self._restore_task, *self._tasks.values()):
            if task is not None:
                task.cancel()

    def propose(self, state: RolloutState, *, is_withdrawn: bool = False) -> None:
        """Write a state if it is this daemon's turn; called again until it is agreed.

        The first `N_WRITERS_AT_ONCE` daemons write an order's later phases at once, and
        as many more after each delay. A withdrawal is written without delay, because
        only the few daemons that read the operators' rows know of it.
        """
        service = state.order.service
        proposed = (state.order.number, state.phase)
        now_ms = self._now_ms()
        known, since_ms = self._proposed_ms.get(service, (None, now_ms))
        if known != proposed:
            since_ms = now_ms
            self._proposed_ms[service] = (proposed, now_ms)
            self._retries.pop(service, None)
        n_delays = 0 if is_withdrawn else self._rank_of(service)
        if state.phase is not Phase.CANARY:
            n_delays //= N_WRITERS_AT_ONCE
        turn_ms = since_ms + RANK_DELAY_MS * n_delays
        retry_ms, _ = self._retries.get(service, (0.0, 0.0))
        task = self._tasks.get(service)
        if now_ms < max(turn_ms, retry_ms) or (task is not None and not task.done()):
            return
        writing = self._write(state, is_withdrawn)
        self._tasks[service] = asyncio.get_running_loop().create_task(writing)

    async def _restore(self, on_restored: Callable[[], None], read: ReadStates) -> None:
        for stored in await call_until_answered(read):
            self._adopt(stored.state)
        on_restored()

    async def _write(self, state: RolloutState, is_withdrawn: bool) -> None:
        service = state.order.service
        read = await self._rows.read()
        if read.is_err():
            self._delay_retry(state)
            return
        found = {item.state.order.service: item for item in read.unwrap()}
        known = found.get(service)
        if known is not None:
            self._adopt(known.state)
            if not _is_later(state, known):
                return
        row_version = known.row_version if known is not None else 0
        state = self._add_records(state)
        self.n_writes += 1
        written = await self._rows.write(state, row_version, is_withdrawn=is_withdrawn)
        if written.unwrap_or(False):
            self._adopt(state)
        elif written.is_err():
            self._delay_retry(state)

    def _delay_retry(self, state: RolloutState) -> None:
        service = state.order.service
        _, delay_ms = self._retries.get(service, (0.0, 0.0))
        delay_ms = min(_RETRY_MAX_MS, max(_RETRY_MIN_MS, 2 * delay_ms))
        self._retries[service] = (self._now_ms() + delay_ms, delay_ms)
        self._on_unanswered(state)


def _is_later(state: RolloutState, known: StoredRollout) -> bool:
    """Return whether a state may replace the agreed one.

    A final phase stays until another order comes.
    """
    order, known_order = state.order, known.state.order
    if order.number != known_order.number:
        return order.number > known_order.number
    return state.phase > known.state.phase and not known.state.phase.is_final


__all__ = ["N_WRITERS_AT_ONCE", "RANK_DELAY_MS", "RolloutWriter"]
