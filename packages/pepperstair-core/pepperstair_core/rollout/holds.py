"""Which versions of a service may get requests without an order that names them."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import Final

from .records import OrderEnd
from .version_records import VersionRecords

# Time by which a confirmation that there are no further orders must be newer than the
# first sight of a version. It covers the way of a slow answer from the platform.
CONFIRMATION_MARGIN_MS: Final = 1_000
# Time after which the only version of a service counts as its usual one. By then, a
# daemon that has just started knows the targets of all members.
ONLY_VERSION_MS: Final = 5_000


class VersionHolds:
    """Holds versions back that may be the subject of an order not yet known here.

    A version is released once a confirmation shows that no order names it, or after it
    was the only version of its service for `ONLY_VERSION_MS`. Before that it is held,
    unless it is the only version. `records` tell what earlier orders have decided: the
    version that the last completed one has put in place is released, and one that was
    rolled back is held until another order names it. A version that was superseded, or
    whose order was replaced, gets requests only where no other one is left.
    """

    def __init__(self) -> None:
        self._first_seen_ms: dict[tuple[str, str], float] = {}
        self._released: set[tuple[str, str]] = set()
        self.records = VersionRecords()

    def see(
        self,
        service: str,
        versions: Collection[str],
        ordered_version: str | None,
        confirmed_ms: float,
        now_ms: float,
    ) -> Iterator[tuple[str, str]]:
        """Record the versions of a service's targets and release those that may be.

        `ordered_version` is the version that the order in force names, and
        `confirmed_ms` the moment at which all orders were last known here. Yields each
        version that is released, with the cause.
        """
        for version in versions:
            first_ms = self._first_seen_ms.setdefault((service, version), now_ms)
            if version == ordered_version or self.is_decided(service, version):
                continue
            is_confirmed = confirmed_ms > first_ms + CONFIRMATION_MARGIN_MS
            is_usual = len(versions) == 1 and now_ms - first_ms > ONLY_VERSION_MS
            if is_confirmed or is_usual:
                self._released.add((service, version))
                yield version, "no order names it" if is_confirmed else "only version"

    def is_released(self, service: str, version: str) -> bool:
        """Return whether a version may get requests without an order."""
        end = self.records.ends(service).get(version)
        return end is OrderEnd.COMPLETED or (service, version) in self._released

    def is_decided(self, service: str, version: str) -> bool:
        """Return whether time and confirmations don't change how a version is held."""
        has_record = version in self.records.ends(service)
        return has_record or (service, version) in self._released

    def held(
        self, service: str, versions: Collection[str], ordered_version: str | None
    ) -> frozenset[str]:
        """Return which of the versions get no requests, whatever the order's phase."""
        ends = self.records.ends(service)
        others = frozenset(versions) - {ordered_version}

        def ended(*kinds: OrderEnd | None) -> frozenset[str]:
            return frozenset(item for item in others if ends.get(item) in kinds)

        usual = ended(None, OrderEnd.COMPLETED)
        if len(usual) > 1:
            return others - {item for item in usual if self.is_released(service, item)}
        return others - (
            usual or ended(OrderEnd.SUPERSEDED) or ended(OrderEnd.REPLACED)
        )


__all__ = ["CONFIRMATION_MARGIN_MS", "ONLY_VERSION_MS", "VersionHolds"]
