"""The routes of one proxy, compiled with the services they refer to.

A route table is built in one pass from the snapshots in force and is immutable. It
contains a route only together with its service, so no request matches a route whose
service is missing.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
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
    """A route of this proxy with its service and the version that defines it.

    For a route with splits, `destinations` holds one compiled route per split with its
    weight, and `service` is the service of the first split. If `target_keys` is not
    empty, only the targets with these endpoint keys are used. `version_cause` states
    why the requests go to one version of the targets; it is empty if they do not.
    """

    customer: str
    version: int
    route: Route
    service: Service
    target_selector: Selector
    destinations: tuple[tuple[int, CompiledRoute], ...] = ()
    target_keys: frozenset[tuple[str, str]] = frozenset()
    version_cause: str = ""


def pick_destination(compiled: CompiledRoute, rng: Random) -> CompiledRoute:
    """Return the destination for one request, drawn at random by the split weights.

    Only the weights decide. A destination without capacity refuses its requests
    rather than passing them to another split: an operator who tries a new version on
    a tenth of the traffic must never see the remaining traffic go to the new version.
    """
    if not compiled.destinations:
        return compiled
    remaining = rng.random() * sum(weight for weight, _ in compiled.destinations)
    for weight, destination in compiled.destinations:
        remaining -= weight
        if remaining < 0:
            return destination
    return compiled.destinations[-1][1]


class RouteTable:
    """The routes of this proxy, matched by the longest prefix, and the policies.

    A look-up costs one dictionary access per prefix of the request's path, however many
    routes there are. The cost of a linear scan would grow with the number of customers.
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
            if known is not compiled and _precedence(compiled) < _precedence(known):
                by_prefix[route.path_prefix] = compiled

    def match(self, host: str, path: str) -> CompiledRoute | None:
        """Return the most specific route for a request, or None.

        A route for the request's host takes precedence over a route for all hosts.
        Among the routes for one host, the longest matching prefix takes precedence.
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
    """Yield the path truncated at each slash, with and without it, longest first.

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
    """A target, its VM's address and zone, and the policy for calls to it.

    `key` identifies the target in the fleet: the name of its VM and its own name.
    """

    vm: str
    availability_zone: str
    peer_address: str
    target: Target
    policy: Policy = DEFAULT_POLICY
    key: tuple[str, str] = ("", "")

    def __post_init__(self) -> None:
        """Set `key` to the names of the VM and the target."""
        force_setattr(self, "key", (self.vm, self.target.name))


def compile_routes(snapshots: Iterable[Snapshot], proxy_labels: Labels) -> RouteTable:
    """Compile the routes that select a proxy, from the snapshots in force.

    Of routes with the same host and prefix, the first by customer and name is used,
    so that all proxies with the same versions and labels decide alike.
    """
    in_force = tuple(snapshots)
    return RouteTable(
        _iter_compiled_routes(in_force, proxy_labels),
        compile_policies(in_force),
    )


