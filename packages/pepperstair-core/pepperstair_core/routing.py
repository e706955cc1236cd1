"""The routes of one proxy, compiled with the services they need.

A table is built in one pass from the snapshots in force and never changed: a
route stands in it only together with its service, so that no request meets a
route whose service is missing.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable, Iterator, Mapping
from random import Random
from typing import Final

from msgspec import Struct, field
from msgspec.structs import force_setattr, replace

from .intent import Policy, Route, Service
from .labels import Labels, Selector, parse_selector
from .members import Member, Target, TargetState
from .policies import DEFAULT_POLICY, PolicyTable, compile_policies
from .versions import Head, Snapshot

NO_POLICIES: Final = PolicyTable()


class CompiledRoute(Struct, frozen=True):
    """A route of this proxy with its service and the version it came from.

    A route with splits has them in `destinations`, each with its weight; its own
    service is that of the first part.
    """

    customer: str
    version: int
    route: Route
    service: Service
    target_selector: Selector
    destinations: tuple[tuple[int, CompiledRoute], ...] = ()


def pick_destination(compiled: CompiledRoute, rng: Random) -> CompiledRoute:
    """Return the part of a route that a request goes to.

    The weights alone decide: a part
    without room refuses its requests, as an operator who tries a new version
    on a tenth of the traffic must never find the rest of it there.
    """
    if not compiled.destinations:
        return compiled
    left = rng.random() * sum(weight for weight, _ in compiled.destinations)
    for weight, part in compiled.destinations:
        left -= weight
        if left < 0:
            return part
    return compiled.destinations[-1][1]


class RouteTable:
    """Every route of this proxy, found by the longest prefix, and the policies.

    Looking a request up costs one dictionary access for each prefix of its
    path, however many routes there are; a scan would grow with the customers.
    """

    __slots__ = ("_by_host", "policies", "routes")

    def __init__(
        self,
        routes: Iterable[CompiledRoute] = (),
        policies: PolicyTable = NO_POLICIES,
    ) -> None:
        self.routes = tuple(routes)
        self.policies = policies
        self._by_host: dict[str, dict[str, CompiledRoute]] = {}
        for compiled in self.routes:
            route = compiled.route
            by_prefix = self._by_host.setdefault(route.host, {})
            known = by_prefix.setdefault(route.path_prefix, compiled)
            if known is not compiled and _order(compiled) < _order(known):
                by_prefix[route.path_prefix] = compiled

    def match(self, host: str, path: str) -> CompiledRoute | None:
        """Return the most specific route for a request, or None.

        A route for the request's host goes before one for every host, and a
        longer prefix before a shorter one.
        """
        if host and host in self._by_host:
            found = _longest_prefix(self._by_host[host], path)
            if found is not None:
                return found
        return _longest_prefix(self._by_host.get("", {}), path)


def _longest_prefix(
    by_prefix: Mapping[str, CompiledRoute], path: str
) -> CompiledRoute | None:
    for prefix in _iter_prefixes(path.partition("?")[0]):
        found = by_prefix.get(prefix)
        if found is not None:
            return found
    return None


def _iter_prefixes(path: str) -> Iterator[str]:
    """Yield the path cut at each slash, longest first, with and without it.

    >>> list(_iter_prefixes("/a/b"))
    ['/a/b', '/a/', '/a', '/']
    """
    yield path
    end = len(path.rstrip("/")) if path.endswith("/") else len(path)
    if 0 < end < len(path):
        yield path[:end]
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]
        if end > 0:
            yield path[:end]


class Endpoint(Struct, frozen=True):
    """A target, the member beside which it runs and the policy for its calls."""

    vm: str
    availability_zone: str
    peer_address: str
    target: Target
    policy: Policy = DEFAULT_POLICY
    key: tuple[str, str] = ("", "")

    def __post_init__(self) -> None:
        """Keep what names the target in the fleet: its VM and its name."""
        force_setattr(self, "key", (self.vm, self.target.name))


def compile_routes(snapshots: Iterable[Snapshot], proxy_labels: Labels) -> RouteTable:
    """Compile the routes that select a proxy, from the snapshots in force.

    Of routes with the same host and prefix the first by customer and name counts,
    so that every proxy with the same versions and labels decides alike.
    """
    held = tuple(snapshots)
    return RouteTable(_iter_compiled(held, proxy_labels), compile_policies(held))


class EndpointTable:
    """The endpoints of each service, kept until members or overrides change.

    Walking all members for each call would cost a millisecond in a fleet of
    600; members change seldom beside the calls.
    """

    __slots__ = ("_chosen", "_members", "_overrides", "_policies", "_reused")

    def __init__(
        self,
        members: Iterable[Member] = (),
        overrides: Mapping[str, Labels] | None = None,
        policies: PolicyTable = NO_POLICIES,
        previous: EndpointTable | None = None,
    ) -> None:
        """Take over from the previous table what holds of the same members.

        Members change one at a time; the endpoints of the unchanged ones are kept.
        """
        self._members = tuple(members)
        self._overrides = overrides or {}
        self._policies = policies
        self._chosen: dict[tuple[Selector, str], _ChosenEndpoints] = {}
        self._reused: dict[tuple[Selector, str], _ChosenEndpoints] = {}
        if previous is not None and previous._is_for(self._overrides, policies):
            self._reused = previous._chosen or previous._reused

    def endpoints(self, selector: Selector, customer: str = "") -> tuple[Endpoint, ...]:
        """Return the targets that a service's selector chooses, by name.

        Each carries the policy that the customer states for its calls to it. The
        same tuple is returned for as long as none of its endpoints changes.
        """
        chosen = self._chosen.get((selector, customer))
        if chosen is None:
            before = self._reused.get((selector, customer), _NOTHING_CHOSEN)
            chosen = self._choose(selector, customer, before)
            self._chosen[(selector, customer)] = chosen
        return chosen.endpoints

    def _is_for(self, overrides: Mapping[str, Labels], policies: PolicyTable) -> bool:
        return self._overrides == overrides and self._policies == policies

    def _choose(
        self, selector: Selector, customer: str, before: _ChosenEndpoints
    ) -> _ChosenEndpoints:
        policy_of = lambda labels: self._policies.find(customer, labels)
        by_vm: dict[str, tuple[Member, tuple[Endpoint, ...]]] = {}
        for member in self._members:
            known = before.by_vm.get(member.vm)
            if known is None or known[0] is not member:
                chosen = iter_endpoints((member,), selector, self._overrides, policy_of)
                known = (member, tuple(chosen))
            by_vm[member.vm] = known
        found = [item for _, endpoints in by_vm.values() for item in endpoints]
        endpoints = tuple(sorted(found, key=_endpoint_order))
        if endpoints == before.endpoints:
            endpoints = before.endpoints
        return _ChosenEndpoints(endpoints, by_vm)


class _ChosenEndpoints(Struct, frozen=True):
    """The endpoints that a selector chose, by name and by their VM's record."""

    endpoints: tuple[Endpoint, ...] = ()
    by_vm: Mapping[str, tuple[Member, tuple[Endpoint, ...]]] = field(
        default_factory=dict
    )


