"""The platform's table service and object store, as pepperstair uses them."""

from __future__ import annotations

from .acceptance import Accepted, ChangeRequest, accept_change
from .platform import Compare, Platform, Row
from .rows import N_BUCKETS, bucket_of, head_from_row, head_prefix, head_row

__all__ = [
    "N_BUCKETS",
    "Accepted",
    "ChangeRequest",
    "Compare",
    "Platform",
    "Row",
    "accept_change",
    "bucket_of",
    "head_from_row",
    "head_prefix",
    "head_row",
]
