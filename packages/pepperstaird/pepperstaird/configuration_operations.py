"""Operations of the operators' interface on versions and their distribution."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

import structlog
from msgspec.structs import asdict

from pepperstair_core.distribution import missing_vms
from pepperstair_core.errors import ErrorKind, Failure
from pepperstair_core.labels import parse_selector
from pepperstair_core.versions import Snapshot
from pepperstair_operators import (
    OperatorReply,
    OperatorRequest,
    OperatorServer,
    failure_reply,
    json_reply,
    query_version,
)

from .clock import monotonic_ms
from .reports import explain_decisions

if TYPE_CHECKING:
    from .configuration import VersionRecord
    from .daemon import Daemon

log = structlog.get_logger(__name__)

_WAIT_STEP_S: Final = 0.02
_WAIT_DEFAULT_MS: Final = 500
_WAIT_MAX_MS: Final = 10_000


def add_configuration_operations(server: OperatorServer, daemon: Daemon) -> None:
    """Register the `wait`, `history` and `explain` operations of a daemon."""

    async def wait(request: OperatorRequest) -> OperatorReply:
        return await _wait(daemon, request)

    async def history(request: OperatorRequest) -> OperatorReply:
        records = daemon.configuration.records.of_customer(request.name)
        return json_reply({"changes": [_change_content(r) for r in records]})

    async def explain(request: OperatorRequest) -> OperatorReply:
        customer = request.query.get("customer", "")
        if not customer:
            return explain_decisions(daemon, request)
        content = explain_configuration(
            daemon, customer, request.query.get("route", "")
        )
        if content is None:
            return failure_reply(Failure(ErrorKind.NOT_FOUND, customer))
        return json_reply({"configuration": content})

    server.add("GET", "/v1/wait/", wait)
    server.add("GET", "/v1/history/", history)
    server.add("GET", "/v1/explain", explain)


async def _wait(daemon: Daemon, request: OperatorRequest) -> OperatorReply:
    """Answer once the version is in force everywhere, or after the timeout."""
    customer = request.name
    state = daemon.configuration.distribution.state
    customer_state = state.customers.get(customer)
    held_version = customer_state.held_version if customer_state else 0
    requested = query_version(request, "version")
    if requested.is_err():
        return failure_reply(requested.unwrap_err())
    version = requested.unwrap() or held_version
    if not version:
        return failure_reply(Failure(ErrorKind.NOT_FOUND, customer))
    timeout_ms = _timeout_ms(request.query.get("timeout_ms", ""))
    deadline_ms = monotonic_ms() + timeout_ms
    while True:
        content = wait_content(daemon, customer, version)
        if content["is_converged"] or monotonic_ms() >= deadline_ms:
            return json_reply(content)
        await asyncio.sleep(_WAIT_STEP_S)


def wait_content(daemon: Daemon, customer: str, version: int) -> dict[str, Any]:
    """Return which live members have a version, or a newer one, in force."""
    state = daemon.configuration.distribution.state
    customer_state = state.customers.get(customer)
    vms: set[str] = set()
    missing = list(state.fleet.live())
    convergence_ms = None
    if customer_state is not None and version <= customer_state.held_version:
        collection = daemon.configuration.collect(customer, version)
        vms = collection.vms
        missing = list(missing_vms(collection, state))
        convergence_ms = collection.convergence_ms
    record = daemon.configuration.records.find(customer, version)
    if record is not None and record.convergence_ms is not None:
        convergence_ms = record.convergence_ms
    return {
        "customer": customer,
        "version": version,
        "in_force": sorted(vms),
        "missing": sorted(missing),
        "is_converged": not missing and not daemon.is_joining,
        "convergence_ms": convergence_ms,
    }


def explain_configuration(
    daemon: Daemon, customer: str, route: str
) -> dict[str, Any] | None:
    """Return the origin of a customer's version in force and the scope of a route.

    The scope is whether this proxy carries the route, with the selector and the labels
    that decide it. Return None if no version of the customer is in force.
    """
    snapshot = daemon.configuration.get(customer)
    if snapshot is None:
        return None
    record = daemon.configuration.records.find(customer, snapshot.head.version)
    customer_state = daemon.configuration.distribution.state.customer(customer)
    content = _change_content(record) if record else asdict(snapshot.head)
    content["held_version"] = customer_state.held_version
    content["rejected"] = daemon.configuration.rejected().get(customer)
    if route:
        content["route"] = _route_content(daemon, snapshot, route)
    return content


def _route_content(
    daemon: Daemon, snapshot: Snapshot, name: str
) -> dict[str, Any] | None:
    routes = {route.name: route for route in snapshot.intent.routes}
    route = routes.get(name)
    if route is None:
        return None
    services = {service.name: service for service in snapshot.intent.services}
    labels = daemon.configuration.proxy_labels()
    is_carried = parse_selector(route.proxies).unwrap().matches(labels)
    return {
        "name": name,
        "proxies": route.proxies,
        "proxy_labels": labels,
        "is_carried": is_carried,
        "service": route.service,
        "service_selector": services[route.service].selector,
    }


def _change_content(record: VersionRecord) -> dict[str, Any]:
    return {
        **asdict(record.head),
        "learnt_from": record.learnt_from,
        "in_force_at_ms": record.in_force_at_ms,
        "convergence_ms": record.convergence_ms,
    }


def _timeout_ms(text: str) -> int:
    return min(int(text), _WAIT_MAX_MS) if text.isdecimal() else _WAIT_DEFAULT_MS


__all__ = ["add_configuration_operations", "explain_configuration", "wait_content"]
