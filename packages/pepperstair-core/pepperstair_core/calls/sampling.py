"""Sampling of requests, which are then logged although nothing unusual happened."""

from __future__ import annotations

import zlib
from typing import Final

# One in this many requests is logged: enough to see typical requests, at a hundredth of
# the cost of logging all.
SAMPLED_ONE_IN: Final = 100


def is_sampled(request_id: str) -> bool:
    """Return whether a request is sampled for logging.

    The decision depends only on the id, so that either every daemon that handles a
    request logs it or none does.

    >>> is_sampled("award-1") == is_sampled("award-1")
    True
    """
    return zlib.crc32(request_id.encode()) % SAMPLED_ONE_IN == 0


__all__ = ["SAMPLED_ONE_IN", "is_sampled"]
