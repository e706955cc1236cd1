"""The operations of the naive daemon's operators' interface."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING, Any

import structlog

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.events import Event
from pepperstair_core.intent import parse_intent_toml
from pepperstair_operators import (
    OperatorReply,
    OperatorRequest,
    OperatorServer,
    failure_reply,
    json_reply,
)
from pepperstair_platform import ChangeRequest, accept_change
from pepperstair_targets import handle_announcement
from pepperstaird.clock import monotonic_ms, wall_ms

if TYPE_CHECKING:
    from .daemon import NaiveDaemon

log = structlog.get_logger(__name__)


def add_naive_operations(server: OperatorServer, daemon: NaiveDaemon) -> None:
    """Add the operations that the demo, the tests and the benchmarks use."""

    async def status(request: OperatorRequest) -> OperatorReply:
        return json_reply(_status(daemon))

    async def ready(request: OperatorRequest) -> OperatorReply:
        is_ready = daemon.is_ready()
        return json_reply({"ready": is_ready}, 200 if is_ready else 503)

    async def put_intent(request: OperatorRequest) -> OperatorReply:
        return await _put_intent(daemon, request)

    async def put_target(request: OperatorRequest) -> OperatorReply:
        labels = daemon.settings.vm.labels
        announced = handle_announcement(
            daemon.registry, labels, request.name, request.body, monotonic_ms()
        )
        if announced.is_err():
            return failure_reply(Failure(ErrorKind.BAD_REQUEST))
        return json_reply({"lease_ms": announced.unwrap()})

    async def delete_target(request: OperatorRequest) -> OperatorReply:
        daemon.registry.deregister(request.name)
        return json_reply({})

    server.add("GET", "/v1/status", status)
    server.add("GET", "/v1/ready", ready)
    server.add("PUT", "/v1/intent/", put_intent)
    server.add("PUT", "/v1/targets/", put_target)
    server.add("DELETE", "/v1/targets/", delete_target)


def _status(daemon: NaiveDaemon) -> dict[str, Any]:
    return {
        "vm": daemon.settings.vm.name,
        "ready": daemon.is_ready(),
        "versions": daemon.configuration.versions(),
        "members": [
            {
                "vm": member.vm,
                "state": member.state.name.lower(),
                "targets": [
                    {"name": target.name, "state": target.state.value}
                    for target in member.targets
                ],
            }
            for member in daemon.directory.members()
        ],
        "counters": daemon.counters(),
    }


async def _put_intent(daemon: NaiveDaemon, request: OperatorRequest) -> OperatorReply:
    parsed = parse_intent_toml(request.body.decode())
    if parsed.is_err():
        return failure_reply(Failure(ErrorKind.INVALID_INTENT))
    from_version = request.query.get("from_version", "")
    change = ChangeRequest(
        parsed.unwrap(),
        request.query.get("change_id") or uuid.uuid4().hex,
        int(from_version) if from_version.isdecimal() else None,
        daemon.settings.vm.name,
        wall_ms(),
    )
    accepted = await accept_change(daemon.platform, change)
    if accepted.is_err():
        return failure_reply(accepted.unwrap_err(), change_id=change.change_id)
    snapshot = accepted.unwrap().snapshot
    log.info(
        Event.CHANGE_ACCEPTED,
        customer=change.intent.customer,
        version=snapshot.head.version,
    )
    daemon.configuration.apply(snapshot)
    return json_reply(
        {
            "customer": change.intent.customer,
            "version": snapshot.head.version,
            "change_id": change.change_id,
            "is_repeat": accepted.unwrap().is_repeat,
        }
    )


__all__ = ["add_naive_operations"]
