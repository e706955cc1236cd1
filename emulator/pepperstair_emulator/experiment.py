"""What an experiment plays: services, routes, faults and policies, read from TOML."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from typing import Annotated

from msgspec import Struct
from result import Err, Result

from pepperstair_core.intent import PRIORITIES
from pepperstair_core.schema import Fault, Option, read_document

FAULT_KINDS = ("slow", "shed", "away")


class ServiceModel(Struct, frozen=True):
    """One service; its targets stand in the availability zones in turn."""

    name: Annotated[str, Option("Name of the service.")]
    speeds: Annotated[tuple[float, ...], Option("Speed of each target; 1 is usual.")]
    n_slots: Annotated[int, Option("Calls that a target runs at once.", minimum=1)] = 9


class InnerCalls(Struct, frozen=True):
    """Calls that a target makes, one after the other, while it runs a request."""

    route: Annotated[str, Option("Route that is called.")]
    n_times: Annotated[int, Option("Calls for one run.", minimum=1)] = 1
    share: Annotated[float, Option("Share of runs that make them.", minimum=0)] = 1.0


class RouteModel(Struct, frozen=True):
    """The requests of one route and the callers that send them."""

    name: Annotated[str, Option("Name of the route.")]
    service: Annotated[str, Option("Service that runs the requests.")]
    per_s: Annotated[float, Option("Requests of clients a second.", minimum=0)] = 0.0
    work_ms: Annotated[float, Option("Mean work of a request.", minimum=0)] = 100.0
    spread: Annotated[float, Option("Spread of the logarithm of the work.")] = 0.5
    priority: Annotated[str, Option("Priority.", choices=PRIORITIES)] = "normal"
    is_idempotent: Annotated[bool, Option("Whether it may run twice.")] = True
    objective_ms: Annotated[int, Option("When an answer is wanted.", minimum=1)] = 500
    timeout_ms: Annotated[int, Option("Longest time of an attempt.", minimum=1)] = 1500
    patience_ms: Annotated[int, Option("How long a client waits.", minimum=1)] = 3000
    n_retries: Annotated[int, Option("How often a client comes back.", minimum=0)] = 2
    n_attempts: Annotated[int, Option("Targets that one attempt may reach.")] = 2
    worth: Annotated[float, Option("Worth of an answer in time.", minimum=0)] = 1.0
    late_worth: Annotated[float, Option("Worth of a later answer.", minimum=0)] = 0.3
    inner: Annotated[tuple[InnerCalls, ...], Option("Calls to other services.")] = ()


class FaultModel(Struct, frozen=True):
    """Something that goes wrong for a while at some targets of a service."""

    kind: Annotated[str, Option("What goes wrong.", choices=FAULT_KINDS)]
    service: Annotated[str, Option("Service whose targets it meets.")]
    from_s: Annotated[float, Option("When it begins.", minimum=0)]
    for_s: Annotated[float, Option("How long it lasts.", minimum=0)]
    n_targets: Annotated[
        int, Option("How many targets it meets, the first ones.", minimum=1)
    ]
    factor: Annotated[
        float, Option("Times as slow, or share of calls turned away.", minimum=0)
    ] = 1.0


class ConstantChange(Struct, frozen=True):
    """Another value for a constant of a decision."""

    name: Annotated[
        str, Option("Module and constant, as in `service_times.SHORT_SHARE`.")
    ]
    value: Annotated[float, Option("Its value.")]


class Policy(Struct, frozen=True):
    """A variant of the decisions: constants of their modules with other values."""

    name: Annotated[str, Option("Name in the table.")]
    constants: Annotated[tuple[ConstantChange, ...], Option("What differs.")] = ()
    are_zones_known: Annotated[bool, Option("Whether the own zone is preferred.")] = (
        True
    )


class Experiment(Struct, frozen=True):
    """One load with its faults, and the policies that are compared on it."""

    name: Annotated[str, Option("What the experiment shows.")]
    services: Annotated[tuple[ServiceModel, ...], Option("Services.")]
    routes: Annotated[tuple[RouteModel, ...], Option("Routes.")]
    length_s: Annotated[float, Option("How long clients send.", minimum=0)] = 20.0
    n_zones: Annotated[int, Option("Availability zones.", minimum=1)] = 3
    zone_ms: Annotated[float, Option("Time between zones, one way.", minimum=0)] = 0.5
    load: Annotated[float, Option("Factor on all rates.", minimum=0)] = 1.0
    n_retries_min: Annotated[
        int, Option("Retries of a service in 10 s.", minimum=0)
    ] = 56
    retry_ratio: Annotated[float, Option("Further retries for each request.")] = 0.016
    faults: Annotated[tuple[FaultModel, ...], Option("Faults.")] = ()
    policies: Annotated[
        tuple[Policy, ...], Option("Variants beside the product's.")
    ] = ()


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
