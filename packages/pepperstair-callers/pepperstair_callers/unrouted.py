"""Refuse requests that no route of the version in force matches."""

from __future__ import annotations

from typing import Final

import structlog
from msgspec.structs import asdict

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.events import Event
from pepperstair_core.freshness import VersionBasis
from pepperstair_http import Request

from .context import ProxyContext
from .request_heads import RequestHead

log = structlog.get_logger(__name__)

# Maximum number of these requests that are logged in one second. Clients that try many
# unknown paths would otherwise displace all other lines.
N_LINES_PER_S: Final = 10
_PATH_MAX_CHARACTERS: Final = 200


class UnroutedRequests:
    """Refuses and logs requests without a route.

    Callers don't repeat a request after a 404. So they get 404 only as long as no newer
    version has to be in force, and otherwise a refusal after which they come back.
    Each line states how old the version in force is and how it is known to be the
    newest, so that it shows whether a newer version would have had a route.
    """

    def __init__(self, context: ProxyContext) -> None:
        self._context = context
        self._second = 0
        self._n_lines = 0
        self._n_unlogged = 0
        self.n_refused = 0
        # Number of these that got no 404, as a newer version may have a route.
        self.n_unconfirmed = 0

    def refuse(self, request: Request, head: RequestHead) -> Failure:
        """Return the failure of a request without a route."""
        basis = self._context.version_basis()
        self.n_refused += 1
        kind = ErrorKind.NO_ROUTE
        if basis is not None and basis.may_be_superseded:
            self.n_unconfirmed += 1
            kind = ErrorKind.ROUTE_UNCONFIRMED
        failure = Failure(kind, request.path)
        self._log(request, head, failure, basis)
        return failure

    def _log(
        self,
        request: Request,
        head: RequestHead,
        failure: Failure,
        basis: VersionBasis | None,
    ) -> None:
        second = int(self._context.now_ms() // 1000)
        if second != self._second:
            self._second, self._n_lines = second, 0
        if self._n_lines >= N_LINES_PER_S:
            self._n_unlogged += 1
            return
        self._n_lines += 1
        n_unlogged, self._n_unlogged = self._n_unlogged, 0
        log.info(
            Event.REQUEST_UNROUTED,
            request_id=head.request_id,
            host=request.host,
            # The query may hold secrets.
            path=request.path.partition("?")[0][:_PATH_MAX_CHARACTERS],
            status=failure.answer.status,
            error=failure.kind,
            n_unlogged=n_unlogged,
            **(asdict(basis) if basis is not None else {}),
        )


__all__ = ["UnroutedRequests"]
