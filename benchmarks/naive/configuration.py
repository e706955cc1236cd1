"""Distribution by polling: reads all heads and whole snapshots from the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import structlog

from pepperstair_core.config import PlatformSettings
from pepperstair_core.events import Event
from pepperstair_core.labels import Labels
from pepperstair_core.routing import (
    RouteTable,
    compile_routes,
    label_overrides_by_workload,
)
from pepperstair_core.versions import Head, Snapshot, make_snapshot
from pepperstair_platform import Platform, head_from_row

log = structlog.get_logger(__name__)

_ALL_HEADS: Final = "head/"


class PollingAgent:
    """Holds the versions in force and fetches newer ones from the platform."""

    def __init__(
        self, platform: Platform, settings: PlatformSettings, proxy_labels: Labels
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._proxy_labels = proxy_labels
        self._in_force: dict[str, Snapshot] = {}
        self._task: asyncio.Task[None] | None = None
        self.route_table = RouteTable()
        self.overrides: Mapping[str, Labels] = {}
        self.is_floor_known = False
        self.on_changed: Callable[[Snapshot], None] = lambda snapshot: None

    def start(self) -> None:
        """Start polling the platform."""
        self._task = asyncio.get_running_loop().create_task(self._poll_forever())

    def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    def versions(self) -> dict[str, int]:
        """Return the version in force of each customer."""
        return {
            customer: snapshot.head.version
            for customer, snapshot in sorted(self._in_force.items())
        }

    def get(self, customer: str) -> Snapshot | None:
        """Return the snapshot in force of a customer."""
        return self._in_force.get(customer)

    def apply(self, snapshot: Snapshot) -> bool:
        """Put a snapshot in force, unless the one in force is at least as new.

        Updates can arrive out of order; comparing versions keeps an older one that
        arrives late from replacing a newer one. Return whether it was applied.
        """
        customer = snapshot.head.customer
        held = self._in_force.get(customer)
        if held is not None and held.head.version >= snapshot.head.version:
            return False
        self._in_force[customer] = snapshot
        self.route_table = compile_routes(self._in_force.values(), self._proxy_labels)
        self.overrides = label_overrides_by_workload(self._in_force.values())
        log.info(
            Event.VERSION_IN_FORCE, customer=customer, version=snapshot.head.version
        )
        self.on_changed(snapshot)
        return True

    async def _poll_forever(self) -> None:
        while True:
            await self._poll()
            await asyncio.sleep(self._settings.poll_interval_ms / 1000)

    async def _poll(self) -> None:
        read = await self._platform.read_rows(_ALL_HEADS)
        if read.is_err():
            return
        heads = [head_from_row(row) for row in read.unwrap()]
        fetched = [await self._fetch(head) for head in self._iter_newer(heads)]
        if all(fetched):
            self.is_floor_known = True

    def _iter_newer(self, heads: list[Head]) -> Iterator[Head]:
        for head in heads:
            held = self._in_force.get(head.customer)
            if held is None or held.head.version < head.version:
                yield head

    async def _fetch(self, head: Head) -> bool:
        """Fetch and apply one version; an invalid one is rejected as a whole."""
        read = await self._platform.get_object(head.digest)
        if read.is_err() or read.unwrap() is None:
            return False
        made = make_snapshot(head, read.unwrap())
        if made.is_err():
            log.error(
                Event.VERSION_REJECTED,
                customer=head.customer,
                version=head.version,
                faults=[str(fault) for fault in made.unwrap_err()],
            )
            return False
        self.apply(made.unwrap())
        return True


__all__ = ["PollingAgent"]
