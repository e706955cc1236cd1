"""What a target states about itself in the headers of its answers."""

from __future__ import annotations

import re
from typing import Final

from msgspec import Struct

from .header_names import HeaderNames
from .messages import Headers, header_value

# Carries the rate limit that a target stated in its last answer to a daemon, in the
# calls which that daemon sends to the daemon on the target's VM. It is a header and not
# a field of the frame, because older daemons reject frames with additional fields.
KNOWN_LIMIT_HEADER: Final = b"pepperstair-rate-limit"
# Status by which another target that has taken over an address refuses a request. It
# says nothing about the target for which the request was meant.
MISDIRECTED_STATUS: Final = 421
# A decimal number without sign or exponent. `float` also accepts "nan", "inf" and
# underscores.
_DECIMAL: Final = re.compile(rb"[0-9]{1,9}(\.[0-9]{0,9})?")


class TargetStatement(Struct, frozen=True):
    """The statements of one answer about the target that sent it.

    `rate_limit_per_s` is the number of requests a second that the target accepts from
    all daemons together, or None if the answer states no valid limit. `invalid_limit`
    is the value of the header if it is not a decimal number.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    invalid_limit: bytes = b""


NO_STATEMENT: Final = TargetStatement()


def read_statement(headers: Headers, names: HeaderNames) -> TargetStatement:
    """Return what a target states about itself in the headers of an answer.

    >>> names = HeaderNames(rate_limit=b"rate-limit", leaving=b"leaving")
    >>> read_statement(((b"rate-limit", b"31.4"),), names).rate_limit_per_s
    31.4
    """
    limit = header_value(headers, names.rate_limit) if names.rate_limit else b""
    is_leaving = bool(names.leaving) and header_value(headers, names.leaving) == b"1"
    if not limit:
        return TargetStatement(is_leaving=True) if is_leaving else NO_STATEMENT
    limit_per_s = parse_rate_limit(limit)
    if limit_per_s is None:
        return TargetStatement(None, is_leaving, limit)
    return TargetStatement(limit_per_s, is_leaving)


def parse_rate_limit(value: bytes) -> float | None:
    """Return a rate limit in requests a second, or None if it is no decimal number.

    >>> parse_rate_limit(b"31.4"), parse_rate_limit(b"nan")
    (31.4, None)
    """
    return float(value) if _DECIMAL.fullmatch(value) else None


def is_signed(headers: Headers, names: HeaderNames) -> bool:
    """Return whether the target itself made the answer with these headers.

    Without a signature header, every answer counts as the target's own.
    """
    return not names.signature or bool(header_value(headers, names.signature))


__all__ = [
    "KNOWN_LIMIT_HEADER",
    "MISDIRECTED_STATUS",
    "NO_STATEMENT",
    "TargetStatement",
    "is_signed",
    "parse_rate_limit",
    "read_statement",
]
