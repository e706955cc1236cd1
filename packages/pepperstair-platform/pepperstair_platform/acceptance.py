"""Acceptance of a change: validated whole, then committed in one transaction."""

from __future__ import annotations

from dataclasses import dataclass

import structlog
from result import Err, Ok, Result

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.intent import Intent
from pepperstair_core.versions import Head, Snapshot, digest_of, encode_intent

from .platform import Compare, Platform, Row
from .rows import (
    bell_key,
    change_key,
    change_row,
    head_from_row,
    head_key,
    head_row,
)

log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """An operator's change: the whole new document of one customer.

    `from_version` is the version that the operator started from, None for
    whatever is the newest. `change_id` names the change, so that asking again
    after a lost answer commits nothing twice.
    """

    intent: Intent
    change_id: str
    from_version: int | None
    accepted_by: str
    now_ms: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """A change that took effect; `is_repeat` where it had done so before."""

    snapshot: Snapshot
    is_repeat: bool


async def accept_change(
    platform: Platform, request: ChangeRequest
) -> Result[Accepted, Failure]:
    """Commit a change, or say why nothing was accepted.

    Whoever races for the same version loses with `conflict`: the transaction
    compares the head with the one that was read.
    """
    body = encode_intent(request.intent)
    repeated = await _find_change(platform, request.change_id)
    if repeated.is_err():
        return repeated
    if repeated.unwrap() is not None:
        return _repeat(repeated.unwrap(), request, body)
    current = await _read_head(platform, request.intent.customer)
    if current.is_err():
        return current
    row = current.unwrap()
    held_version = head_from_row(row).version if row is not None else 0
    if request.from_version not in (None, held_version):
        return Err(_conflict(held_version))
    head = Head(
        request.intent.customer,
        held_version + 1,
        digest_of(body),
        request.now_ms,
        request.accepted_by,
        request.change_id,
    )
    return await _commit(platform, request, Snapshot(head, body, request.intent), row)


async def _commit(
    platform: Platform, request: ChangeRequest, snapshot: Snapshot, row: Row | None
) -> Result[Accepted, Failure]:
    head = snapshot.head
    stored = await platform.put_object(head.digest, snapshot.body)
    if stored.is_err():
        # The object alone has no effect, so the change certainly has none.
        detail = stored.unwrap_err().detail
        return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
    compare = (
        Compare(head_key(head.customer), None if row is None else row.value),
        Compare(change_key(head.change_id), None),
    )
    bell = Row(bell_key(head.customer), head.change_id)
    committed = await platform.commit(compare, (head_row(head), change_row(head), bell))
    if committed.is_err():
        return await _settle(platform, request, snapshot, committed.unwrap_err())
    if not committed.unwrap():
        return await _lost_race(platform, request, snapshot)
    return Ok(Accepted(snapshot, is_repeat=False))


async def _settle(
    platform: Platform, request: ChangeRequest, snapshot: Snapshot, failure: Failure
) -> Result[Accepted, Failure]:
    """Find out what became of a commit whose answer was lost."""
    if failure.kind is not ErrorKind.CHANGE_OUTCOME_UNKNOWN:
        return Err(failure)
    found = await _find_change(platform, request.change_id)
    if found.is_ok() and found.unwrap() is not None:
        return Ok(Accepted(snapshot, is_repeat=False))
    # Without a row the commit may still be on its way to the table, so even
    # now its outcome is not certain.
    return Err(failure)


async def _lost_race(
    platform: Platform, request: ChangeRequest, snapshot: Snapshot
) -> Result[Accepted, Failure]:
    found = await _find_change(platform, request.change_id)
    if found.is_ok() and found.unwrap() is not None:
        return _repeat(found.unwrap(), request, snapshot.body)
    current = await _read_head(platform, request.intent.customer)
    row = current.unwrap() if current.is_ok() else None
    return Err(_conflict(head_from_row(row).version if row else 0))


def _repeat(
    head: Head, request: ChangeRequest, body: bytes
) -> Result[Accepted, Failure]:
    if head.digest != digest_of(body) or head.customer != request.intent.customer:
        return Err(Failure(ErrorKind.CONFLICT, "the change id belongs to another"))
    return Ok(Accepted(Snapshot(head, body, request.intent), is_repeat=True))


async def _find_change(
    platform: Platform, change_id: str
) -> Result[Head | None, Failure]:
    rows = await platform.read_rows(change_key(change_id))
    return rows.map(
        lambda found: next(
            (head_from_row(row) for row in found if row.key == change_key(change_id)),
            None,
        )
    )


async def _read_head(platform: Platform, customer: str) -> Result[Row | None, Failure]:
    rows = await platform.read_rows(head_key(customer))
    return rows.map(
        lambda found: next(
            (row for row in found if row.key == head_key(customer)), None
        )
    )


def _conflict(version: int) -> Failure:
    return Failure(ErrorKind.CONFLICT, f"start from version {version}")


__all__ = ["Accepted", "ChangeRequest", "accept_change"]
