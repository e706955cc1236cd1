"""Accepts changes by committing a validated document in one transaction.

The change row, whose key contains the change id, records the outcome of a change. It
is written in the same transaction as the head, so a daemon that reads the change row
knows the outcome. If the answer to a commit is lost, the daemon tries to write an
`abandoned` row under the same key; once this row is written, a commit still in transit
can no longer take effect.
"""

from __future__ import annotations

import uuid

import structlog
from msgspec import Struct
from result import Err, Ok, Result

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.intent import Intent
from pepperstair_core.versions import Head, Snapshot, digest_of, encode_intent

from .platform import Compare, Platform, Row
from .rows import (
    abandoned_row,
    bucket_token_key,
    change_key,
    change_row,
    head_from_change,
    head_from_row,
    head_key,
    head_row,
)

log = structlog.get_logger(__name__)


class ChangeRequest(Struct, frozen=True):
    """Represents an operator's change: the complete new document of one customer.

    `from_version` is the version on which the change is based, or None for the
    newest one. `change_id` makes the change idempotent: repeating it after a lost
    answer commits nothing twice. `is_asked_again` is True if the outcome of an
    earlier attempt is unknown; a failure of this attempt then does not prove that
    nothing was accepted.
    """

    intent: Intent
    change_id: str
    from_version: int | None
    accepted_by: str
    now_ms: int
    is_asked_again: bool = False


class Accepted(Struct, frozen=True):
    """Represents an accepted change.

    `is_repeat` is True if an earlier request committed the change.
    """

    snapshot: Snapshot
    is_repeat: bool


class _Attempt(Struct, frozen=True):
    """Represents an attempt to commit: the rows read before it and the new snapshot."""

    platform: Platform
    request: ChangeRequest
    snapshot: Snapshot
    change: Row | None
    head: Row | None

    @property
    def customer(self) -> str:
        return self.request.intent.customer


async def accept_change(
    platform: Platform, request: ChangeRequest
) -> Result[Accepted, Failure]:
    """Commit a change and return it, or return the failure.

    Of several concurrent changes to the same version, all but one fail with
    `conflict`, because the transaction succeeds only if the head is still the one
    that was read. `change_outcome_unknown` is returned only if the outcome cannot be
    determined yet; to obtain the outcome, the operator repeats the request with the
    same change id at any daemon.
    """
    body = encode_intent(request.intent)
    customer = request.intent.customer
    found = await _read_row(platform, change_key(request.change_id), customer)
    if found.is_err():
        return Err(_failure_before_commit(request, found.unwrap_err()))
    change = found.unwrap()
    committed = head_from_change(change)
    if committed is not None:
        return result_of_repeated_change(committed, request)
    read = await _read_row(platform, head_key(customer), customer)
    if read.is_err():
        return Err(_failure_before_commit(request, read.unwrap_err()))
    current_head_row = read.unwrap()
    held_version = head_from_row(current_head_row).version if current_head_row else 0
    if request.from_version not in (None, held_version):
        return Err(_conflict_failure(held_version))
    head = Head(
        customer,
        held_version + 1,
        digest_of(body),
        request.now_ms,
        request.accepted_by,
        request.change_id,
    )
    snapshot = Snapshot(head, body, request.intent)
    return await _commit(
        _Attempt(platform, request, snapshot, change, current_head_row)
    )


async def _commit(attempt: _Attempt) -> Result[Accepted, Failure]:
    head = attempt.snapshot.head
    stored = await attempt.platform.put_object(
        head.digest, attempt.snapshot.body, head.customer
    )
    if stored.is_err():
        # An object has no effect until a head refers to it, so nothing was accepted.
        return Err(_failure_before_commit(attempt.request, stored.unwrap_err()))
    compare = (
        Compare(head_key(head.customer), _value_of(attempt.head)),
        Compare(change_key(head.change_id), _value_of(attempt.change)),
    )
    token_row = Row(bucket_token_key(head.customer), head.change_id)
    rows = (head_row(head), change_row(head), token_row)
    committed = await attempt.platform.commit(compare, rows, head.customer)
    if committed.is_err():
        return await _resolve_unknown_outcome(attempt, committed.unwrap_err())
    if not committed.unwrap():
        return await _resolve_lost_race(attempt)
    return Ok(Accepted(attempt.snapshot, is_repeat=False))


