"""Names of the headers that control how a request is processed."""

from __future__ import annotations

import itertools
from collections.abc import Iterator

from msgspec import Struct


class HeaderNames(Struct, frozen=True):
    """The header names that callers and targets of one deployment use.

    All names are in lower case; an empty name means that the header is not used.

    - `timeout_ms` states how long the caller waits or, in a request to a target, how
      much of that time remains.
    - `request_id` identifies the request. Targets echo it if `is_id_echoed` is set.
    - `caller_service` is set by the daemon on each request that it forwards.
    - `expected_target` names the only target that may run the request.
    - `not_run` is set by a target in an answer that refuses the request.
    - `signature` is set by a target in each answer of its own.
    - `rate_limit` is set by a target in its answers while it limits its requests. The
      value is the number of requests a second that it accepts from all daemons.
    - `leaving` is set to 1 by a target in its answers once it is shutting down.
    - `api_key` carries the key of a client account and is never forwarded.
    - `account` is set by the daemon to the name of the client account.

    `has_retry_after_fractions` states that callers parse fractions of a second in
    `retry-after`.
    """

    timeout_ms: bytes = b"pepperstair-timeout-ms"
    idempotent: bytes = b"pepperstair-idempotent"
    request_id: bytes = b"x-request-id"
    caller_service: bytes = b""
    expected_target: bytes = b""
    not_run: bytes = b""
    signature: bytes = b""
    rate_limit: bytes = b""
    leaving: bytes = b""
    api_key: bytes = b"pepperstair-key"
    account: bytes = b"pepperstair-account"
    is_id_echoed: bool = False
    has_retry_after_fractions: bool = False

    @property
    def is_target_named(self) -> bool:
        """Return whether each request names the only target that may run it.

        Another target that has taken over the address then refuses the request, so
        every other answer proves that the named target is running.
        """
        return bool(self.expected_target)

    @property
    def replaced(self) -> frozenset[bytes]:
        """Return the headers that are never forwarded unchanged to a target.

        Some servers take an underscore in a name for a hyphen, so the headers of client
        accounts are dropped in these spellings too.
        """
        names = (
            self.timeout_ms,
            self.idempotent,
            self.caller_service,
            self.expected_target,
            *_iter_spellings(self.api_key),
            *_iter_spellings(self.account),
        )
        return frozenset(filter(None, names))


def _iter_spellings(name: bytes) -> Iterator[bytes]:
    """Yield a name with each of its hyphens as a hyphen and as an underscore."""
    head, *words = name.split(b"-")
    for joints in itertools.product(b"-_", repeat=len(words)):
        pairs = zip(joints, words, strict=True)
        yield head + b"".join(bytes((joint,)) + word for joint, word in pairs)


PRODUCT_HEADERS = HeaderNames()

__all__ = ["PRODUCT_HEADERS", "HeaderNames"]
