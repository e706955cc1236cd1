"""The registry of the targets announced to this daemon, and their leases."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import structlog
from msgspec import Struct

from pepperstair_core.events import Event
from pepperstair_core.members import Target

log = structlog.get_logger(__name__)


class _Lease(Struct, frozen=True):
    """A target and the time at which its lease expires."""

    target: Target
    expires_ms: int


class TargetRegistry:
    """Holds the targets of this VM; `on_changed` is called after each change.

    A target is registered until `expire` removes it, and only then do calls to it fail.
    Other daemons leave out a target to which a call was refused until they learn of a
    change, so there must be no refusal without one.
    """

    def __init__(self, lease_ms: int) -> None:
        self.lease_ms = lease_ms
        self.on_changed: Callable[[], None] = lambda: None
        self._leases: dict[str, _Lease] = {}

    def targets(self) -> tuple[Target, ...]:
        """Return the announced targets."""
        return tuple(lease.target for lease in self._leases.values())

    def get(self, name: str) -> Target | None:
        """Return the registered target with a name, or None."""
        lease = self._leases.get(name)
        return None if lease is None else lease.target

    def announce(self, target: Target, now_ms: int) -> None:
        """Add or update a target and renew its lease."""
        lease = self._leases.get(target.name)
        known = None if lease is None else lease.target
        self._leases[target.name] = _Lease(target, now_ms + self.lease_ms)
        if known == target:
            return
        event = Event.TARGET_ANNOUNCED if known is None else Event.TARGET_CHANGED
        log.info(event, target=target.name, state=target.state.value)
        self.on_changed()

    def deregister(self, name: str) -> bool:
        """Remove a target and return whether it was registered."""
        if self._leases.pop(name, None) is None:
            return False
        self.on_changed()
        return True

    def expire(self, now_ms: float) -> None:
        """Remove the targets whose lease has lapsed.

        A crashed target does not deregister. Without expiry, callers would keep getting
        refused connections for as long as the target stayed registered.
        """
        lapsed = list(self._iter_lapsed(now_ms))
        for name in lapsed:
            lease = self._leases.pop(name)
            log.warning(
                Event.TARGET_LEASE_LAPSED,
                target=name,
                overdue_ms=round(now_ms - lease.expires_ms),
            )
        if lapsed:
            self.on_changed()

    def _iter_lapsed(self, now_ms: float) -> Iterator[str]:
        for name, lease in self._leases.items():
            if lease.expires_ms <= now_ms:
                yield name


__all__ = ["TargetRegistry"]
