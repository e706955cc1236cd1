"""Which requests have a log line although nothing is remarkable about them."""

from __future__ import annotations

import zlib
from typing import Final

# One in so many: enough to see what is usual, and a hundredth of the cost.
SAMPLED_ONE_IN: Final = 100


def is_sampled(request_id: str) -> bool:
    """Return whether a request is one of the few that are always logged.

    The id decides, so that every daemon on the way of a request logs it or none
    does.

    >>> is_sampled("award-1") == is_sampled("award-1")
    True
    """
    return zlib.crc32(request_id.encode()) % SAMPLED_ONE_IN == 0


__all__ = ["SAMPLED_ONE_IN", "is_sampled"]
