"""Operations of the operators' interface: intents and target announcements."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import structlog

from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.events import Event
from pepperstair_core.intent import iter_hidden_key_faults, parse_intent_toml
from pepperstair_core.schema import Fault
from pepperstair_operators import (
    OperatorReply,
    OperatorRequest,
    OperatorServer,
    failure_reply,
    json_reply,
    query_version,
)
from pepperstair_platform import ChangeRequest
from pepperstair_targets import handle_announcement

from .clock import monotonic_ms, wall_ms
from .configuration import WAIT_MAX_MS, ChangeQueues
from .reports import add_reports, record_refusal

if TYPE_CHECKING:
    from .daemon import Daemon

log = structlog.get_logger(__name__)


def add_operations(server: OperatorServer, daemon: Daemon) -> None:
    """Register the reports, changes of intents and announcements of targets."""
    add_reports(server, daemon)
    change_queues = ChangeQueues()

    async def put_intent(request: OperatorRequest) -> OperatorReply:
        async with change_queues.turn(request.name) as is_acquired:
            if is_acquired:
                return await _put_intent(daemon, request)
        detail = f"earlier changes of {request.name} are still queued"
        return failure_reply(Failure(ErrorKind.BUSY, detail, WAIT_MAX_MS))

    async def put_target(request: OperatorRequest) -> OperatorReply:
        lease = handle_announcement(
            daemon.registry,
            daemon.settings.vm.labels,
            request.name,
            request.body,
            monotonic_ms(),
        )
        if lease.is_err():
            return _faults_reply(ErrorKind.BAD_REQUEST, lease.unwrap_err())
        return json_reply({"lease_ms": lease.unwrap()})

    async def delete_target(request: OperatorRequest) -> OperatorReply:
        if not daemon.registry.deregister(request.name):
            return failure_reply(Failure(ErrorKind.NOT_FOUND, request.name))
        return json_reply({})

    server.add("PUT", "/v1/intent/", put_intent)
    server.add("PUT", "/v1/targets/", put_target)
    server.add("DELETE", "/v1/targets/", delete_target)


async def _put_intent(daemon: Daemon, request: OperatorRequest) -> OperatorReply:
    """Commit a change of an intent, or refuse it as a whole."""
    from_version = query_version(request, "from_version")
    if from_version.is_err():
        return failure_reply(from_version.unwrap_err())
    try:
        text = request.body.decode()
    except UnicodeDecodeError as error:
        fault = Fault("document", f"UTF-8 ({error})")
        return _faults_reply(ErrorKind.INVALID_INTENT, [fault])
    parsed = parse_intent_toml(text)
    if parsed.is_err():
        return _faults_reply(ErrorKind.INVALID_INTENT, parsed.unwrap_err())
    intent = parsed.unwrap()
    if intent.customer != request.name:
        fault = Fault("customer", f"{request.name!r}, not {intent.customer!r}")
        return _faults_reply(ErrorKind.INVALID_INTENT, [fault])
    hidden = list(iter_hidden_key_faults(intent))
    if hidden:
        return _faults_reply(ErrorKind.INVALID_INTENT, hidden)
    change_id = request.query.get("change_id") or uuid.uuid4().hex
    change = ChangeRequest(
        intent,
        change_id,
        from_version.unwrap(),
        daemon.settings.vm.name,
        wall_ms(),
        request.query.get("is_asked_again") == "true",
    )
    accepted = await daemon.configuration.accept(change)
    if accepted.is_err():
        failure = accepted.unwrap_err()
        record_refusal(daemon, intent.customer, failure)
        log.warning(
            Event.CHANGE_REFUSED,
            customer=intent.customer,
            change_id=change_id,
            kind=failure.kind.value,
        )
        return failure_reply(failure, change_id=change_id)
    snapshot = accepted.unwrap().snapshot
    log.info(
        Event.CHANGE_ACCEPTED,
        customer=intent.customer,
        version=snapshot.head.version,
        change_id=change_id,
    )
    return json_reply(
        {
            "customer": intent.customer,
            "version": snapshot.head.version,
            "change_id": change_id,
            "is_repeat": accepted.unwrap().is_repeat,
        }
    )


def _faults_reply(kind: ErrorKind, faults: list[Fault]) -> OperatorReply:
    items = [{"where": fault.where, "expected": fault.expected} for fault in faults]
    return failure_reply(Failure(kind, "; ".join(map(str, faults))), faults=items)


__all__ = ["add_operations"]
