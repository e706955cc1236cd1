"""Client of the platform's protocol, JSON over HTTP/1.1.

The protocol is confined to this module. To support another platform, another module
must provide a client with the same five methods.
"""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

import structlog
from msgspec import Struct
from msgspec.structs import asdict
from result import Err, Ok, Result

from pepperstair_core.config import PlatformSettings, parse_address
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_http import ConnectionLostError, Fetcher, Response

from .rate_limiter import FairRateLimiter

log = structlog.get_logger(__name__)


class Row(Struct, frozen=True):
    """A row of the table service."""

    key: str
    value: str


class Compare(Struct, frozen=True):
    """A precondition of a transaction: a row's value, or None if no row may exist."""

    key: str
    value: str | None


class PlatformCounters(Struct):
    """Counts the requests to the platform, for metrics.

    Reads that wait for a change are counted in `n_watches` and also in `n_reads`.
    """

    n_reads: int = 0
    n_watches: int = 0
    n_writes: int = 0
    n_failures: int = 0
    n_refused: int = 0


class Platform:
    """Reads from and writes to the table service and the object store.

    Every method returns failures as values. `platform_unavailable` means that
    nothing was written, and `change_outcome_unknown` that a write may have taken
    effect although its answer was lost. `busy` means that the request was not sent,
    because the rate limiter did not admit it in time.
    """

    def __init__(self, settings: PlatformSettings) -> None:
        host, port = parse_address(settings.address)
        self._fetcher = Fetcher(host, port, settings.timeout_ms)
        self._rate_limiter = FairRateLimiter(settings.requests_per_s)
        self._timeout_ms = settings.timeout_ms
        self.counters = PlatformCounters()

    def close(self) -> None:
        """Close the connections to the platform."""
        self._rate_limiter.close()
        self._fetcher.close()

    async def read_rows(
        self, prefix: str, customer: str = ""
    ) -> Result[tuple[Row, ...], Failure]:
        """Return all rows whose key starts with a prefix, ordered by key."""
        read = await self._read(f"/v1/rows?prefix={quote(prefix)}", customer)
        return read.map(lambda response: _decode_rows(response.body))

    async def commit(
        self, compare: tuple[Compare, ...], put: tuple[Row, ...], customer: str = ""
    ) -> Result[bool, Failure]:
        """Write rows if every comparison holds; return False if one does not."""
        self.counters.n_writes += 1
        body = json.dumps(
            {
                "compare": [asdict(item) for item in compare],
                "put": [asdict(row) for row in put],
            }
        )
        sent = await self._send("POST", "/v1/transaction", body.encode(), customer)
        return sent.map(lambda response: response.status == 200)

    async def delete_row(self, key: str) -> Result[bool, Failure]:
        """Delete one row, whether or not it exists."""
        self.counters.n_writes += 1
        sent = await self._send("DELETE", f"/v1/rows/{key}", b"")
        return sent.map(lambda response: True)

    async def get_object(
        self, digest: str, customer: str = ""
    ) -> Result[bytes | None, Failure]:
        """Return an object, or None if it does not exist."""
        read = await self._read(f"/v1/objects/{digest}", customer)
        return read.map(lambda r: r.body if r.status == 200 else None)

    async def put_object(
        self, digest: str, data: bytes, customer: str = ""
    ) -> Result[bool, Failure]:
        """Store an object under its digest; this is idempotent."""
        self.counters.n_writes += 1
        sent = await self._send("PUT", f"/v1/objects/{digest}", data, customer)
        return sent.map(lambda response: True)

    async def _read(self, path: str, customer: str) -> Result[Response, Failure]:
        self.counters.n_reads += 1
        sent = await self._send("GET", path, b"", customer)
        return sent.map_err(_as_read_failure)

    async def _send(
        self, method: str, path: str, body: bytes, customer: str = ""
    ) -> Result[Response, Failure]:
        """Send one request and return the response or a failure.

        A refused connection or a 503 from the platform proves that nothing was
        written. A timeout or a lost connection does not prove this: the platform may
        have committed before its answer was lost.
        """
        if not await self._rate_limiter.acquire(customer, len(body), self._timeout_ms):
            self.counters.n_refused += 1
            detail = "too many requests queued for the platform"
            return Err(Failure(ErrorKind.BUSY, detail, self._timeout_ms))
        try:
            response = await self._fetcher.fetch(method, path, body)
        except (TimeoutError, ConnectionLostError) as error:
            detail = str(error) or "no answer in time"
            return self._record_failure(ErrorKind.CHANGE_OUTCOME_UNKNOWN, detail)
        except OSError as error:
            return self._record_failure(ErrorKind.PLATFORM_UNAVAILABLE, str(error))
        if response.status in (200, 404, 409):
            return Ok(response)
        detail = f"status {response.status}"
        return self._record_failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)

    def _record_failure(self, kind: ErrorKind, detail: str) -> Err[Failure]:
        self.counters.n_failures += 1
        return Err(Failure(kind, detail))


def _as_read_failure(failure: Failure) -> Failure:
    if failure.kind is ErrorKind.BUSY:
        return failure
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, failure.detail)


def _decode_rows(body: bytes) -> tuple[Row, ...]:
    table: dict[str, Any] = json.loads(body)
    return tuple(Row(item["key"], item["value"]) for item in table["rows"])


__all__ = ["Compare", "Platform", "PlatformCounters", "Row"]
