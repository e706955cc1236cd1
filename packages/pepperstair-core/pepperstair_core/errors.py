"""The closed list of error kinds, and the table from kind to answer.

Errors are reported to callers, operators and other daemons by these kinds, so that
the same error looks the same everywhere:

>>> ANSWERS[ErrorKind.NO_ROUTE].status
404
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

from msgspec import Struct


class RunStatus(StrEnum):
    """Whether the target ran a request, as far as the answering daemon knows."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every way in which a request to a daemon can fail."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    NO_ROUTE = "no_route"
    ROUTE_UNCONFIRMED = "route_unconfirmed"
    NOT_READY = "not_ready"
    NO_TARGET = "no_target"
    TARGET_UNREACHABLE = "target_unreachable"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    PEER_UNREACHABLE = "peer_unreachable"
    DEADLINE_BEFORE_RUN = "deadline_before_run"
    TIMEOUT = "timeout"
    TARGET_REFUSED = "target_refused"
    TARGET_FAILED = "target_failed"
    TARGET_CRASHED = "target_crashed"
    QUARANTINED = "quarantined"
    VERSION_HELD = "version_held"
    VERSION_SUPERSEDED = "version_superseded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CANCELLED = "cancelled"
    INVALID_INTENT = "invalid_intent"
    CONFLICT = "conflict"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    CHANGE_OUTCOME_UNKNOWN = "change_outcome_unknown"
    WATCH_EXPIRED = "watch_expired"
    BUSY = "busy"
    QUOTA_EXCEEDED = "quota_exceeded"
    INTERNAL = "internal"


class Answer(Struct, frozen=True):
    """The answer that a caller or an operator gets for one error kind.

    `run` is a default, which a `Failure` may replace by a more precise value;
    `is_retryable` states that the same request may be sent again without running
    twice.
    """

    status: int
    run: RunStatus
    is_retryable: bool
    text: str


_NO = RunStatus.NO
_UNKNOWN = RunStatus.UNKNOWN

ANSWERS: Final[dict[ErrorKind, Answer]] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NO, False, "the request is malformed"),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, _NO, False, "the headers are too large"),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _NO, False, "the body is too large"),
    ErrorKind.NO_ROUTE: Answer(404, _NO, False, "no route matches the request"),
    ErrorKind.ROUTE_UNCONFIRMED: Answer(
        503, _NO, True, "no route matches, but a newer version may have one"
    ),
    ErrorKind.NOT_READY: Answer(503, _NO, True, "the daemon is not ready yet"),
    ErrorKind.NO_TARGET: Answer(503, _NO, True, "the service has no usable target"),
    ErrorKind.TARGET_UNREACHABLE: Answer(503, _NO, True, "the target is unreachable"),
    ErrorKind.DRAINING: Answer(503, _NO, True, "the target or daemon is leaving"),
    ErrorKind.OVERLOADED: Answer(503, _NO, True, "no slot in time for the request"),
    ErrorKind.TOO_MANY_CONNECTIONS: Answer(503, _NO, True, "too many connections"),
    ErrorKind.PEER_UNREACHABLE: Answer(503, _NO, True, "the daemon is unreachable"),
    ErrorKind.DEADLINE_BEFORE_RUN: Answer(504, _NO, False, "too late to start it"),
    ErrorKind.TIMEOUT: Answer(504, _UNKNOWN, False, "no answer before the timeout"),
    ErrorKind.TARGET_REFUSED: Answer(503, _NO, True, "the target refused it unrun"),
    ErrorKind.TARGET_FAILED: Answer(502, _UNKNOWN, False, "the target cut its answer"),
    ErrorKind.TARGET_CRASHED: Answer(502, _UNKNOWN, False, "the target ended under it"),
    ErrorKind.QUARANTINED: Answer(
        503, _NO, False, "requests like it have crashed their targets"
    ),
    ErrorKind.VERSION_HELD: Answer(
        503, _NO, True, "the target's version takes no requests"
    ),
    ErrorKind.VERSION_SUPERSEDED: Answer(
        503, _NO, True, "another version has replaced the target's"
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, _UNKNOWN, False, "the answer was lost"),
    ErrorKind.CANCELLED: Answer(499, _UNKNOWN, False, "the caller left"),
    ErrorKind.INVALID_INTENT: Answer(422, _NO, False, "the intent is not valid"),
    ErrorKind.CONFLICT: Answer(409, _NO, False, "the configuration has moved on"),
    ErrorKind.UNAUTHORIZED: Answer(401, _NO, False, "a valid key or token is required"),
    ErrorKind.NOT_FOUND: Answer(404, _NO, False, "there is no such thing"),
    ErrorKind.PLATFORM_UNAVAILABLE: Answer(
        503, _NO, True, "the platform is unavailable, nothing was accepted"
    ),
    ErrorKind.CHANGE_OUTCOME_UNKNOWN: Answer(
        504, _UNKNOWN, True, "outcome unknown, ask again with this change id"
    ),
    ErrorKind.WATCH_EXPIRED: Answer(
        410, _NO, False, "the history that was asked for is gone, read anew"
    ),
    ErrorKind.BUSY: Answer(429, _NO, True, "too much is asked at once"),
    ErrorKind.QUOTA_EXCEEDED: Answer(429, _NO, True, "the account's quota is used up"),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, False, "an unexpected error"),
}


class Failure(Struct, frozen=True):
    """One error: its kind, its subject and when to retry.

    `run` replaces the table's default if the daemon has more precise knowledge; None
    stands for the default. `retry_after_ms` is 0 if no delay is suggested.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_ms: int = 0
    run: RunStatus | None = None

    @property
    def answer(self) -> Answer:
        """Return the table's answer for this kind."""
        return ANSWERS[self.kind]

    @property
    def run_status(self) -> RunStatus:
        """Return whether the request ran: `run`, or else the table's default."""
        return self.answer.run if self.run is None else self.run

    @property
    def text(self) -> str:
        """Return a line for display: the table's text and the detail."""
        if not self.detail:
            return self.answer.text
        return f"{self.answer.text}: {self.detail}"


class PepperstairError(Exception):
    """A failure, raised where no `Result` can be returned, as in protocol code."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.text)
        self.failure = failure


__all__ = [
    "ANSWERS",
    "Answer",
    "ErrorKind",
    "Failure",
    "PepperstairError",
    "RunStatus",
]
