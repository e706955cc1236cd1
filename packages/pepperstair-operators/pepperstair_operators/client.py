"""Client of the operators' interface, used by the command line."""

from __future__ import annotations

import json
from typing import Any, Final

import structlog
from msgspec import Struct
from result import Err, Ok, Result

from pepperstair_core.config import parse_address
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_http import ConnectionLostError, Fetcher, Response

log = structlog.get_logger(__name__)

DEFAULT_TIMEOUT_MS: Final = 15_000


class Reply(Struct, frozen=True):
    """The answer of a daemon, with its JSON content."""

    status: int
    content: Any


class OperatorClient:
    """Sends requests to one daemon's operators' interface."""

    def __init__(
        self, address: str, token: str = "", timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> None:
        host, port = parse_address(address)
        self._fetcher = Fetcher(host, port, timeout_ms)
        self._token = token

    async def send(
        self, method: str, path: str, body: bytes = b""
    ) -> Result[Reply, Failure]:
        """Send one request; return a failure if the daemon does not answer."""
        headers = ()
        if self._token:
            headers = ((b"authorization", f"Bearer {self._token}".encode()),)
        try:
            response = await self._fetcher.fetch(method, path, body, headers)
        except (TimeoutError, ConnectionLostError) as error:
            return Err(_no_reply(method, str(error) or "no answer in time"))
        except OSError as error:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, str(error)))
        return _read_reply(method, response)

    def close(self) -> None:
        """Close the idle connections."""
        self._fetcher.close()


def _no_reply(method: str, detail: str) -> Failure:
    """Return the failure for a request without a valid answer.

    The outcome of a change is unknown then. A `GET` changes nothing, so its failure
    only says that the daemon is unreachable.
    """
    is_read = method == "GET"
    kind = ErrorKind.PEER_UNREACHABLE if is_read else ErrorKind.CHANGE_OUTCOME_UNKNOWN
    return Failure(kind, detail)


def _read_reply(method: str, response: Response) -> Result[Reply, Failure]:
    """Parse an answer; return a failure if it is not JSON.

    Daemons answer with JSON only, so any other answer is from another program.
    """
    try:
        return Ok(Reply(response.status, json.loads(response.body)))
    except ValueError:
        detail = f"status {response.status} without JSON: not an operators' interface"
        return Err(_no_reply(method, detail))


__all__ = ["DEFAULT_TIMEOUT_MS", "OperatorClient", "Reply"]
