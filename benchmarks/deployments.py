"""Two users' deployments, with one daemon beside each instance of a service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from .fleet import DaemonProcess, Fleet, fetch_async, status_of, wait_until
from .intents import RouteSpec, apply_intent, intent_toml

SMALL_CUSTOMERS: Final = ("duende", "sorrel", "parang")


@dataclass(frozen=True, slots=True)
class Service:
    """A service, the number of its instances and the slots of each instance."""

    name: str
    n_instances: int
    n_slots: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """The availability zones and services of one user."""

    customer: str
    zones: tuple[str, ...]
    services: tuple[Service, ...]

    @property
    def n_slots(self) -> int:
        """Return the number of slots of all instances together."""
        return sum(service.n_instances * service.n_slots for service in self.services)


LANTERN: Final = Deployment(
    "lantern",
    ("pos-a", "pos-b", "pos-c"),
    (Service("ledger", 7, 12), Service("vault", 5, 12)),
)
SAYAW: Final = Deployment(
    "sayaw",
    ("luz-a", "luz-b", "luz-c", "luz-d"),
    (Service("klase", 6, 9), Service("aklatan", 4, 9)),
)
DEPLOYMENTS: Final = {item.customer: item for item in (LANTERN, SAYAW)}


@dataclass(frozen=True, slots=True)
class RunningDeployment:
    """A running deployment: its fleet and the addresses of its targets."""

    deployment: Deployment
    fleet: Fleet
    targets: tuple[str, ...]

    @property
    def daemons(self) -> list[DaemonProcess]:
        """Return every daemon of the deployment."""
        return self.fleet.daemons


def start_deployment(
    deployment: Deployment, fleet: Fleet, work_ms: float
) -> RunningDeployment:
    """Start daemons and targets, and put the routes of every customer in force."""
    fleet.start_platform()
    instances = [
        (service, index)
        for service in deployment.services
        for index in range(service.n_instances)
    ]
    for number, (service, index) in enumerate(instances):
        zone = deployment.zones[number % len(deployment.zones)]
        fleet.start_daemon(f"{service.name}-{index}", zone, "{}")
    targets = tuple(
        fleet.start_target(
            daemon,
            service.name,
            *("--name", f"target-{daemon.vm}"),
            *("--n-slots", str(service.n_slots)),
            *("--work-ms", str(work_ms)),
        )
        for daemon, (service, _) in zip(fleet.daemons, instances, strict=True)
    )
    _wait_for(fleet, lambda status: status.get("ready"), "daemon ready")
    documents = _intent_documents(deployment)
    for customer, document in documents.items():
        applied = apply_intent(fleet.daemons[0], customer, document)
        if applied.status != 200:
            raise AssertionError(
                f"the intent of {customer} was not accepted: {applied}"
            )
    customers = set(documents)
    _wait_for(
        fleet,
        lambda s: customers <= s["versions"].keys(),
        "routes of all customers in force",
    )
    _wait_for(
        fleet,
        lambda status: sum(map(_n_targets, status["members"])) == len(targets),
        "all targets known",
    )
    return RunningDeployment(deployment, fleet, targets)


async def configure_target(target: str, setting: str, value: str) -> None:
    """Set the `state`, `status` or `work-ms` of a target stand-in."""
    await fetch_async(target, "PUT", f"/stand-in/{setting}", value.encode())


def _intent_documents(deployment: Deployment) -> dict[str, str]:
    names = tuple(service.name for service in deployment.services)
    kinds = (("urgent", 2000), ("normal", 2000), ("deferrable", 10_000))
    routes = tuple(
        RouteSpec(
            f"{name}-{priority}",
            f"/{name}/{priority}",
            name,
            priority,
            is_idempotent=priority != "urgent",
            timeout_ms=timeout_ms,
        )
        for name in names
        for priority, timeout_ms in kinds
    )
    documents = {deployment.customer: intent_toml(deployment.customer, names, routes)}
    for customer in SMALL_CUSTOMERS:
        route = RouteSpec("notes", f"/{customer}", names[0], is_idempotent=True)
        documents[customer] = intent_toml(customer, names[:1], (route,))
    return documents


def _n_targets(member: dict) -> int:
    return len(member["targets"])


def _wait_for(fleet: Fleet, is_met, what: str) -> None:
    for daemon in fleet.daemons:
        wait_until(lambda at=daemon: is_met(status_of(at)), f"{what}: {daemon.vm}", 60)


__all__ = [
    "DEPLOYMENTS",
    "LANTERN",
    "SAYAW",
    "SMALL_CUSTOMERS",
    "Deployment",
    "RunningDeployment",
    "Service",
    "start_deployment",
    "configure_target",
]
