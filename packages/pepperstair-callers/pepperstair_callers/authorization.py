"""Find the client account of a request, or refuse the request."""

from __future__ import annotations

import structlog

from pepperstair_core.accounts import Refusal, authorize
from pepperstair_core.errors import PepperstairError
from pepperstair_core.intent import Account
from pepperstair_core.routing import CompiledRoute

from .context import ProxyContext
from .request_heads import RequestHead

log = structlog.get_logger(__name__)


def find_account(
    context: ProxyContext, head: RequestHead, compiled: CompiledRoute
) -> Account | None:
    """Return the account of a request, None if it has none, or raise the refusal."""
    table = context.accounts()
    if not table.is_in_use:
        return None
    found = authorize(
        table,
        head.api_key,
        compiled.route.allows_anonymous,
        context.proof_age_ms(),
        context.account_limits(),
    )
    if isinstance(found, Refusal):
        raise PepperstairError(found.failure)
    return found


def is_out_of_date(
    context: ProxyContext, head: RequestHead, compiled: CompiledRoute
) -> bool:
    """Return whether a newer proof could change the refusal of a request."""
    try:
        find_account(context, head, compiled)
    except PepperstairError as error:
        return error.failure.answer.is_retryable
    return False


__all__ = ["find_account", "is_out_of_date"]
