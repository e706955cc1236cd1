"""Which versions of a service may get requests without an order that names them."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import Final

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
    unless it is the only version. A version that an order named stays barred after the
    order, unless the order was completed or another one names it.
    """

    def __init__(self) -> None:
        self._first_seen_ms: dict[tuple[str, str], float] = {}
        self._released: set[tuple[str, str]] = set()
        self._barred: set[tuple[str, str]] = set()

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
            if version == ordered_version:
                continue
            is_confirmed = confirmed_ms > first_ms + CONFIRMATION_MARGIN_MS
            is_usual = len(versions) == 1 and now_ms - first_ms > ONLY_VERSION_MS
            is_new = (service, version) not in self._released
            if is_new and (is_confirmed or is_usual):
                self._released.add((service, version))
                yield version, "no order names it" if is_confirmed else "only version"

    def is_released(self, service: str, version: str) -> bool:
        """Return whether a version may get requests without an order."""
        return (service, version) in self._released

    def bar(self, service: str, version: str) -> None:
        """Bar the version of an order that was rolled back or replaced."""
        self._barred.add((service, version))

    def admit(self, service: str, version: str) -> None:
        """Admit a version that an order has put in place of all others."""
        self._barred.discard((service, version))
        self._released.add((service, version))

    def held(
        self, service: str, versions: Collection[str], ordered_version: str | None
    ) -> frozenset[str]:
        """Return which of the versions get no requests, whatever the order's phase."""
        others = [version for version in versions if version != ordered_version]
        barred = {item for item in others if (service, item) in self._barred}
        unbarred = [version for version in others if version not in barred]
        if len(unbarred) <= 1:
            return frozenset(barred)
        unreleased = {
            item for item in unbarred if (service, item) not in self._released
        }
        return frozenset(barred | unreleased)


__all__ = ["CONFIRMATION_MARGIN_MS", "ONLY_VERSION_MS", "VersionHolds"]
