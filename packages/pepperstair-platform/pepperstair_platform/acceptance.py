"""Acceptance of a change: validated whole, then committed in one transaction.

The row of the change id decides what a change became. It is written in the
same transaction as the head, so whoever finds it knows the outcome; where an
answer was lost, a row that abandons the change is written in its place, so
that a commit still on its way can no longer take effect.
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
    """An operator's change: the whole new document of one customer.

    `from_version` is the version that the operator started from, None for
    whatever is the newest. `change_id` names the change, so that asking again
    after a lost answer commits nothing twice. `is_asked_again` says that an
    earlier attempt's outcome is unknown: then a failure of this attempt alone
    does not prove that nothing was accepted.
    """

    intent: Intent
    change_id: str
    from_version: int | None
    accepted_by: str
    now_ms: int
    is_asked_again: bool = False


class Accepted(Struct, frozen=True):
    """A change that took effect; `is_repeat` where it had done so before."""

    snapshot: Snapshot
    is_repeat: bool


class _Attempt(Struct, frozen=True):
    """One try to commit: the rows it starts from and the snapshot it makes."""

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
    """Commit a change, or say why nothing was accepted.

    Whoever races for the same version loses with `conflict`: the transaction
    compares the head with the one that was read. `change_outcome_unknown` is
    answered only where nobody can tell yet; asking again with the same change
    id, at any daemon, gives the outcome.
    """
    body = encode_intent(request.intent)
    customer = request.intent.customer
    found = await _read_row(platform, change_key(request.change_id), customer)
    if found.is_err():
        return Err(_before_commit(request, found.unwrap_err()))
    change = found.unwrap()
    committed = head_from_change(change)
    if committed is not None:
        return result_of_repeated_change(committed, request)
    read = await _read_row(platform, head_key(customer), customer)
    if read.is_err():
        return Err(_before_commit(request, read.unwrap_err()))
    head_of_row = read.unwrap()
    held_version = head_from_row(head_of_row).version if head_of_row else 0
    if request.from_version not in (None, held_version):
        return Err(_conflict(held_version))
    head = Head(
        customer,
        held_version + 1,
        digest_of(body),
        request.now_ms,
        request.accepted_by,
        request.change_id,
    )
    snapshot = Snapshot(head, body, request.intent)
    return await _commit(_Attempt(platform, request, snapshot, change, head_of_row))


async def _commit(attempt: _Attempt) -> Result[Accepted, Failure]:
    head = attempt.snapshot.head
    stored = await attempt.platform.put_object(
        head.digest, attempt.snapshot.body, head.customer
    )
    if stored.is_err():
        # The object alone has no effect, so this attempt certainly has none.
        return Err(_before_commit(attempt.request, stored.unwrap_err()))
    compare = (
        Compare(head_key(head.customer), _value(attempt.head)),
        Compare(change_key(head.change_id), _value(attempt.change)),
    )
    bell = Row(bucket_token_key(head.customer), head.change_id)
    rows = (head_row(head), change_row(head), bell)
    committed = await attempt.platform.commit(compare, rows, head.customer)
    if committed.is_err():
        return await _settle(attempt, committed.unwrap_err())
    if not committed.unwrap():
        return await _lost_race(attempt)
    return Ok(Accepted(attempt.snapshot, is_repeat=False))


async def _settle(attempt: _Attempt, failure: Failure) -> Result[Accepted, Failure]:
    """Find out what became of a commit whose answer was lost.

    The commit may have taken effect, or be on its way, or be lost. Writing the
    change's row where it still is as it was settles it: either the commit was
    there first, and the row tells, or it can't take effect any more, and
    `nothing was accepted` is certain.
    """
    if failure.kind is not ErrorKind.CHANGE_OUTCOME_UNKNOWN:
        return Err(_before_commit(attempt.request, failure))
    change_id = attempt.request.change_id
    fence = abandoned_row(change_id, uuid.uuid4().hex)
    compare = (Compare(change_key(change_id), _value(attempt.change)),)
    fenced = await attempt.platform.commit(compare, (fence,), attempt.customer)
    if fenced.is_ok() and fenced.unwrap():
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, failure.detail))
    found = await _read_row(attempt.platform, change_key(change_id), attempt.customer)
    if found.is_err():
        return Err(failure)
    committed = head_from_change(found.unwrap())
    if committed is not None:
        return result_of_repeated_change(committed, attempt.request, is_repeat=False)
    if _value(found.unwrap()) == fence.value:
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, failure.detail))
    return Err(failure)


async def _lost_race(attempt: _Attempt) -> Result[Accepted, Failure]:
    """Say who won: another change, or an earlier attempt of the same one."""
    key = change_key(attempt.request.change_id)
    found = await _read_row(attempt.platform, key, attempt.customer)
    if found.is_err():
        # An earlier attempt with this change id may be what moved the head.
        detail = found.unwrap_err().detail
        return Err(Failure(ErrorKind.CHANGE_OUTCOME_UNKNOWN, detail))
    committed = head_from_change(found.unwrap())
    if committed is not None:
        return result_of_repeated_change(committed, attempt.request)
    read = await _read_row(
        attempt.platform, head_key(attempt.customer), attempt.customer
    )
    row = read.unwrap() if read.is_ok() else None
    return Err(_conflict(head_from_row(row).version if row else None))


def result_of_repeated_change(
    head: Head, request: ChangeRequest, *, is_repeat: bool = True
) -> Result[Accepted, Failure]:
    """Answer a change that took effect as `head` before.

    A change id that was used for another document is a conflict: answering
    `accepted` would make an operator believe in a change that never was.
    """
    body = encode_intent(request.intent)
    if head.digest != digest_of(body) or head.customer != request.intent.customer:
        return Err(Failure(ErrorKind.CONFLICT, "the change id belongs to another"))
    return Ok(Accepted(Snapshot(head, body, request.intent), is_repeat))


async def _read_row(
    platform: Platform, key: str, customer: str
) -> Result[Row | None, Failure]:
    rows = await platform.read_rows(key, customer)
    return rows.map(lambda found: next((row for row in found if row.key == key), None))


def _before_commit(request: ChangeRequest, failure: Failure) -> Failure:
    """Return the answer to a failure before anything could be committed.

    It proves that this attempt accepted nothing, but an earlier one may have.
    """
    if request.is_asked_again:
        return Failure(ErrorKind.CHANGE_OUTCOME_UNKNOWN, failure.detail)
    if failure.kind is ErrorKind.BUSY:
        return failure
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, failure.detail)


def _value(row: Row | None) -> str | None:
    return None if row is None else row.value


def _conflict(version: int | None) -> Failure:
    newest = "the newest version" if version is None else f"version {version}"
    return Failure(ErrorKind.CONFLICT, f"start from {newest}")


__all__ = ["Accepted", "ChangeRequest", "accept_change", "result_of_repeated_change"]
