"""The names of the headers that say how a request is to be treated."""

from __future__ import annotations

from msgspec import Struct


class HeaderNames(Struct, frozen=True):
    """The headers that callers and targets of one deployment speak.

    All names are in lower case; an empty name stands for a header that is not
    in use. `request_id` names the request and is echoed by targets where
    `is_id_echoed` says so. `timeout_ms` says how long the caller waits, and on
    the way to a target how much of that is left. `caller_service` is set by the
    daemon on each request that is passed on. `expected_target` names the only
    target that may run a request. A target says `not_run` in an answer where
    it has refused the request, and `signature` stands in each answer that
    really is its own. `has_retry_after_fractions` says that callers read parts
    of a second in `retry-after`.
    """

    timeout_ms: bytes = b"pepperstair-timeout-ms"
    idempotent: bytes = b"pepperstair-idempotent"
    request_id: bytes = b"x-request-id"
    caller_service: bytes = b""
    expected_target: bytes = b""
    not_run: bytes = b""
    signature: bytes = b""
    is_id_echoed: bool = False
    has_retry_after_fractions: bool = False

    @property
    def replaced(self) -> frozenset[bytes]:
        """Return the headers of a caller that never reach a target as they are."""
        names = (
            self.timeout_ms,
            self.idempotent,
            self.caller_service,
            self.expected_target,
        )
        return frozenset(filter(None, names))


PRODUCT_HEADERS = HeaderNames()

__all__ = ["PRODUCT_HEADERS", "HeaderNames"]
