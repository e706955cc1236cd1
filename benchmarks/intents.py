"""Intent documents of any size, for benchmarks and process tests."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from .fleet import DaemonProcess, fetch_async

_SERVICE = """
[[services]]
name = "{name}"
selector = "app={name}"
"""
_ROUTE = """
[[routes]]
name = "{name}"
path_prefix = "{path}"
service = "{service}"
priority = "{priority}"
is_idempotent = {is_idempotent}
timeout_ms = {timeout_ms}
"""


@dataclass(frozen=True, slots=True)
class RouteSpec:
    """The parameters of a route that benchmarks and tests vary."""

    name: str
    path: str
    service: str
    priority: str = "normal"
    is_idempotent: bool = False
    timeout_ms: int = 2000


@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """A daemon's answer to a change; status 0 if there was none."""

    status: int
    version: int
    error: str
    change_id: str


def intent_toml(
    customer: str, services: tuple[str, ...], routes: tuple[RouteSpec, ...]
) -> str:
    """Return an intent document in TOML."""
    parts = [f'customer = "{customer}"\n']
    parts.extend(_SERVICE.format(name=name) for name in services)
    parts.extend(_route_toml(route) for route in routes)
    return "".join(parts)


def sized_intent(customer: str, n_routes: int, revision: int) -> str:
    """Return an intent with `n_routes` routes, of which each revision changes one."""
    changed = revision % n_routes
    routes = tuple(
        RouteSpec(
            f"route-{index}",
            f"/{customer}/path-{index}",
            f"{customer}-service",
            timeout_ms=1000 + (revision if index == changed else 0),
        )
        for index in range(n_routes)
    )
    return intent_toml(customer, (f"{customer}-service",), routes)


def apply_intent(
    daemon: DaemonProcess,
    customer: str,
    document: str,
    change_id: str = "",
    from_version: int | None = None,
) -> ChangeAnswer:
    """Send a document to a daemon and return its answer."""
    return asyncio.run(
        apply_intent_async(daemon, customer, document, change_id, from_version)
    )


async def apply_intent_async(
    daemon: DaemonProcess,
    customer: str,
    document: str,
    change_id: str = "",
    from_version: int | None = None,
) -> ChangeAnswer:
    """Do the same as `apply_intent` on a running event loop."""
    query = [f"change_id={change_id}"] if change_id else []
    if from_version is not None:
        query.append(f"from_version={from_version}")
    path = f"/v1/intent/{customer}?{'&'.join(query)}"
    status, body = await fetch_async(daemon.operators, "PUT", path, document.encode())
    content = json.loads(body) if body else {}
    return ChangeAnswer(
        status,
        content.get("version", 0),
        content.get("error", ""),
        content.get("change_id", ""),
    )


def _route_toml(route: RouteSpec) -> str:
    return _ROUTE.format(
        name=route.name,
        path=route.path,
        service=route.service,
        priority=route.priority,
        is_idempotent=str(route.is_idempotent).lower(),
        timeout_ms=route.timeout_ms,
    )


__all__ = [
    "ChangeAnswer",
    "RouteSpec",
    "apply_intent",
    "apply_intent_async",
    "intent_toml",
    "sized_intent",
]