async def _resolve_unknown_outcome(
    attempt: _Attempt, failure: Failure
) -> Result[Accepted, Failure]:
    """Determine the outcome of a commit whose answer was lost.

    The commit may have taken effect, be in transit or be lost. An `abandoned` row is
    written on condition that the change row is unchanged. If this write fails because
    the row has changed, the commit was first, and the row shows the outcome. If the
    write succeeds, the commit can no longer take effect, and it is certain that
    nothing was accepted.
    """
    if failure.kind is not ErrorKind.CHANGE_OUTCOME_UNKNOWN:
        return Err(_failure_before_commit(attempt.request, failure))
    change_id = attempt.request.change_id
    fence = abandoned_row(change_id, uuid.uuid4().hex)
    compare = (Compare(change_key(change_id), _value_of(attempt.change)),)
    fenced = await attempt.platform.commit(compare, (fence,), attempt.customer)
    if fenced.is_ok() and fenced.unwrap():
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, failure.detail))
    found = await _read_row(attempt.platform, change_key(change_id), attempt.customer)
    if found.is_err():
        return Err(failure)
    committed = head_from_change(found.unwrap())
    if committed is not None:
        return result_of_repeated_change(committed, attempt.request, is_repeat=False)
    if _value_of(found.unwrap()) == fence.value:
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, failure.detail))
    return Err(failure)


async def _resolve_lost_race(attempt: _Attempt) -> Result[Accepted, Failure]:
    """Determine whether another change or an earlier attempt was committed first."""
    key = change_key(attempt.request.change_id)
    found = await _read_row(attempt.platform, key, attempt.customer)
    if found.is_err():
        # The outcome is unknown, because an earlier attempt with this change id may
        # have changed the head.
        detail = found.unwrap_err().detail
        return Err(Failure(ErrorKind.CHANGE_OUTCOME_UNKNOWN, detail))
    committed = head_from_change(found.unwrap())
    if committed is not None:
        return result_of_repeated_change(committed, attempt.request)
    read = await _read_row(
        attempt.platform, head_key(attempt.customer), attempt.customer
    )
    row = read.unwrap() if read.is_ok() else None
    return Err(_conflict_failure(head_from_row(row).version if row else None))


def result_of_repeated_change(
    head: Head, request: ChangeRequest, *, is_repeat: bool = True
) -> Result[Accepted, Failure]:
    """Return the result of a change that was committed earlier as `head`.

    If the change id was used for another document, the result is a conflict:
    `accepted` would report to the operator that this document was committed,
    although it never was.
    """
    body = encode_intent(request.intent)
    if head.digest != digest_of(body) or head.customer != request.intent.customer:
        return Err(
            Failure(ErrorKind.CONFLICT, "the change id was used for another document")
        )
    return Ok(Accepted(Snapshot(head, body, request.intent), is_repeat))


async def _read_row(
    platform: Platform, key: str, customer: str
) -> Result[Row | None, Failure]:
    rows = await platform.read_rows(key, customer)
    return rows.map(lambda found: next((row for row in found if row.key == key), None))


def _failure_before_commit(request: ChangeRequest, failure: Failure) -> Failure:
    """Return the failure of an attempt that did not reach its commit.

    This attempt accepted nothing, but an earlier attempt may have been accepted.
    """
    if request.is_asked_again:
        return Failure(ErrorKind.CHANGE_OUTCOME_UNKNOWN, failure.detail)
    if failure.kind is ErrorKind.BUSY:
        return failure
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, failure.detail)


def _value_of(row: Row | None) -> str | None:
    return None if row is None else row.value


def _conflict_failure(version: int | None) -> Failure:
    newest = "the newest version" if version is None else f"version {version}"
    return Failure(ErrorKind.CONFLICT, f"start from {newest}")


__all__ = ["Accepted", "ChangeRequest", "accept_change", "result_of_repeated_change"]
