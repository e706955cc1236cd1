"""The outcome of a call, as counted by the burn report and the metrics."""

from __future__ import annotations

from msgspec import Struct

from ..errors import ErrorKind, RunStatus


class CallOutcome(Struct, frozen=True):
    """One caller's request from its head to the end of its answer.

    `error` is None if the target's complete answer was forwarded; `n_retries` counts
    the attempts after the first.
    """

    customer: str
    route: str
    priority: str
    status: int
    error: ErrorKind | None
    run: RunStatus
    duration_ms: float
    n_retries: int


__all__ = ["CallOutcome"]
