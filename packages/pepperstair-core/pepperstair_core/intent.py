"""What operators state: one intent document per customer.

A document names services by selectors over target labels, routes by selectors
over proxy labels, policies and label overrides. It never lists VMs.
"""

from __future__ import annotations

import dataclasses
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Final

from result import Err, Result

from .labels import is_label_name, iter_label_faults, parse_selector
from .schema import Fault, option, read_document

# Bounds the time for which the reading of a version holds up a proxy's only thread.
MAX_ROUTES: Final = 10_000
MAX_SERVICES: Final = 500
PRIORITIES: Final = ("urgent", "normal", "deferrable")


@dataclass(frozen=True, slots=True)
class Service:
    """A set of targets, chosen by their labels."""

    name: str = option("Name that routes refer to.")
    selector: str = option("Selector over target labels.")


@dataclass(frozen=True, slots=True)
class Split:
    """A service that takes a share of a route's requests."""

    service: str = option("Service of the same document.")
    weight: int = option(
        "Share of the requests, beside the weights of the other splits.",
        minimum=0,
        maximum=1_000_000,
    )


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests with a host and path prefix go, and how they are treated."""

    name: str = option("Name of the route, unique in the document.")
    path_prefix: str = option("Path prefix that the route matches.")
    service: str = option(
        "Service of the same document that the requests go to; empty with splits.",
        default="",
    )
    host: str = option("Host that the route matches; empty for all.", default="")
    proxies: str = option(
        "Selector over proxy labels; empty for every proxy.", default=""
    )
    priority: str = option(
        "Order in which waiting requests are served.",
        default="normal",
        choices=PRIORITIES,
    )
    is_idempotent: bool = option(
        "Whether the requests may safely run twice.", default=False
    )
    timeout_ms: int = option(
        "Time within which an answer is due.", default=2000, minimum=1, maximum=600_000
    )
    splits: tuple[Split, ...] = option(
        "Services that share the requests by weight, in place of one service.",
        default=(),
    )
    n_attempts_max: int = option(
        "Targets that one request may be sent to, one after the other.",
        default=3,
        minimum=1,
        maximum=100,
    )
    objective_ms: int = option(
        "Time within which callers want the answer; 0 for the timeout.",
        default=0,
        minimum=0,
        maximum=600_000,
    )

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that requests of the route may go to."""
        if self.splits:
            return tuple(split.service for split in self.splits)
        return (self.service,)


@dataclass(frozen=True, slots=True)
class Policy:
    """Limits for the targets that a selector chooses."""

    name: str = option("Name of the policy, unique in the document.")
    selector: str = option("Selector over target labels.")
    n_queued_max: int = option(
        "Requests that may wait beside one target.",
        default=256,
        minimum=0,
        maximum=10_000,
    )
    retry_budget_percent: int = option(
        "Retries allowed for each hundred calls.", default=10, minimum=0, maximum=100
    )
    ejection_errors: int = option(
        "Errors in a row after which a target is ejected for a while.",
        default=5,
        minimum=1,
        maximum=1000,
    )
    ejected_percent_max: int = option(
        "Share of a service's targets that may be ejected at once.",
        default=50,
        minimum=0,
        maximum=100,
    )


@dataclass(frozen=True, slots=True)
class LabelOverride:
    """Labels that operators set on a workload, over those it announced."""

    workload: str = option("Name of the VM or target that carries the labels.")
    labels: dict[str, str] = option("Labels to set; an empty value removes one.")


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives that the burn report measures against."""

    availability_percent: float = option(
        "Share of urgent and normal calls that must be answered.",
        default=99.9,
        minimum=50,
        maximum=99.999,
    )
    convergence_ms: int = option(
        "Time within which a change must be in force everywhere.",
        default=9000,
        minimum=100,
        maximum=600_000,
    )


@dataclass(frozen=True, slots=True)
class Intent:
    """All that the operators of one customer have stated."""

    customer: str = option("Customer whose document this is.")
    services: tuple[Service, ...] = option("Services.", default=())
    routes: tuple[Route, ...] = option("Routes.", default=())
    policies: tuple[Policy, ...] = option("Policies.", default=())
    label_overrides: tuple[LabelOverride, ...] = option("Label overrides.", default=())
    objectives: Objectives = option("Objectives.", default=Objectives())


def parse_intent_toml(text: str) -> Result[Intent, list[Fault]]:
    """Parse and validate a TOML intent document, listing every fault."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([Fault("document", f"TOML ({error})")])
    return read_intent(table)


