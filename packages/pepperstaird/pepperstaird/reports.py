"""The operations by which a daemon reports on itself: decisions and burn."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import structlog

from pepperstair_core.decisions import Decision, DecisionKind
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_operators import OperatorReply, OperatorRequest, json_reply

from .clock import monotonic_ms, wall_ms

if TYPE_CHECKING:
    from .daemon import Daemon

log = structlog.get_logger(__name__)


def explain_decisions(daemon: Daemon, request: OperatorRequest) -> OperatorReply:
    """Answer with the decisions about a subject, or all, the oldest first."""
    found = daemon.decisions.find(request.query.get("subject", ""))
    return json_reply({"decisions": [_decision_table(each) for each in found]})


def record_refusal(daemon: Daemon, customer: str, failure: Failure) -> None:
    """Keep why a change was not accepted, for `explain`."""
    is_conflict = failure.kind is ErrorKind.CONFLICT
    kind = DecisionKind.CONFLICT if is_conflict else DecisionKind.REFUSED
    daemon.decisions.add(Decision(wall_ms(), kind, customer, failure.text))


async def burn_counts(daemon: Daemon) -> OperatorReply:
    """Answer with what this daemon counted, and each customer's objectives.

    The loop is left after each customer: all at once would hold up every call
    by about 15 ms where 100 customers are counted (`make bench-burn`).
    """
    held = (daemon.configuration.get(name) for name in daemon.configuration.versions())
    objectives = {
        snapshot.head.customer: (snapshot.head.version, snapshot.intent.objectives)
        for snapshot in held
    }
    now_ms = monotonic_ms()
    customers = []
    for counts in daemon.burn.iter_customers(now_ms, objectives):
        customers.append(asdict(counts))
        await asyncio.sleep(0)
    vm, lived_ms = daemon.settings.vm.name, daemon.burn.lived_ms(now_ms)
    return json_reply({"vm": vm, "lived_ms": lived_ms, "customers": customers})


def _decision_table(decision: Decision) -> dict[str, Any]:
    return {
        "at_ms": decision.at_ms,
        "kind": decision.kind.value,
        "subject": decision.subject,
        "cause": decision.cause,
        "figures": dict(decision.figures),
    }


__all__ = ["burn_counts", "explain_decisions", "record_refusal"]
