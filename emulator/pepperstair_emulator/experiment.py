"""What an experiment plays: services, routes, faults and policies, read from TOML."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass

from result import Err, Result

from pepperstair_core.intent import PRIORITIES
from pepperstair_core.schema import Fault, option, read_document

FAULT_KINDS = ("slow", "shed", "away")


@dataclass(frozen=True, slots=True)
class ServiceModel:
    """One service; its targets stand in the availability zones in turn."""

    name: str = option("Name of the service.")
    speeds: tuple[float, ...] = option("Speed of each target; 1 is usual.")
    n_slots: int = option("Calls that a target runs at once.", default=9, minimum=1)


@dataclass(frozen=True, slots=True)
class InnerCalls:
    """Calls that a target makes, one after the other, while it runs a request."""

    route: str = option("Route that is called.")
    n_times: int = option("Calls for one run.", default=1, minimum=1)
    share: float = option("Share of runs that make them.", default=1.0, minimum=0)


@dataclass(frozen=True, slots=True)
class RouteModel:
    """The requests of one route and the callers that send them."""

    name: str = option("Name of the route.")
    service: str = option("Service that runs the requests.")
    per_s: float = option("Requests of clients a second.", default=0.0, minimum=0)
    work_ms: float = option("Mean work of a request.", default=100.0, minimum=0)
    spread: float = option("Spread of the logarithm of the work.", default=0.5)
    priority: str = option("Priority.", default="normal", choices=PRIORITIES)
    is_idempotent: bool = option("Whether it may run twice.", default=True)
    objective_ms: int = option("When an answer is wanted.", default=500, minimum=1)
    timeout_ms: int = option("Longest time of an attempt.", default=1500, minimum=1)
    patience_ms: int = option("How long a client waits.", default=3000, minimum=1)
    n_retries: int = option("How often a client comes back.", default=2, minimum=0)
    n_attempts: int = option("Targets that one attempt may reach.", default=2)
    worth: float = option("Worth of an answer in time.", default=1.0, minimum=0)
    late_worth: float = option("Worth of a later answer.", default=0.3, minimum=0)
    inner: tuple[InnerCalls, ...] = option("Calls to other services.", default=())


@dataclass(frozen=True, slots=True)
class FaultModel:
    """Something that goes wrong for a while at some targets of a service."""

    kind: str = option("What goes wrong.", choices=FAULT_KINDS)
    service: str = option("Service whose targets it meets.")
    from_s: float = option("When it begins.", minimum=0)
    for_s: float = option("How long it lasts.", minimum=0)
    n_targets: int = option("How many targets it meets, the first ones.", minimum=1)
    factor: float = option(
        "Times as slow, or share of calls turned away.", default=1.0, minimum=0
    )


@dataclass(frozen=True, slots=True)
class ConstantChange:
    """Another value for a constant of a decision."""

    name: str = option("Module and constant, as in `service_times.SHORT_SHARE`.")
    value: float = option("Its value.")


@dataclass(frozen=True, slots=True)
class Policy:
    """A variant of the decisions: constants of their modules with other values."""

    name: str = option("Name in the table.")
    constants: tuple[ConstantChange, ...] = option("What differs.", default=())
    are_zones_known: bool = option("Whether the own zone is preferred.", default=True)


@dataclass(frozen=True, slots=True)
class Experiment:
    """One load with its faults, and the policies that are compared on it."""

    name: str = option("What the experiment shows.")
    services: tuple[ServiceModel, ...] = option("Services.")
    routes: tuple[RouteModel, ...] = option("Routes.")
    length_s: float = option("How long clients send.", default=20.0, minimum=0)
    n_zones: int = option("Availability zones.", default=3, minimum=1)
    zone_ms: float = option("Time between zones, one way.", default=0.5, minimum=0)
    load: float = option("Factor on all rates.", default=1.0, minimum=0)
    n_retries_min: int = option("Retries of a service in 10 s.", default=56, minimum=0)
    retry_ratio: float = option("Further retries for each request.", default=0.016)
    faults: tuple[FaultModel, ...] = option("Faults.", default=())
    policies: tuple[Policy, ...] = option("Variants beside the product's.", default=())


def parse_experiment_toml(text: str) -> Result[Experiment, list[Fault]]:
    """Parse and check an experiment, listing every fault."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([Fault("document", f"TOML ({error})")])
    return read_document(Experiment, table, _iter_faults)


def _iter_faults(experiment: Experiment) -> Iterator[Fault]:
    services = {service.name for service in experiment.services}
    routes = {route.name for route in experiment.routes}
    for route in experiment.routes:
        if route.service not in services:
            yield Fault(f"routes.{route.name}", f"a service, not {route.service!r}")
        for inner in route.inner:
            if inner.route not in routes:
                yield Fault(f"routes.{route.name}", f"a route, not {inner.route!r}")
    for fault in experiment.faults:
        if fault.service not in services:
            yield Fault("faults", f"a service, not {fault.service!r}")


__all__ = [
    "ConstantChange",
    "Experiment",
    "FaultModel",
    "InnerCalls",
    "Policy",
    "RouteModel",
    "ServiceModel",
    "parse_experiment_toml",
]
