"""What a target states about itself in the headers of its answers."""

from __future__ import annotations

import re
from typing import Final

from msgspec import Struct

from .header_names import HeaderNames
from .messages import Headers, header_value

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
    if not _DECIMAL.fullmatch(limit):
        return TargetStatement(None, is_leaving, limit)
    return TargetStatement(float(limit), is_leaving)


def is_signed(headers: Headers, names: HeaderNames) -> bool:
    """Return whether the target itself made the answer with these headers.

    Without a signature header, every answer counts as the target's own.
    """
    return not names.signature or bool(header_value(headers, names.signature))


__all__ = ["NO_STATEMENT", "TargetStatement", "is_signed", "read_statement"]
