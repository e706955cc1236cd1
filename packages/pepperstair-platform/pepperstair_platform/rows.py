"""Keys and values of pepperstair's rows in the table service.

`head/<bucket>/<customer>` holds the newest version of a customer,
`change/<change id>` the outcome of a change, `bell/<bucket>` the bucket token, which
changes with any head of the bucket, and `member/<vm>` the address of a daemon.
"""

from __future__ import annotations

import json
from typing import Final

from msgspec.structs import asdict

from pepperstair_core.rendezvous import weight
from pepperstair_core.versions import Head

from .platform import Row

N_BUCKETS: Final = 16
_ABANDONED: Final = "abandoned"


def bucket_of(customer: str) -> int:
    """Return the bucket in which a customer's head is stored."""
    return weight("bucket", customer) % N_BUCKETS


def head_prefix(bucket: int) -> str:
    """Return the key prefix of all heads of a bucket."""
    return f"head/{bucket:02d}/"


def head_key(customer: str) -> str:
    """Return the key of a customer's head."""
    return f"{head_prefix(bucket_of(customer))}{customer}"


def bucket_token_key(customer: str) -> str:
    """Return the key of the bucket token that a customer's changes update."""
    return f"bell/{bucket_of(customer):02d}"


def bucket_tokens_prefix() -> str:
    """Return the key prefix of all bucket tokens."""
    return "bell/"


def bucket_of_token_row(row: Row) -> int:
    """Return the bucket of a bucket token's row."""
    return int(row.key.removeprefix(bucket_tokens_prefix()))


def change_key(change_id: str) -> str:
    """Return the key of the row that records the outcome of a change."""
    return f"change/{change_id}"


def head_row(head: Head) -> Row:
    """Return the row that stores a head as the newest head of its customer."""
    return Row(head_key(head.customer), _head_json(head))


def change_row(head: Head) -> Row:
    """Return the row that records a change as committed with a head."""
    return Row(change_key(head.change_id), _head_json(head))


def abandoned_row(change_id: str, token: str) -> Row:
    """Return the row of an abandoned change, which can no longer take effect.

    The token makes the row differ from the row of every other attempt, so that no
    commit that expects an earlier value of the row can still succeed.
    """
    return Row(change_key(change_id), json.dumps({_ABANDONED: token}))


def head_from_change(row: Row | None) -> Head | None:
    """Return the head committed by a change, or None if the change is not committed."""
    if row is None or _ABANDONED in json.loads(row.value):
        return None
    return head_from_row(row)


def head_from_row(row: Row) -> Head:
    """Return the head stored in a head row or a change row."""
    return Head(**json.loads(row.value))


def _head_json(head: Head) -> str:
    return json.dumps(asdict(head), sort_keys=True)


__all__ = [
    "N_BUCKETS",
    "abandoned_row",
    "bucket_token_key",
    "bucket_tokens_prefix",
    "bucket_of",
    "bucket_of_token_row",
    "change_key",
    "change_row",
    "head_from_change",
    "head_from_row",
    "head_key",
    "head_prefix",
    "head_row",
]
