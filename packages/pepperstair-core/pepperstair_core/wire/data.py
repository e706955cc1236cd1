"""Frames of data streams: calls and their responses.

Data frames have the kind numbers 40 to 59. The id of a call is chosen by the daemon
that sends it and is unique within that daemon's process. Responses are matched by
this id and may arrive in any order.
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
    """Opens a call with the head of the request and its handling parameters.

    `time_left_ms` is relative because the clocks of two VMs differ. If `has_body` is
    set, `BodyPart` frames and a `BodyEnd` follow. `wanted_left_ms` is the remaining
    time within which the response has its full value for the caller; it is negative if
    the route defines no such time. `fingerprint` is equal for requests that do the
    same work.
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
    """Carries a part of a request or response body, at most 64 KB."""

    call_id: int
    data: bytes


class BodyEnd(Frame, tag=42):
    """Marks a body as complete; a body without this frame is truncated."""

    call_id: int


class Credit(Frame, tag=43):
    """Allows the other side to send `n_bytes` more of a call's body."""

    call_id: int
    n_bytes: int


class AnswerHead(Frame, tag=44):
    """Opens the target's response to a call.

    `n_in_flight` and `n_queued` are the load of the target.
    """

    call_id: int
    status: int
    headers: Headers
    n_in_flight: int = 0
    n_queued: int = 0


class CallFailed(Frame, tag=45):
    """Ends a call without a response, or truncates a response that has started."""

    call_id: int
    kind: ErrorKind
    run: RunStatus
    detail: str
    retry_after_ms: int
    n_in_flight: int = 0
    n_queued: int = 0


class Reset(Frame, tag=46):
    """Cancels a call whose response the sender no longer needs."""

    call_id: int


class CallQuery(Frame, tag=47):
    """Queries the outcome of a call whose stream was lost.

    The receiver sends the stored response. If the call is still running, its response
    follows on completion. Otherwise the receiver fails the call. The failure states
    that the call did not run if it was never received and would be refused if it still
    arrived; in all other cases it states that the outcome is unknown.
    """

    call_id: int


class CallsDone(Frame, tag=48):
    """Confirms that the sender has received the complete responses of some calls.

    The receiver may then discard them. Sent together with the heartbeats.
    """

    call_ids: tuple[int, ...]


class QuotaAsk(Frame, tag=49):
    """Asks the owner of an account's quota for tokens, and returns unused ones."""

    number: int
    account: str
    n_wanted: int
    n_returned: int


class QuotaGrant(Frame, tag=50):
    """Answers a `QuotaAsk`.

    `is_owner` is false if the sender does not own the account's quota. Without tokens,
    `retry_after_ms` is the time after which the daemon should ask again.
    """

    number: int
    account: str
    n_granted: int
    retry_after_ms: int
    is_owner: bool


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
    | QuotaAsk
    | QuotaGrant
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
    "QuotaAsk",
    "QuotaGrant",
    "Reset",
]
