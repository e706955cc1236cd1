"""The fleet's targets by service and version."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator

import structlog

from pepperstair_core.members import VERSION_LABEL, Member, Target, TargetState
from pepperstair_core.rollout import RolloutFleet

log = structlog.get_logger(__name__)

_Placed = tuple[str, Target]


class ServiceTargets:
    """The targets of the usable members, by service and version."""

    def __init__(self, service_of: Callable[[Target], str]) -> None:
        self._service_of = service_of
        self._by_service: dict[str, dict[str, list[_Placed]]] = {}
        self.n_members = 1

    def update(self, members: Iterable[Member]) -> None:
        """Replace the targets by those of the given members."""
        by_service = defaultdict(lambda: defaultdict(list))
        usable = [member for member in members if member.is_usable]
        for member in usable:
            for target in member.targets:
                versions = by_service[self._service_of(target)]
                versions[target.label(VERSION_LABEL)].append((member.vm, target))
        self._by_service = by_service
        self.n_members = max(1, len(usable))

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that have targets."""
        return tuple(self._by_service)

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service's targets."""
        return frozenset(self._by_service.get(service, ()))

    def keys(self, service: str, version: str) -> list[tuple[str, str]]:
        """Return the endpoint keys of a version's targets that accept calls."""
        return [
            (vm, target.name) for vm, target in self._iter_serving(service, version)
        ]

    def n_slots(self, service: str, version: str) -> int:
        """Return the slots of a version's targets that accept calls."""
        return sum(target.n_slots for _, target in self._iter_serving(service, version))

    def fleet(self, service: str, target_version: str) -> RolloutFleet:
        """Return the targets of a service as the decision on its rollout needs them."""
        old = self.versions(service) - {target_version}
        by_version = self._by_service.get(service, {})
        return RolloutFleet(
            frozenset(vm for version in old for vm, _ in by_version[version]),
            sum(self.n_slots(service, version) for version in old),
            self.n_slots(service, target_version),
        )

    def _iter_serving(self, service: str, version: str) -> Iterator[_Placed]:
        for vm, target in self._by_service.get(service, {}).get(version, ()):
            if target.state is not TargetState.DRAINING:
                yield vm, target


__all__ = ["ServiceTargets"]
