"""The routes of one proxy, compiled with the services they need.

A table is built in one pass from the snapshots in force and never changed: a
route stands in it only together with its service, so that no request meets a
route whose service is missing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from .intent import Policy, Route, Service
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


DEFAULT_POLICY: Final = Policy("default", "")


@dataclass(frozen=True, slots=True)
class CompiledPolicy:
    """A policy with the customer that stated it and its parsed selector."""

    customer: str
    policy: Policy
    target_selector: Selector


@dataclass(frozen=True, slots=True)
class PolicyTable:
    """The policies in force. A customer's policies hold for its calls only."""

    policies: tuple[CompiledPolicy, ...] = ()

    def find(self, customer: str, target_labels: Labels) -> Policy:
        """Return the first policy of a customer that selects a target."""
        for compiled in self.policies:
            if compiled.customer != customer:
                continue
            if compiled.target_selector.matches(target_labels):
                return compiled.policy
        return DEFAULT_POLICY


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Every route of this proxy, the most specific first, and the policies."""

    routes: tuple[CompiledRoute, ...] = ()
    policies: PolicyTable = PolicyTable()

    def match(self, host: str, path: str) -> CompiledRoute | None:
        """Return the most specific route for a request, or None."""
        for compiled in self.routes:
            if compiled.matches(host, path):
                return compiled
        return None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A target, the member beside which it runs and the policy for its calls."""

    vm: str
    availability_zone: str
    peer_address: str
    target: Target
    policy: Policy = DEFAULT_POLICY

    @property
    def key(self) -> tuple[str, str]:
        """Return what names the target in the fleet: its VM and its name."""
        return (self.vm, self.target.name)


def compile_routes(snapshots: Iterable[Snapshot], proxy_labels: Labels) -> RouteTable:
    """Compile the routes that select a proxy, from the snapshots in force.

    The order is total (host given, longest prefix, customer, name), so that
    every proxy with the same versions and labels decides alike.
    """
    held = tuple(snapshots)
    compiled = sorted(_iter_compiled(held, proxy_labels), key=_specificity)
    return RouteTable(tuple(compiled), compile_policies(held))


def compile_policies(snapshots: Iterable[Snapshot]) -> PolicyTable:
    """Compile the policies in force, in the order in which they are stated."""
    return PolicyTable(
        tuple(
            CompiledPolicy(
                snapshot.head.customer, policy, parse_selector(policy.selector).unwrap()
            )
            for snapshot in snapshots
            for policy in snapshot.intent.policies
        )
    )


def iter_endpoints(
    members: Iterable[Member],
    selector: Selector,
    overrides: Mapping[str, Labels],
    policy_of: Callable[[Labels], Policy] = lambda labels: DEFAULT_POLICY,
) -> Iterator[Endpoint]:
    """Yield the targets that a service's selector chooses and that take work."""
    for member in members:
        if not member.is_usable:
            continue
        for target in member.targets:
            if target.state is TargetState.DRAINING:
                continue
            labels = effective_labels(member.vm, target, overrides)
            if selector.matches(labels):
                yield Endpoint(
                    member.vm,
                    member.availability_zone,
                    member.peer_address,
                    target,
                    policy_of(labels),
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
    "DEFAULT_POLICY",
    "CompiledPolicy",
    "CompiledRoute",
    "Endpoint",
    "PolicyTable",
    "RouteTable",
    "apply_override",
    "compile_policies",
    "compile_routes",
    "effective_labels",
    "iter_endpoints",
    "overrides_of",
]