def read_intent(table: object) -> Result[Intent, list[Fault]]:
    """Read an intent from a parsed table and validate the whole of it."""
    return read_document(Intent, table, iter_intent_faults)


def iter_intent_faults(intent: Intent) -> Iterator[Fault]:
    """Yield every fault of a document as a whole.

    A route whose service is missing would send its requests nowhere, so it is
    a fault of the document and never reaches a proxy.
    """
    if not is_label_name(intent.customer):
        yield Fault("customer", f"a name, not {intent.customer!r}")
    yield from _iter_size_faults(intent)
    yield from _iter_duplicate_faults("services", intent.services)
    yield from _iter_duplicate_faults("routes", intent.routes)
    yield from _iter_duplicate_faults("policies", intent.policies)
    yield from _iter_selector_faults(intent)
    known = {service.name for service in intent.services}
    for index, route in enumerate(intent.routes):
        where = f"routes[{index}]"
        yield from _iter_destination_faults(where, route, known)
        if not route.path_prefix.startswith("/"):
            wanted = f"a path that starts with '/', not {route.path_prefix!r}"
            yield Fault(f"{where}.path_prefix", wanted)
    yield from _iter_override_faults(intent)


def _iter_destination_faults(
    where: str, route: Route, known: set[str]
) -> Iterator[Fault]:
    if route.splits and route.service:
        yield Fault(f"{where}.service", "nothing, as the route has splits")
    if route.splits and not any(split.weight for split in route.splits):
        yield Fault(f"{where}.splits", "a weight over 0")
    for service in route.services:
        if service not in known:
            wanted = f"a service of this document, not {service!r}"
            key = "splits" if route.splits else "service"
            yield Fault(f"{where}.{key}", wanted)


def intent_to_table(intent: Intent) -> dict[str, object]:
    """Return the document as plain tables, ready for JSON or msgpack."""
    return _plain(dataclasses.asdict(intent))


def _plain(value: object) -> object:
    if isinstance(value, Mapping):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_plain(item) for item in value]
    return value


def _iter_size_faults(intent: Intent) -> Iterator[Fault]:
    if len(intent.routes) > MAX_ROUTES:
        yield Fault("routes", f"at most {MAX_ROUTES} routes")
    if len(intent.services) > MAX_SERVICES:
        yield Fault("services", f"at most {MAX_SERVICES} services")


def _iter_duplicate_faults(where: str, items: tuple) -> Iterator[Fault]:
    seen = set()
    for index, item in enumerate(items):
        if item.name in seen:
            wanted = f"a name used once, not {item.name!r} again"
            yield Fault(f"{where}[{index}].name", wanted)
        seen.add(item.name)


def _iter_selector_faults(intent: Intent) -> Iterator[Fault]:
    selectors = [
        *(
            (f"services[{i}].selector", s.selector)
            for i, s in enumerate(intent.services)
        ),
        *((f"routes[{i}].proxies", r.proxies) for i, r in enumerate(intent.routes)),
        *(
            (f"policies[{i}].selector", p.selector)
            for i, p in enumerate(intent.policies)
        ),
    ]
    for where, text in selectors:
        parsed = parse_selector(text)
        if parsed.is_err():
            yield Fault(where, parsed.unwrap_err())


def _iter_override_faults(intent: Intent) -> Iterator[Fault]:
    seen = set()
    for index, override in enumerate(intent.label_overrides):
        where = f"label_overrides[{index}]"
        if override.workload in seen:
            wanted = f"a workload named once, not {override.workload!r} again"
            yield Fault(f"{where}.workload", wanted)
        seen.add(override.workload)
        if not is_label_name(override.workload):
            yield Fault(f"{where}.workload", f"a name, not {override.workload!r}")
        yield from iter_label_faults(f"{where}.labels", override.labels)


__all__ = [
    "MAX_ROUTES",
    "MAX_SERVICES",
    "PRIORITIES",
    "Intent",
    "LabelOverride",
    "Objectives",
    "Policy",
    "Route",
    "Service",
    "Split",
    "intent_to_table",
    "iter_intent_faults",
    "parse_intent_toml",
    "read_intent",
]
