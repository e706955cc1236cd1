"""Experiments read from TOML: services, routes, faults and policies."""

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
    """One service; its targets are assigned to the availability zones in turn."""

    name: Annotated[str, Option("Name of the service.")]
    speeds: Annotated[tuple[float, ...], Option("Speed of each target; 1 is normal.")]
    n_slots: Annotated[int, Option("Concurrent calls of a target.", minimum=1)] = 9


class InnerCalls(Struct, frozen=True):
    """Sequential calls that a target makes while it runs a request."""

    route: Annotated[str, Option("Route of the calls.")]
    n_times: Annotated[int, Option("Calls for one run.", minimum=1)] = 1
    share: Annotated[float, Option("Share of runs that make them.", minimum=0)] = 1.0


class RouteModel(Struct, frozen=True):
    """The requests of one route and the clients that send them."""

    name: Annotated[str, Option("Name of the route.")]
    service: Annotated[str, Option("Service that runs the requests.")]
    per_s: Annotated[float, Option("Client requests per second.", minimum=0)] = 0.0
    work_ms: Annotated[float, Option("Mean work of a request.", minimum=0)] = 100.0
    spread: Annotated[float, Option("Standard deviation of the log of work.")] = 0.5
    priority: Annotated[str, Option("Priority.", choices=PRIORITIES)] = "normal"
    is_idempotent: Annotated[bool, Option("Whether it may run twice.")] = True
    objective_ms: Annotated[int, Option("Latency objective.", minimum=1)] = 500
    timeout_ms: Annotated[int, Option("Timeout of one request.", minimum=1)] = 1500
    patience_ms: Annotated[int, Option("Client timeout over retries.", minimum=1)] = (
        3000
    )
    n_retries: Annotated[int, Option("Client retries of a request.", minimum=0)] = 2
    n_attempts: Annotated[int, Option("Targets that the daemon may try.")] = 2
    worth: Annotated[float, Option("Worth of an answer in time.", minimum=0)] = 1.0
    late_worth: Annotated[float, Option("Worth of a late answer.", minimum=0)] = 0.3
    inner: Annotated[tuple[InnerCalls, ...], Option("Calls to other services.")] = ()


class FaultModel(Struct, frozen=True):
    """A temporary fault of some targets of a service.

    `slow` multiplies the time of the work, `shed` refuses a share of calls, and
    `away` makes the target unreachable.
    """

    kind: Annotated[str, Option("Kind of the fault.", choices=FAULT_KINDS)]
    service: Annotated[str, Option("Service of the affected targets.")]
    from_s: Annotated[float, Option("Start of the fault.", minimum=0)]
    for_s: Annotated[float, Option("Duration of the fault.", minimum=0)]
    n_targets: Annotated[
        int, Option("Number of affected targets, from the first.", minimum=1)
    ]
    factor: Annotated[
        float, Option("Slowdown factor, or share of refused calls.", minimum=0)
    ] = 1.0


class ConstantChange(Struct, frozen=True):
    """A changed value of a constant in a decision module."""

    name: Annotated[
        str, Option("Module and constant, as in `service_times.SHORT_SHARE`.")
    ]
    value: Annotated[float, Option("Value of the constant.")]


class Policy(Struct, frozen=True):
    """A variant of the product's decisions, with changed constants."""

    name: Annotated[str, Option("Name in the table.")]
    constants: Annotated[tuple[ConstantChange, ...], Option("Changed constants.")] = ()
    are_zones_known: Annotated[
        bool, Option("Whether daemons prefer targets in their own zone.")
    ] = True


class Experiment(Struct, frozen=True):
    """A load with its faults, and the policies to compare on it."""

    name: Annotated[str, Option("Title of the experiment.")]
    services: Annotated[tuple[ServiceModel, ...], Option("Services.")]
    routes: Annotated[tuple[RouteModel, ...], Option("Routes.")]
    length_s: Annotated[float, Option("Time for which clients send.", minimum=0)] = 20.0
    n_zones: Annotated[int, Option("Availability zones.", minimum=1)] = 3
    zone_ms: Annotated[float, Option("One-way latency between zones.", minimum=0)] = 0.5
    load: Annotated[float, Option("Factor on all rates.", minimum=0)] = 1.0
    n_retries_min: Annotated[
        int, Option("Retries allowed to each service in 10 s.", minimum=0)
    ] = 56
    retry_ratio: Annotated[float, Option("Further retries for each request.")] = 0.016
    has_accounts: Annotated[
        bool,
        Option("Whether requests of clients have keys, and calls of targets none."),
    ] = False
    faults: Annotated[tuple[FaultModel, ...], Option("Faults.")] = ()
    policies: Annotated[
        tuple[Policy, ...], Option("Variants to compare with the product.")
    ] = ()


def parse_experiment_toml(text: str) -> Result[Experiment, list[Fault]]:
    """Parse and validate an experiment, or list every fault in it."""
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
