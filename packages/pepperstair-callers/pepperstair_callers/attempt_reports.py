"""Report ejected targets and retried calls to operators."""

from __future__ import annotations

import structlog

from pepperstair_core.calls import Ejection
from pepperstair_core.decisions import DecisionKind
from pepperstair_core.errors import Failure
from pepperstair_core.events import Event
from pepperstair_core.routing import Endpoint

from .context import ProxyContext

log = structlog.get_logger(__name__)


def report_ejection(context: ProxyContext, ejection: Ejection) -> None:
    """Log the temporary ejection of a target and record it as a decision."""
    vm, target = ejection.key
    cause = f"{ejection.n_errors} consecutive errors, seen from {context.vm}"
    figures = (
        ("n_errors", float(ejection.n_errors)),
        ("period_ms", ejection.period_ms),
    )
    _record_decision(context, DecisionKind.EJECTED, target, cause, figures)
    log.warning(Event.TARGET_EJECTED, peer=vm, target=target, cause=cause)


def report_retry(
    context: ProxyContext, failed: Endpoint, failure: Failure, n_attempts: int
) -> None:
    """Record the decision to retry a call on another target."""
    figures = (("n_attempts", float(n_attempts)),)
    name = failed.target.name
    _record_decision(context, DecisionKind.RETRIED, name, failure.kind.value, figures)


def _record_decision(
    context: ProxyContext,
    kind: DecisionKind,
    subject: str,
    cause: str,
    figures: tuple[tuple[str, float], ...],
) -> None:
    context.decisions.record(kind, subject, cause, figures)


__all__ = ["report_ejection", "report_retry"]
