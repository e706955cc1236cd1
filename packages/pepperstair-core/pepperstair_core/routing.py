"""The routes of one proxy, compiled with the services they need.

A table is built in one pass from the snapshots in force and never changed: a
route stands in it only together with its service, so that no request meets a
route whose service is missing.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from .intent import Route, Service
from .labels import Labels, Selector, parse_selector
from .members import Member, Target, TargetState
from .versions import Snapshot


@dataclass(frozen=True, slots=True)
class CompiledRoute:
    """A route of this proxy with its service and the version it came from."""

    customer: str
    version: int
    route: Route
    service: Service
    target_selector: Selector

    def matches(self, host: str, path: str) -> bool:
        """Return whether a request for a host and path takes this route."""
        if self.route.host and self.route.host != host:
            return False
        prefix = self.route.path_prefix
        if not path.startswith(prefix):
            return False
        rest = path[len(prefix) :]
        return prefix.endswith("/") or not rest or rest[0] in "/?"


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Every route of this proxy, the most specific first."""

    routes: tuple[CompiledRoute, ...] = ()

    def match(self, host: str, path: str) -> CompiledRoute | None:
        """Return the most specific route for a request, or None."""
        for compiled in self.routes:
            if compiled.matches(host, path):
                return compiled
        return None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A target and the member beside which it runs."""

    vm: str
    availability_zone: str
    peer_address: str
    target: Target


def compile_routes(snapshots: Iterable[Snapshot], proxy_labels: Labels) -> RouteTable:
    """Compile the routes that select a proxy, from the snapshots in force.

    The order is total (host given, longest prefix, customer, name), so that
    every proxy with the same versions and labels decides alike.
    """
    compiled = sorted(_iter_compiled(snapshots, proxy_labels), key=_specificity)
    return RouteTable(tuple(compiled))


def iter_endpoints(
    members: Iterable[Member],
    selector: Selector,
    overrides: Mapping[str, Labels],
) -> Iterator[Endpoint]:
    """Yield the targets that a service's selector chooses and that take work."""
    for member in members:
        if not member.is_usable:
            continue
        for target in member.targets:
            if target.state is TargetState.DRAINING:
                continue
            if selector.matches(effective_labels(member.vm, target, overrides)):
                yield Endpoint(
                    member.vm, member.availability_zone, member.peer_address, target
                )


def effective_labels(
    vm: str, target: Target, overrides: Mapping[str, Labels]
) -> Labels:
    """Return a target's labels with the operators' overrides applied."""
    labels = dict(target.labels)
    for workload in (vm, target.name):
        apply_override(labels, overrides.get(workload, {}))
    return labels


def apply_override(labels: dict[str, str], override: Labels) -> None:
    """Set the labels of an override; an empty value removes a label."""
    for key, value in override.items():
        if value:
            labels[key] = value
        else:
            labels.pop(key, None)


def overrides_of(snapshots: Iterable[Snapshot]) -> dict[str, Labels]:
    """Return the label overrides in force, by workload."""
    return {
        override.workload: override.labels
        for snapshot in snapshots
        for override in snapshot.intent.label_overrides
    }


def _iter_compiled(
    snapshots: Iterable[Snapshot], proxy_labels: Labels
) -> Iterator[CompiledRoute]:
    for snapshot in snapshots:
        services = {service.name: service for service in snapshot.intent.services}
        for route in snapshot.intent.routes:
            selector = parse_selector(route.proxies).unwrap()
            if not selector.matches(proxy_labels):
                continue
            service = services[route.service]
            yield CompiledRoute(
                snapshot.head.customer,
                snapshot.head.version,
                route,
                service,
                parse_selector(service.selector).unwrap(),
            )


def _specificity(compiled: CompiledRoute) -> tuple[bool, int, str, str]:
    route = compiled.route
    return (not route.host, -len(route.path_prefix), compiled.customer, route.name)


__all__ = [
    "CompiledRoute",
    "Endpoint",
    "RouteTable",
    "apply_override",
    "compile_routes",
    "effective_labels",
    "iter_endpoints",
    "overrides_of",
]