class EndpointTable:
    """The endpoints of each service, cached until members or overrides change.

    Iterating over all members for each call would cost 1 ms in a fleet of 600, and
    members change far less often than calls arrive.
    """

    __slots__ = (
        "_excluded",
        "_members",
        "_overrides",
        "_policies",
        "_reusable",
        "_selected",
    )

    def __init__(
        self,
        members: Iterable[Member] = (),
        overrides: Mapping[str, Labels] | None = None,
        policies: PolicyTable = NO_POLICIES,
        previous: EndpointTable | None = None,
        excluded: Collection[tuple[str, str]] = frozenset(),
    ) -> None:
        """Build a table that reuses the endpoints of unchanged members.

        Members change one at a time, so most endpoints of the `previous` table are
        still valid. Nothing is reused if the overrides, the policies or the `excluded`
        keys of endpoints differ.
        """
        self._excluded = excluded
        self._members = tuple(members)
        self._overrides = overrides or {}
        self._policies = policies
        self._selected: dict[_Selection, _SelectedEndpoints] = {}
        self._reusable: dict[_Selection, _SelectedEndpoints] = {}
        if previous is not None and previous._was_built_with(
            self._overrides, policies, excluded
        ):
            self._reusable = previous._selected or previous._reusable

    def endpoints(
        self,
        selector: Selector,
        customer: str = "",
        keys: frozenset[tuple[str, str]] = frozenset(),
    ) -> tuple[Endpoint, ...]:
        """Return the endpoints that a service's selector matches, in order of `key`.

        Each carries the customer's policy for calls to it. If `keys` is not empty, only
        endpoints with these keys are returned. The same tuple is returned until one of
        its endpoints changes.
        """
        selection = (selector, customer, keys)
        selected = self._selected.get(selection)
        if selected is None:
            before = self._reusable.get(selection, _NONE_SELECTED)
            selected = self._select(selection, before)
            self._selected[selection] = selected
        return selected.endpoints

    def _was_built_with(
        self,
        overrides: Mapping[str, Labels],
        policies: PolicyTable,
        excluded: Collection[tuple[str, str]],
    ) -> bool:
        return (
            self._overrides == overrides
            and self._policies == policies
            and self._excluded == excluded
        )

    def _select(
        self, selection: _Selection, before: _SelectedEndpoints
    ) -> _SelectedEndpoints:
        selector, customer, keys = selection
        policy_of = lambda labels: self._policies.find(customer, labels)
        by_vm: dict[str, tuple[Member, tuple[Endpoint, ...]]] = {}
        for member in self._members:
            known = before.by_vm.get(member.vm)
            if known is None or known[0] is not member:
                selected = iter_endpoints(
                    (member,), selector, self._overrides, policy_of
                )
                usable = (
                    item
                    for item in selected
                    if item.key not in self._excluded and (not keys or item.key in keys)
                )
                known = (member, tuple(usable))
            by_vm[member.vm] = known
        found = [item for _, endpoints in by_vm.values() for item in endpoints]
        endpoints = tuple(sorted(found, key=_endpoint_order))
        if endpoints == before.endpoints:
            endpoints = before.endpoints
        return _SelectedEndpoints(endpoints, by_vm)


class _SelectedEndpoints(Struct, frozen=True):
    """The endpoints that a selector matches: sorted by key, and grouped by VM.

    `by_vm` maps the name of a VM to its member record and the member's endpoints.
    """

    endpoints: tuple[Endpoint, ...] = ()
    by_vm: Mapping[str, tuple[Member, tuple[Endpoint, ...]]] = field(
        default_factory=dict
    )


_NONE_SELECTED: Final = _SelectedEndpoints()
# A selector, a customer and the keys of the only endpoints to select, if not empty.
_Selection = tuple[Selector, str, frozenset[tuple[str, str]]]


def iter_endpoints(
    members: Iterable[Member],
    selector: Selector,
    overrides: Mapping[str, Labels],
    policy_of: Callable[[Labels], Policy] = lambda labels: DEFAULT_POLICY,
) -> Iterator[Endpoint]:
    """Yield the endpoints that a selector matches and that accept calls.

    Targets that are draining and members that are not usable are left out.
    """
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
    """Return a target's labels after the operators' overrides.

    The override of the VM is applied first, then that of the target.
    """
    labels = dict(target.labels)
    for workload in (vm, target.name):
        apply_override(labels, overrides.get(workload, {}))
    return labels


def apply_override(labels: dict[str, str], override: Labels) -> None:
    """Apply an override to `labels` in place; an empty value removes a label."""
    for key, value in override.items():
        if value:
            labels[key] = value
        else:
            labels.pop(key, None)


def label_overrides_by_workload(snapshots: Iterable[Snapshot]) -> dict[str, Labels]:
    """Return the label overrides in force, by workload.

    If several customers override the same workload, the last customer by name wins.
    This gives the same result on all daemons, regardless of the order in which the
    versions arrived.
    """
    by_customer = sorted(snapshots, key=lambda snapshot: snapshot.head.customer)
    return {
        override.workload: override.labels
        for snapshot in by_customer
        for override in snapshot.intent.label_overrides
    }


def _iter_compiled_routes(
    snapshots: Iterable[Snapshot], proxy_labels: Labels
) -> Iterator[CompiledRoute]:
    # Thousands of routes share a few selectors; each selector is matched once.
    selects_proxy = functools.cache(
        lambda text: parse_selector(text).unwrap().matches(proxy_labels)
    )
    for snapshot in snapshots:
        services = {
            service.name: (service, parse_selector(service.selector).unwrap())
            for service in snapshot.intent.services
        }
        customer, version = snapshot.head.customer, snapshot.head.version
        for route in snapshot.intent.routes:
            if not selects_proxy(route.proxies):
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


def _precedence(compiled: CompiledRoute) -> tuple[str, str]:
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
