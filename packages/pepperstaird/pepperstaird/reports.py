"""Operations that report a daemon's state, decisions and burn-rate counts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
import structlog

from pepperstair_core.decisions import Decision, DecisionKind
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.intent import hide_keys, intent_to_table
from pepperstair_operators import (
    OperatorReply,
    OperatorRequest,
    OperatorServer,
    failure_reply,
    json_reply,
)

from .clock import monotonic_ms
from .counters import read_counters

if TYPE_CHECKING:
    from .daemon import Daemon

log = structlog.get_logger(__name__)


def add_reports(server: OperatorServer, daemon: Daemon) -> None:
    """Register the read-only operations of a daemon."""

    async def status(request: OperatorRequest) -> OperatorReply:
        return json_reply(status_content(daemon))

    async def ready(request: OperatorRequest) -> OperatorReply:
        is_ready = daemon.is_ready()
        content = {"ready": is_ready, "reached_by": daemon.readiness_source}
        return json_reply(content, 200 if is_ready else 503)

    async def get_intent(request: OperatorRequest) -> OperatorReply:
        snapshot = daemon.configuration.get(request.name)
        if snapshot is None:
            return failure_reply(Failure(ErrorKind.NOT_FOUND, request.name))
        intent = intent_to_table(hide_keys(snapshot.intent))
        return json_reply({"version": snapshot.head.version, "intent": intent})

    async def burn(request: OperatorRequest) -> OperatorReply:
        return await burn_reply(daemon)

    server.add("GET", "/v1/status", status)
    server.add("GET", "/v1/ready", ready)
    server.add("GET", "/v1/intent/", get_intent)
    server.add("GET", "/v1/burn", burn)


def status_content(daemon: Daemon) -> dict[str, Any]:
    """Return the content of `GET /v1/status`."""
    content = {
        "vm": daemon.settings.vm.name,
        "availability_zone": daemon.settings.vm.availability_zone,
        "ready": daemon.is_ready(),
        "reached_by": daemon.readiness_source,
        "versions": daemon.configuration.versions(),
        "members": [
            {
                "vm": member.vm,
                "state": member.state.name.lower(),
                "incarnation": member.incarnation,
                "availability_zone": member.availability_zone,
                "operators_address": member.operators_address,
                "targets": [
                    {"name": target.name, "state": target.state.value}
                    for target in member.targets
                ],
            }
            for member in daemon.directory.members()
        ],
        "rejected": daemon.configuration.rejected(),
        "counters": dict(read_counters(daemon).iter_named()),
    }
    if daemon.rollouts is not None:
        content["rollouts"] = daemon.rollouts.explain()
    return content


def add_explain_operation(server: OperatorServer, daemon: Daemon) -> None:
    """Register an `explain` operation that explains decisions only.

    It is for a daemon that reads its configuration from an external document. The other
    `explain` operation also describes versions that the fleet itself distributes.
    """

    async def explain(request: OperatorRequest) -> OperatorReply:
        return explain_decisions(daemon, request)

    server.add("GET", "/v1/explain", explain)


def explain_decisions(daemon: Daemon, request: OperatorRequest) -> OperatorReply:
    """Answer with the decisions about a subject, or with all, oldest first."""
    matching = daemon.decisions.find(request.query.get("subject", ""))
    return json_reply({"decisions": [_decision_content(each) for each in matching]})


def record_refusal(daemon: Daemon, customer: str, failure: Failure) -> None:
    """Record why a change was not accepted, for `explain`."""
    is_conflict = failure.kind is ErrorKind.CONFLICT
    kind = DecisionKind.CONFLICT if is_conflict else DecisionKind.REFUSED
    daemon.decisions.record(kind, customer, failure.text)


async def burn_reply(daemon: Daemon) -> OperatorReply:
    """Answer with this daemon's counts for burn rates and each customer's objectives.

    The coroutine yields to the event loop after each customer, as counting all
    customers at once would delay every call.
    """
    snapshots = (
        daemon.configuration.get(name) for name in daemon.configuration.versions()
    )
    objectives = {
        snapshot.head.customer: (snapshot.head.version, snapshot.intent.objectives)
        for snapshot in snapshots
    }
    now_ms = monotonic_ms()
    customers = []
    for counts in daemon.burn.iter_customers(now_ms, objectives):
        customers.append(msgspec.to_builtins(counts))
        await asyncio.sleep(0)
    vm, lived_ms = daemon.settings.vm.name, daemon.burn.lived_ms(now_ms)
    return json_reply({"vm": vm, "lived_ms": lived_ms, "customers": customers})


def _decision_content(decision: Decision) -> dict[str, Any]:
    return {
        "at_ms": decision.at_ms,
        "kind": decision.kind.value,
        "subject": decision.subject,
        "cause": decision.cause,
        "figures": dict(decision.figures),
    }


__all__ = [
    "add_explain_operation",
    "add_reports",
    "burn_reply",
    "explain_decisions",
    "record_refusal",
    "status_content",
]
