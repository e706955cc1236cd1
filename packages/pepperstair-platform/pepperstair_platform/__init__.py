"""Client of the platform's table service and object store."""

from __future__ import annotations

from .acceptance import (
    Accepted,
    ChangeRequest,
    accept_change,
    result_of_repeated_change,
)
from .coalescing import CoalescedRows
from .platform import Compare, Platform, PlatformCounters, Row
from .rows import (
    N_BUCKETS,
    bucket_of,
    bucket_of_token_row,
    bucket_tokens_prefix,
    head_from_row,
    head_key,
    head_prefix,
    head_row,
)
from .watching import RowTable, WatchedRow, WatchedRows, WatchedTable

__all__ = [
    "N_BUCKETS",
    "Accepted",
    "ChangeRequest",
    "CoalescedRows",
    "Compare",
    "Platform",
    "PlatformCounters",
    "Row",
    "RowTable",
    "WatchedRow",
    "WatchedRows",
    "WatchedTable",
    "accept_change",
    "bucket_tokens_prefix",
    "bucket_of",
    "bucket_of_token_row",
    "head_from_row",
    "head_key",
    "head_prefix",
    "head_row",
    "result_of_repeated_change",
]