_NOTHING_CHOSEN: Final = _ChosenEndpoints()


def iter_endpoints(
    members: Iterable[Member],
    selector: Selector,
    overrides: Mapping[str, Labels],
    policy_of: Callable[[Labels], Policy] = lambda labels: DEFAULT_POLICY,
) -> Iterator[Endpoint]:
    """Yield the targets that a selector chooses and that take work."""
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


def label_overrides_by_workload(snapshots: Iterable[Snapshot]) -> dict[str, Labels]:
    """Return the label overrides in force, by workload.

    Where two customers override one workload the last by name wins, on every
    daemon alike, whatever order their versions arrived in.
    """
    in_order = sorted(snapshots, key=lambda snapshot: snapshot.head.customer)
    return {
        override.workload: override.labels
        for snapshot in in_order
        for override in snapshot.intent.label_overrides
    }


def _iter_compiled(
    snapshots: Iterable[Snapshot], proxy_labels: Labels
) -> Iterator[CompiledRoute]:
    # Thousands of routes share a few selectors; each of those is asked once.
    selects = functools.cache(
        lambda text: parse_selector(text).unwrap().matches(proxy_labels)
    )
    for snapshot in snapshots:
        services = {
            service.name: (service, parse_selector(service.selector).unwrap())
            for service in snapshot.intent.services
        }
        customer, version = snapshot.head.customer, snapshot.head.version
        for route in snapshot.intent.routes:
            if not selects(route.proxies):
                continue
            if route.splits:
                yield _compile_split(snapshot.head, route, services)
            else:
                yield CompiledRoute(customer, version, route, *services[route.service])


def _compile_split(
    head: Head, route: Route, services: Mapping[str, tuple[Service, Selector]]
) -> CompiledRoute:
    by_service = [
        CompiledRoute(head.customer, head.version, route, *services[name])
        for name in route.services
    ]
    weights = [split.weight for split in route.splits]
    return replace(
        by_service[0], destinations=tuple(zip(weights, by_service, strict=False))
    )


def _endpoint_order(endpoint: Endpoint) -> tuple[str, str]:
    return endpoint.key


def _order(compiled: CompiledRoute) -> tuple[str, str]:
    return (compiled.customer, compiled.route.name)


__all__ = [
    "CompiledRoute",
    "Endpoint",
    "EndpointTable",
    "RouteTable",
    "apply_override",
    "compile_routes",
    "effective_labels",
    "iter_endpoints",
    "label_overrides_by_workload",
    "pick_destination",
]
