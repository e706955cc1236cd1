"""The fleet's targets by service and version."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import structlog

from pepperstair_core.members import VERSION_LABEL, Member, Target, TargetState
from pepperstair_core.rollout import RolloutFleet

log = structlog.get_logger(__name__)


class ServiceTargets:
    """The targets of the usable members, by service and version."""

    def __init__(self, service_of: Callable[[Target], str]) -> None:
        self._service_of = service_of
        self._members: dict[str, Member] = {}
        self._by_service: dict[str, dict[str, dict[tuple[str, str], Target]]] = {}

    @property
    def n_members(self) -> int:
        """Return the number of usable members, at least 1."""
        return max(1, len(self._members))

    def update(self, members: Iterable[Member]) -> None:
        """Replace the targets by those of the given members.

        Only members whose record has changed cost more than a comparison.
        """
        usable = {member.vm: member for member in members if member.is_usable}
        known, self._members = self._members, usable
        for vm, member in known.items():
            if usable.get(vm) is not member:
                self._remove(member)
        for vm, member in usable.items():
            if known.get(vm) is not member:
                self._add(member)

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that have targets."""
        return tuple(self._by_service)

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service's targets."""
        return frozenset(self._by_service.get(service, ()))

    def keys(self, service: str, version: str) -> list[tuple[str, str]]:
        """Return the endpoint keys of a version's targets that accept calls."""
        return [key for key, _ in self._iter_serving(service, version)]

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

    def _add(self, member: Member) -> None:
        for target in member.targets:
            by_version = self._by_service.setdefault(self._service_of(target), {})
            targets = by_version.setdefault(target.label(VERSION_LABEL), {})
            targets[member.vm, target.name] = target

    def _remove(self, member: Member) -> None:
        for target in member.targets:
            service, version = self._service_of(target), target.label(VERSION_LABEL)
            by_version = self._by_service.get(service, {})
            targets = by_version.get(version, {})
            targets.pop((member.vm, target.name), None)
            if not targets:
                by_version.pop(version, None)
            if not by_version:
                self._by_service.pop(service, None)

    def _iter_serving(
        self, service: str, version: str
    ) -> Iterator[tuple[tuple[str, str], Target]]:
        for key, target in self._by_service.get(service, {}).get(version, {}).items():
            if target.state is not TargetState.DRAINING:
                yield key, target


__all__ = ["ServiceTargets"]
