"""The registry of the targets announced to this daemon, and their leases."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import structlog
from msgspec import Struct

from pepperstair_core.events import Event
from pepperstair_core.members import Target

log = structlog.get_logger(__name__)


class _Lease(Struct, frozen=True):
    """A target and the time at which its lease expires."""

    target: Target
    expires_ms: float


class TargetRegistry:
    """Holds the targets of this VM; `on_changed` is called after each change.

    A target is registered until it deregisters or `expire` removes it, whatever the
    time is. Calls are refused only after the removal, so every refusal follows a change
    that is published. Without one, daemons that were refused a call would not learn
    that the target is back.

    A target whose lease has lapsed is remembered for the length of another lease, as
    its announcement may only be late. `renew` registers it again.
    """

    def __init__(self, lease_ms: int) -> None:
        self.lease_ms = lease_ms
        self.on_changed: Callable[[], None] = lambda: None
        self._leases: dict[str, _Lease] = {}
        self._lapsed: dict[str, _Lease] = {}

    def targets(self) -> tuple[Target, ...]:
        """Return the announced targets."""
        return tuple(lease.target for lease in self._leases.values())

    def get(self, name: str) -> Target | None:
        """Return the registered target with a name, or None."""
        lease = self._leases.get(name)
        return None if lease is None else lease.target

    def get_lapsed(self, name: str) -> Target | None:
        """Return the target with a name whose lease has recently lapsed, or None."""
        lease = self._lapsed.get(name)
        return None if lease is None else lease.target

    def renew(self, name: str, now_ms: float) -> None:
        """Renew the lease of a target that has just answered a call.

        An unknown name is ignored: a target may answer after it has deregistered.
        """
        lease = self._leases.get(name)
        if lease is None:
            lapsed = self._lapsed.get(name)
            if lapsed is not None:
                self.announce(lapsed.target, now_ms)
        elif lease.expires_ms - now_ms < self.lease_ms / 2:
            self._leases[name] = _Lease(lease.target, now_ms + self.lease_ms)

    def announce(self, target: Target, now_ms: float) -> None:
        """Add or update a target and renew its lease."""
        self._lapsed.pop(target.name, None)
        lease = self._leases.get(target.name)
        known = None if lease is None else lease.target
        self._leases[target.name] = _Lease(target, now_ms + self.lease_ms)
        if known == target:
            return
        event = Event.TARGET_ANNOUNCED if known is None else Event.TARGET_CHANGED
        log.info(event, target=target.name, state=target.state.value)
        self.on_changed()

    def deregister(self, name: str) -> bool:
        """Remove a target and return whether it was registered or had lapsed."""
        lapsed = self._lapsed.pop(name, None)
        if self._leases.pop(name, lapsed) is None:
            return False
        self.on_changed()
        return True

    def expire(self, now_ms: float) -> None:
        """Remove the targets whose lease has lapsed.

        A crashed target does not deregister. Without expiry, callers would keep getting
        refused connections for as long as the target stayed registered.
        """
        lapsed = _names_of_lapsed(self._leases, now_ms)
        for name in lapsed:
            lease = self._leases.pop(name)
            self._lapsed[name] = lease
            overdue_ms = round(now_ms - lease.expires_ms)
            log.warning(Event.TARGET_LEASE_LAPSED, target=name, overdue_ms=overdue_ms)
        forgotten = self._forget_lapsed(now_ms)
        if lapsed or forgotten:
            self.on_changed()

    def _forget_lapsed(self, now_ms: float) -> list[str]:
        """Forget the targets that lapsed long ago and return their names."""
        forgotten = _names_of_lapsed(self._lapsed, now_ms - self.lease_ms)
        for name in forgotten:
            del self._lapsed[name]
        return forgotten


def _names_of_lapsed(leases: Mapping[str, _Lease], now_ms: float) -> list[str]:
    """Return the names of the targets whose lease has lapsed at a time."""
    return [name for name, lease in leases.items() if lease.expires_ms <= now_ms]


__all__ = ["TargetRegistry"]
