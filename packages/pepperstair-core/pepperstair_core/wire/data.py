"""Frames of data streams: calls and their answers.

Kind numbers 40 to 59. A call's id is chosen by the daemon that sends it and is
unique within that daemon's process; answers are matched by it, whatever order
they come in.
"""

from __future__ import annotations

from typing import Final

from ..errors import ErrorKind, RunStatus
from .codec import Frame
from .control import Heartbeat, Hello, Welcome

BODY_PART_MAX_BYTES: Final = 65_536
INITIAL_CREDIT_BYTES: Final = 262_144

Headers = tuple[tuple[bytes, bytes], ...]


class CallHead(Frame, tag=40):
    """Opens a call: the request's head and how to treat it.

    `time_left_ms` is relative, as clocks of two VMs differ. `has_body` says
    that body parts and an end follow. `wanted_left_ms` is the time in which the
    answer is worth most to the caller, negative where the route states none.
    `fingerprint` is equal for requests that ask for the same work.
    """

    call_id: int
    request_id: str
    customer: str
    target: str
    method: str
    path: str
    headers: Headers
    priority: str
    is_idempotent: bool
    time_left_ms: int
    has_body: bool
    route: str = ""
    wanted_left_ms: int = -1
    fingerprint: bytes = b""


class BodyPart(Frame, tag=41):
    """A piece of a request's or an answer's body, at most 64 KB."""

    call_id: int
    data: bytes


class BodyEnd(Frame, tag=42):
    """Marks a body as whole; a body without it was cut."""

    call_id: int


class Credit(Frame, tag=43):
    """Permits the other side to send more bytes of a call's body."""

    call_id: int
    n_bytes: int


class AnswerHead(Frame, tag=44):
    """Opens the target's answer to a call.

    `n_in_flight` and `n_queued` tell how loaded the target is.
    """

    call_id: int
    status: int
    headers: Headers
    n_in_flight: int = 0
    n_queued: int = 0


class CallFailed(Frame, tag=45):
    """Ends a call without the target's answer, or cuts one that had begun."""

    call_id: int
    kind: ErrorKind
    run: RunStatus
    detail: str
    retry_after_ms: int
    n_in_flight: int = 0
    n_queued: int = 0


class Reset(Frame, tag=46):
    """Says that the sender no longer wants the call."""

    call_id: int


class CallQuery(Frame, tag=47):
    """Asks what became of a call whose stream was lost.

    The receiver sends the kept answer, or keeps the asker waiting for the run
    in progress, or fails the call: as not run where it never came and would be
    refused if it still did, otherwise as unknown.
    """

    call_id: int


class CallsDone(Frame, tag=48):
    """Says that the sender has the whole answers of some calls.

    The receiver need not keep them any longer; they go with the heartbeats.
    """

    call_ids: tuple[int, ...]


DataFrame = (
    Hello
    | Welcome
    | Heartbeat
    | CallHead
    | BodyPart
    | BodyEnd
    | Credit
    | AnswerHead
    | CallFailed
    | Reset
    | CallQuery
    | CallsDone
)

__all__ = [
    "BODY_PART_MAX_BYTES",
    "INITIAL_CREDIT_BYTES",
    "AnswerHead",
    "BodyEnd",
    "BodyPart",
    "CallFailed",
    "CallHead",
    "CallQuery",
    "CallsDone",
    "Credit",
    "DataFrame",
    "Headers",
    "Reset",
]
