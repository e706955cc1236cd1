"""The connections and slots of one announced target."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from pepperstair_core.calls import Refused, n_calls_of_backlog
from pepperstair_core.members import Target
from pepperstair_http import NO_STATEMENT

from .crash_detection import CrashDetector
from .pool import ConnectionPool
from .slots import SlotQueue

log = structlog.get_logger(__name__)


class LocalTarget:
    """The connections and slots of one announced target."""

    def __init__(
        self,
        target: Target,
        now_ms: Callable[[], float],
        on_refused: Callable[[str, Refused], None],
        on_exited: Callable[[LocalTarget, tuple[bytes, ...]], None],
        account_header: bytes = b"",
    ) -> None:
        self.target = target
        # The statement of the target's last answer.
        self.statement = NO_STATEMENT
        self.pool = ConnectionPool(target.address, target.n_connections_max)
        self.crashes = CrashDetector(
            self.pool, lambda running: on_exited(self, running)
        )
        self.slots = SlotQueue(
            _n_running_max(target),
            now_ms,
            lambda refused: on_refused(target.name, refused),
            account_header,
        )

    def n_waiting(self, backlog_ms: float) -> int:
        """Return the waiting calls, with those that stand for a backlog of the link."""
        admission = self.slots.admission
        n_of_backlog = n_calls_of_backlog(
            backlog_ms, admission.n_slots, admission.mean_service_ms
        )
        return admission.n_queued + n_of_backlog

    @property
    def n_in_flight(self) -> int:
        """Return the number of calls that the target is running."""
        return self.slots.admission.n_in_flight

    def update(self, target: Target) -> None:
        """Apply a renewed announcement with the same address."""
        self.target = target
        self.slots.resize(_n_running_max(target))
        self.pool.set_connection_limit(target.n_connections_max)

    def retire(self) -> None:
        """Refuse waiting calls and close idle connections; running calls continue."""
        self.slots.drain()
        self.pool.close()


def _n_running_max(target: Target) -> int:
    return min(target.n_slots, target.n_connections_max)


__all__ = ["LocalTarget"]
